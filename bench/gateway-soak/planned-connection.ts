/** A caller's connection as bytes: requests behind each other, heads and bodies in parts, a first request that comes late, a reader that is slow. */
import {Buffer} from 'node:buffer';
import {connect, type Socket} from 'node:net';
import {type ExchangeRecord} from './caller.js';
import {sleep} from './traffic.js';

/** How a request is written and read. */
export type PlannedRequest = {
	readonly id: string;
	readonly kind: ExchangeRecord['kind'];
	readonly route: string;
	readonly key: string;
	readonly deadlineMilliseconds: number;
	readonly body: string;
	/** The pause within the head, and the one before the last byte of the body; 0 for none. */
	readonly headPauseMilliseconds: number;
	readonly bodyPauseMilliseconds: number;
	/** How long the caller reads nothing once it has sent the request, or a time later. */
	readonly readPauseMilliseconds: number;
	readonly readPauseAfterMilliseconds?: number;
	/** Whether the body comes in chunks. */
	readonly isChunked?: boolean;
};

/** What a caller saw of a request and of the end of its connection. Times are milliseconds of the monotonic clock. */
export type PlannedRecord = ExchangeRecord & {
	readonly request: PlannedRequest;
	readonly gateway: number;
	/** When its first byte was sent, or was to be sent if none was. */
	sentAt: number;
	/** When its last byte was sent; Infinity if it never was. */
	lastByteAt: number;
	/** When the last part of its answer arrived; its sending before that. */
	lastDataAt: number;
	headers: ReadonlyMap<string, string>;
	/** How the connection ended while the request had no complete answer. */
	close: 'none' | 'orderly' | 'reset' | 'caller';
	/** The call on the socket that failed, and how. */
	error?: string | undefined;
	/** How long the caller did not read meanwhile, and could not see the end of the connection. */
	unreadMilliseconds: number;
	/** The first request without an answer when the connection ended, if it is another one. */
	behind: PlannedRecord | undefined;
};

type Head = {readonly status: number; readonly headers: ReadonlyMap<string, string>; readonly end: number};
type BodyPart = {readonly text: string; readonly rest: Uint8Array; readonly isLast: boolean};

export class PlannedConnection {
	/** Resolves to undefined if the connection is refused. */
	static async open(address: {readonly host: string; readonly port: number}, gateway: number): Promise<PlannedConnection | undefined> {
		const socket = connect(address);
		return new Promise(resolve => {
			socket.once('connect', () => {
				resolve(new PlannedConnection(socket, gateway));
			});
			socket.once('error', () => {
				resolve(undefined);
			});
		});
	}

	readonly gateway: number;
	/** What has arrived and is no answer to any request. */
	readonly strays: string[] = [];
	isClosed = false;
	/** Whether an answer has said that the connection closes. */
	isClosing = false;
	readonly #socket: Socket;
	readonly #open: Array<{readonly record: PlannedRecord; readonly end: () => void}> = [];
	#bytes: Uint8Array = Buffer.alloc(0);
	#head: Head | undefined;
	#lastWritten: Promise<void> = Promise.resolve();
	/** Resolves once the caller reads again. */
	#reading: Promise<void> = Promise.resolve();
	#error: string | undefined;
	#hasEnded = false;
	#isLeft = false;

	private constructor(socket: Socket, gateway: number) {
		this.#socket = socket;
		this.gateway = gateway;
		socket.setNoDelay(true);
		socket.on('data', bytes => {
			this.#bytes = Buffer.concat([this.#bytes, Buffer.from(bytes)]);
			this.#read();
		});
		// What is sent after an orderly end is answered by a reset.
		socket.on('end', () => {
			this.#hasEnded = true;
		});
		socket.on('error', (error: NodeJS.ErrnoException) => {
			this.#error = `${error.syscall} ${error.code}`;
		});
		socket.once('close', () => {
			this.#close();
		});
	}

	/** Sends a request behind those before it; resolves once it has its answer or the connection has ended. */
	async send(request: PlannedRequest): Promise<PlannedRecord> {
		const sentAt = performance.now();
		const record: PlannedRecord = {
			id: request.id, kind: request.kind, request, gateway: this.gateway, sentAt, lastDataAt: sentAt, endedAt: Infinity, status: 0, body: '', isWhole: false, lastByteAt: Infinity, headers: new Map(), close: 'none', unreadMilliseconds: 0, behind: undefined,
		};
		return new Promise(resolve => {
			this.#open.push({record, end() {
				record.endedAt = performance.now();
				resolve(record);
			}});
			this.#lastWritten = this.#lastWritten.then(async () => this.#write(record));
			if (this.isClosed) {
				this.#close();
			}
		});
	}

	/** Closes the connection as its caller. */
	leave(): void {
		this.#isLeft = true;
		this.#socket.destroy();
	}

	async #write(record: PlannedRecord): Promise<void> {
		const {headPauseMilliseconds, bodyPauseMilliseconds} = record.request;
		const text = textOf(record.request);
		const parts = [
			{text: text.slice(0, 40), pause: headPauseMilliseconds},
			{text: text.slice(40, -1), pause: bodyPauseMilliseconds},
			{text: text.slice(-1), pause: 0},
		];
		let isFirst = true;
		for (const {text: part, pause} of headPauseMilliseconds + bodyPauseMilliseconds === 0 ? [{text, pause: 0}] : parts) {
			// A write that fails would drop what has arrived and is not read yet, so that a complete answer would look lost.
			await this.#reading;
			// PROTOCOL.md: "Requesters respect `Connection: close`".
			if (!this.#socket.writable || this.isClosing) {
				return;
			}

			if (isFirst) {
				isFirst = false;
				record.sentAt = performance.now();
			}

			this.#socket.write(part);
			if (pause > 0) {
				await sleep(pause);
			}
		}

		record.lastByteAt = performance.now();
		this.#pauseFor(record.request);
	}

	#pauseFor({readPauseMilliseconds, readPauseAfterMilliseconds = 0}: PlannedRequest): void {
		if (readPauseMilliseconds === 0) {
			return;
		}

		const pause = (): void => {
			this.#socket.pause();
			for (const {record: open} of this.#open) {
				open.unreadMilliseconds += readPauseMilliseconds;
			}

			this.#reading = sleep(readPauseMilliseconds).then(() => {
				this.#socket.resume();
			});
		};

		if (readPauseAfterMilliseconds === 0) {
			pause();
		} else {
			setTimeout(pause, readPauseAfterMilliseconds);
		}
	}

	#read(): void {
		while (this.#bytes.length > 0) {
			const [first] = this.#open;
			if (first === undefined) {
				this.strays.push(Buffer.from(this.#bytes).toString().slice(0, 100));
				this.#bytes = Buffer.alloc(0);
				return;
			}

			this.#head ??= parseHead(this.#bytes);
			if (this.#head === undefined) {
				return;
			}

			if (!this.#readAnswer(first.record, this.#head)) {
				return;
			}

			this.#head = undefined;
			this.#open.shift();
			first.record.isWhole = true;
			first.end();
		}
	}

	/** Reads what has arrived of an answer; returns whether it is complete. */
	#readAnswer(record: PlannedRecord, head: Head): boolean {
		if (head.end > 0) {
			this.#bytes = this.#bytes.subarray(head.end);
			this.#head = {...head, end: 0};
			record.status = head.status;
			record.headers = head.headers;
			this.isClosing ||= head.headers.get('connection')?.toLowerCase() === 'close';
		}

		for (;;) {
			const part = nextPart(this.#bytes, head, record.body.length);
			if (part === undefined) {
				return false;
			}

			this.#bytes = part.rest;
			record.lastDataAt = performance.now();
			record.body += part.text;
			if (part.isLast) {
				return true;
			}
		}
	}

	#close(): void {
		this.isClosed = true;
		const [first] = this.#open;
		for (const {record, end} of this.#open.splice(0)) {
			record.behind = record === first?.record ? undefined : first?.record;
			record.error = this.#error;
			record.close = this.#isLeft ? 'caller' : (this.#hasEnded ? 'orderly' : 'reset');
			end();
		}
	}
}

/** A request as it is written. */
function textOf({id, route, kind, key, body, deadlineMilliseconds, isChunked = false}: PlannedRequest): string {
	const isGet = kind === 'lookup';
	const framing = isGet ? '' : (isChunked ? 'Transfer-Encoding: chunked\r\n' : `Content-Length: ${body.length}\r\n`);
	const head = `${isGet ? 'GET' : 'POST'} /${route}/1 HTTP/1.1\r\nHost: studio.example\r\nRequest-Id: ${id}\r\nAuthorization: Bearer ${key}\r\nDeadline-Ms: ${deadlineMilliseconds}\r\n${framing}\r\n`;
	if (isGet) {
		return head;
	}

	return isChunked ? `${head}${chunksOf(body)}` : `${head}${body}`;
}

function chunksOf(body: string): string {
	const half = Math.ceil(body.length / 2);
	return [body.slice(0, half), body.slice(half), ''].map(chunk => `${chunk.length.toString(16)}\r\n${chunk}\r\n`).join('');
}

function parseHead(bytes: Uint8Array): Head | undefined {
	const end = Buffer.from(bytes).indexOf('\r\n\r\n');
	if (end === -1) {
		return undefined;
	}

	const [statusLine, ...lines] = Buffer.from(bytes.subarray(0, end)).toString('latin1').split('\r\n');
	const headers = new Map(lines.map(line => [line.slice(0, line.indexOf(':')).toLowerCase(), line.slice(line.indexOf(':') + 1).trim()]));
	return {status: Number(/^HTTP\/1\.1 (?<status>\d{3})/v.exec(statusLine!)?.groups?.status ?? -1), headers, end: end + 4};
}

/** The next part of a body; undefined if it has not arrived. A body with neither a length nor chunks ends with its connection. */
function nextPart(bytes: Uint8Array, {headers}: Head, received: number): BodyPart | undefined {
	if (headers.get('transfer-encoding') === 'chunked') {
		return nextChunk(bytes);
	}

	const length = headers.get('content-length');
	const missing = length === undefined ? Infinity : Number(length) - received;
	if (bytes.length === 0 && missing > 0) {
		return undefined;
	}

	const count = Math.min(missing, bytes.length);
	return {text: Buffer.from(bytes.subarray(0, count)).toString(), rest: bytes.subarray(count), isLast: count === missing};
}

function nextChunk(bytes: Uint8Array): BodyPart | undefined {
	const lineEnd = Buffer.from(bytes).indexOf('\r\n');
	const size = Number.parseInt(Buffer.from(bytes.subarray(0, Math.max(0, lineEnd))).toString(), 16);
	const end = lineEnd + 2 + size + 2;
	if (lineEnd === -1 || bytes.length < end) {
		return undefined;
	}

	return {text: Buffer.from(bytes.subarray(lineEnd + 2, end - 2)).toString(), rest: bytes.subarray(end), isLast: size === 0};
}
