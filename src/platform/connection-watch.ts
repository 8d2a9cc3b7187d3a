import {type ClientRequest} from 'node:http';

/**
 * Tells whether a request's connection has stood. Node writes nothing before that, so a call that
 * failed without one can't have taken effect; after that a lost answer tells nothing.
 *
 * A kept connection stands already and gets no listener: one more with every call would pile up.
 */
export function watchConnection(sent: ClientRequest): {readonly stood: boolean} {
	const watch = {stood: false};
	sent.once('socket', socket => {
		watch.stood = !socket.connecting;
		if (watch.stood) {
			return;
		}

		socket.once('connect', () => {
			watch.stood = true;
		});
	});
	return watch;
}
