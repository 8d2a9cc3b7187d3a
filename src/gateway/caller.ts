import {Buffer} from 'node:buffer';
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type RawHeaders} from './types.js';

/** A caller that reads so little that this much waits for it holds up its endpoint's stream. */
const largestUnsentBytes = 256 * 1024;

/** What became of reading a caller's body. */
export type BodyOutcome
	= | {readonly type: 'whole'; readonly body: Uint8Array | undefined}
		| {readonly type: 'too-large'}
		| {readonly type: 'left'};

/** An answer of our own. */
export type OwnAnswer = {
	readonly status: number;
	readonly message: string;
	readonly headers: RawHeaders;
	readonly retryAfterMilliseconds?: number | undefined;
	readonly closesConnection?: boolean;
};

/**
 * The caller's side of one exchange. An answer that can't be ended whole is broken off by closing the
 * connection, so that its end never looks like one.
 */
export class Caller {
	static create(request: IncomingMessage, response: ServerResponse): Caller {
		return new Caller(request, response);
	}

	readonly #request: IncomingMessage;
	readonly #response: ServerResponse;

	private constructor(request: IncomingMessage, response: ServerResponse) {
		this.#request = request;
		this.#response = response;
	}

	get hasLeft(): boolean {
		return this.#response.destroyed && !this.#response.writableFinished;
	}

	get hasAnswer(): boolean {
		return this.#response.headersSent;
	}

	/** Calls once if the connection closes before the answer is out. */
	onLeft(listener: () => void): void {
		this.#response.once('close', () => {
			if (!this.#response.writableFinished) {
				listener();
			}
		});
	}

	readBody(limitBytes: number): Promise<BodyOutcome> {
		const request = this.#request;
		return new Promise(resolve => {
			const parts: Uint8Array[] = [];
			let length = 0;
			request.on('data', (part: Uint8Array) => {
				length += part.length;
				if (length > limitBytes) {
					request.removeAllListeners('data');
					request.resume();
					resolve({type: 'too-large'});
					return;
				}

				parts.push(part);
			});
			request.once('end', () => {
				resolve({type: 'whole', body: hasBody(request) ? Buffer.concat(parts) : undefined});
			});
			request.once('error', () => {
				resolve({type: 'left'});
			});
			request.once('close', () => {
				resolve({type: 'left'});
			});
		});
	}

	/** Sends an endpoint's status and headers. */
	head(status: number, headers: RawHeaders): void {
		this.#response.writeHead(status, [...headers]);
	}

	/** False if the caller reads too slowly; `onDrain` is then called once it caught up. */
	write(bytes: Uint8Array, onDrain: () => void): boolean {
		this.#response.write(bytes);
		if (this.#response.writableLength < largestUnsentBytes) {
			return true;
		}

		this.#response.once('drain', onDrain);
		return false;
	}

	end(bytes?: Uint8Array): void {
		this.#response.end(bytes);
	}

	/** Ends what can't be completed. */
	breakOff(): void {
		this.#response.destroy();
	}

	answer({status, message, headers, retryAfterMilliseconds, closesConnection}: OwnAnswer): void {
		const body = Buffer.from(`${JSON.stringify({error: {message}})}\n`);
		this.#response.writeHead(status, [
			...headers,
			'Content-Type',
			'application/json',
			'Content-Length',
			String(body.length),
			...(retryAfterMilliseconds === undefined ? [] : ['Retry-After', (retryAfterMilliseconds / 1000).toFixed(2)]),
			...(closesConnection === true ? ['Connection', 'close'] : []),
		]);
		this.#response.end(body);
	}
}

/** Methods whose requests have no body unless they say so. */
const bodilessMethods = new Set(['GET', 'HEAD', 'DELETE', 'OPTIONS', 'TRACE']);

function hasBody(request: IncomingMessage): boolean {
	return !bodilessMethods.has(request.method ?? 'GET') || request.headers['content-length'] !== undefined || request.headers['transfer-encoding'] !== undefined;
}
