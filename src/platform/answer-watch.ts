import {type ClientRequest, type IncomingMessage} from 'node:http';
import {type Socket} from 'node:net';

/** What is known of the response to a request. */
export type AnswerWatch = {
	/** True once the response has ended before it was whole, although Node may have marked it as complete. */
	readonly isBroken: boolean;
};

/**
 * Tells an answer that was reset from a whole one. An answer without a length ends with its connection, and Node takes any end of it for that
 * one: a reset, the failure of a write of its request, and a reset that is read in the turn of its last bytes, of which libuv tells as a plain
 * end. Whoever reads an answer asks here before it counts as whole. One that is closed in an orderly way is whole, also while its request is
 * still being written (RFC 9112, section 8).
 */
export function watchAnswer(clientRequest: ClientRequest): AnswerWatch {
	const watch = {isBroken: false};
	let response: IncomingMessage | undefined;
	let source: Socket | undefined;
	const recordBreak = (): void => {
		watch.isBroken ||= response?.complete !== true;
	};

	const onEnd = (): void => {
		// A reset connection has no remote address any more, one that was closed has.
		if (source?.remoteAddress === undefined) {
			recordBreak();
		}
	};

	clientRequest.once('response', received => {
		response = received;
	});
	// Node emits the error before it tells its parser that no more bytes come.
	clientRequest.on('error', recordBreak);
	clientRequest.once('socket', socket => {
		source = socket;
		// Runs before the parser sees the end, while the state of the connection can still be read.
		socket.prependListener('end', onEnd);
	});
	clientRequest.once('close', () => {
		source?.removeListener('end', onEnd);
	});
	return watch;
}
