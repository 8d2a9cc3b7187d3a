import {Buffer} from 'node:buffer';
import {type IncomingMessage} from 'node:http';
import {malformedEvent} from '../../connections/index.js';
import {createFailure, FailureKind, RequestError} from '../../model/index.js';

/**
 * Reads a complete request body. Rejects with a `RequestError` as soon as the body is known to be longer than the
 * limit; the rest is then received and discarded, so that the caller can still read the refusal. Node's request
 * timeout limits how long that may take.
 */
export function readBody(request: IncomingMessage, limitBytes: number): Promise<Uint8Array> {
	return new Promise((resolve, reject) => {
		const chunks: Uint8Array[] = [];
		let length = 0;
		const refuse = () => {
			chunks.length = 0;
			request.off('data', collect);
			request.resume();
			reject(RequestError.create(createFailure(FailureKind.tooLarge, `The body is longer than the ${limitBytes} bytes allowed here.`)));
		};

		const collect = (chunk: Uint8Array) => {
			length += chunk.length;
			if (length > limitBytes) {
				refuse();
				return;
			}

			chunks.push(chunk);
		};

		if (Number(request.headers['content-length'] ?? 0) > limitBytes) {
			refuse();
			return;
		}

		request.on('data', collect);
		request.once('end', () => {
			resolve(chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks));
		});
		request.once(malformedEvent, () => {
			reject(createMalformedError());
		});
		request.once('close', () => {
			reject(RequestError.create(createFailure(FailureKind.cancelled, 'The caller left before its body was complete.')));
		});
	});
}

/** The error of a request whose body is none by HTTP's framing, or did not arrive in time. */
export function createMalformedError(): RequestError {
	return RequestError.create(createFailure(FailureKind.badRequest, 'The body is malformed, or did not arrive in time.'));
}
