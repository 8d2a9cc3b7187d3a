import {type ClientRequest} from 'node:http';

/**
 * Gives up a request that has no response yet, and takes back what its receiver has not got: the connection is reset. After an orderly
 * close the kernel goes on sending what it holds. Behind a partition the request would arrive once the partition heals, long after it has
 * been replaced or its caller has left, and would run. What the receiver's kernel has is not taken back.
 *
 * The request emits its error event, as for any broken connection.
 */
export function abortRequest(clientRequest: ClientRequest): void {
	const {socket} = clientRequest;
	if (socket === null || socket.connecting) {
		// Nothing is written before the connection is established.
		clientRequest.destroy();
		return;
	}

	socket.resetAndDestroy();
}

/**
 * Gives a request up when the signal aborts. Once its response has begun, its receiver has the request, and an orderly close ends it: that
 * one is sent again if it is lost, a reset is not.
 */
export function abortOnSignal(clientRequest: ClientRequest, signal: AbortSignal | undefined): void {
	let hasResponse = false;
	clientRequest.once('response', () => {
		hasResponse = true;
	});
	const abort = (): void => {
		if (hasResponse) {
			clientRequest.destroy(new Error('aborted'));
		} else {
			abortRequest(clientRequest);
		}
	};

	if (signal?.aborted === true) {
		abort();
		return;
	}

	signal?.addEventListener('abort', abort, {once: true});
	clientRequest.once('close', () => {
		signal?.removeEventListener('abort', abort);
	});
}
