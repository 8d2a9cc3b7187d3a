/** A server whose answers break off: the stand-in for endpoints and stores that crash while they answer. */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import net, {type AddressInfo} from 'node:net';

/** How the length of the body is told. */
export const Framing = {length: 'length', chunks: 'chunks', none: 'none'} as const;
export type Framing = (typeof Framing)[keyof typeof Framing];

/** How the connection ends after a part of the body: reset a moment later, reset in the turn that sends the part, or closed in an orderly way. */
export const Ending = {reset: 'reset', resetAtOnce: 'reset at once', closed: 'closed'} as const;
export type Ending = (typeof Ending)[keyof typeof Ending];

/** One answer that breaks off. */
export type BrokenAnswer = {
	readonly framing: Framing;
	readonly ending: Ending;
	/** Whether the whole request is read; otherwise its sender is still writing when the answer breaks off. */
	readonly readsRequest: boolean;
	/** Instead of that of a success. */
	readonly statusLine?: string;
	/** Lines of the head besides the status line and those of the framing. */
	readonly headers: readonly string[];
	/** The part of the body that is sent. */
	readonly part: string;
	/** Bytes of the body that the framing announces and that are not sent. */
	readonly missingBytes?: number;
};

/** All answers that are incomplete by their framing or by a reset; one without a length that is closed in an orderly way is complete. */
export const brokenAnswers: ReadonlyArray<Pick<BrokenAnswer, 'framing' | 'ending' | 'readsRequest'>> = Object.values(Framing).flatMap(framing =>
	Object.values(Ending).flatMap(ending => [true, false].map(readsRequest => ({framing, ending, readsRequest}))))
	.filter(({framing, ending}) => framing !== Framing.none || ending !== Ending.closed);

const resetDelayMilliseconds = 20;
/** A body that no kernel takes whole, so that its sender is still writing. */
export const longUploadBytes = 32 * 1024 * 1024;

const wholeAnswer = 'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}';

/** Answers each request with what `answerOf` returns then, to which it gives the request's head. */
export class BrokenServer implements AsyncDisposable {
	/** With `keepsFirst`, the first request of each connection gets a whole answer, and only the next one a broken one. */
	static async create(answerOf: (head: string) => BrokenAnswer, {keepsFirst = false}: {readonly keepsFirst?: boolean} = {}): Promise<BrokenServer> {
		const server = net.createServer(socket => {
			socket.on('error', () => undefined);
			if (keepsFirst) {
				socket.once('data', () => {
					socket.write(wholeAnswer);
					breakNext(socket, answerOf);
				});
			} else {
				breakNext(socket, answerOf);
			}
		});
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		return new BrokenServer(server);
	}

	readonly #server: net.Server;

	private constructor(server: net.Server) {
		this.#server = server;
	}

	get port(): number {
		return (this.#server.address() as AddressInfo).port;
	}

	async [Symbol.asyncDispose](): Promise<void> {
		this.#server.close();
	}
}

function breakNext(socket: net.Socket, answerOf: (head: string) => BrokenAnswer): void {
	socket.once('data', (bytes: Uint8Array) => {
		const answer = answerOf(Buffer.from(bytes).toString('latin1'));
		if (!answer.readsRequest) {
			socket.pause();
		}

		respond(socket, answer);
	});
}

function respond(socket: net.Socket, {statusLine = 'HTTP/1.1 200 OK', framing, ending, headers, part, missingBytes = 1}: BrokenAnswer): void {
	const lines = [statusLine, ...headers, ...framingHeaders(framing, part.length + missingBytes)];
	const body = framing === Framing.chunks && part.length > 0 ? `${part.length.toString(16)}\r\n${part}\r\n${missingBytes === 0 ? '0\r\n\r\n' : ''}` : part;
	const bytes = `${lines.join('\r\n')}\r\n\r\n${body}`;
	switch (ending) {
		case Ending.reset: {
			socket.write(bytes, () => {
				setTimeout(() => {
					socket.resetAndDestroy();
				}, resetDelayMilliseconds);
			});
			break;
		}

		case Ending.resetAtOnce: {
			socket.write(bytes);
			socket.resetAndDestroy();
			break;
		}

		case Ending.closed: {
			socket.end(bytes);
			break;
		}
	}
}

function framingHeaders(framing: Framing, bytes: number): string[] {
	switch (framing) {
		case Framing.length: {
			return [`Content-Length: ${bytes}`];
		}

		case Framing.chunks: {
			return ['Transfer-Encoding: chunked'];
		}

		case Framing.none: {
			return [];
		}
	}
}
