import {Buffer} from 'node:buffer';
import {type ClientRequest} from 'node:http';
import {type Socket} from 'node:net';

/**
 * Ends a request once its connection has brought more bytes than are allowed then. Node bounds the headers of a response, and whoever reads the
 * body bounds that; but informational responses, the length of a chunk or its extension may go on without end, and nothing is told of them.
 * The request emits its error event.
 */
export function limitReceivedBytes(clientRequest: ClientRequest, allowedBytes: () => number): void {
	let receivedBytes = 0;
	let source: Socket | undefined;
	const count = (bytes: Uint8Array | string): void => {
		receivedBytes += Buffer.byteLength(bytes);
		if (receivedBytes > allowedBytes()) {
			stop();
			clientRequest.destroy(new Error(`more than ${allowedBytes()} bytes received`));
		}
	};

	const stop = (): void => {
		source?.removeListener('data', count);
	};

	clientRequest.once('socket', socket => {
		source = socket;
		socket.on('data', count);
	});
	clientRequest.once('close', stop);
}
