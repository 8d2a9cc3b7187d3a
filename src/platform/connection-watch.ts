import {type ClientRequest} from 'node:http';

/**
 * Tells whether a request's connection has stood. Node writes nothing before that, so a call that
 * failed without one can't have taken effect; after that a lost answer tells nothing.
 *
 * A kept connection stands already and gets no listener: one more with every call would pile up.
 */
export function watchConnection(sent: ClientRequest): {readonly isEstablished: boolean} {
	const watch = {isEstablished: false};
	sent.once('socket', socket => {
		watch.isEstablished = !socket.connecting;
		if (watch.isEstablished) {
			return;
		}

		socket.once('connect', () => {
			watch.isEstablished = true;
		});
	});
	return watch;
}
