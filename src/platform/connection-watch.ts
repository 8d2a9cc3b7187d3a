import {type ClientRequest} from 'node:http';

/**
 * Tracks whether a request's connection was established. Node writes nothing before that, so a call that
 * failed without a connection can't have taken effect; after a later failure it is unknown whether the call took effect.
 *
 * A reused keep-alive connection gets no listener, since listeners would accumulate on it with every call.
 */
export function watchConnection(clientRequest: ClientRequest): {readonly isEstablished: boolean} {
	const watch = {isEstablished: false};
	clientRequest.once('socket', socket => {
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
