import {Buffer} from 'node:buffer';
import {type IncomingMessage} from 'node:http';
import {malformedEvent, type PipelinedResponse} from '../../connections/index.js';
import {type RawHeaders} from '../adapter/index.js';
import {type MemoryAccount, type MemoryPool} from '../memory/index.js';
import {ByteBuffer} from './byte-buffer.js';

/** If at least this much data for a slow caller is unsent, the endpoint's response is paused. */
const maxUnsentBytes = 256 * 1024;

/** Result of reading a caller's body. */
export type BodyResult
	= | {readonly type: 'whole'; readonly body: Uint8Array | undefined}
		| {readonly type: 'too-large'}
	/** The bodies of all requests take the memory that there is for them. */
		| {readonly type: 'no-room'}
	/** It is no body by HTTP's framing, or does not arrive in time. */
		| {readonly type: 'malformed'; readonly status: number}
		| {readonly type: 'left'};

/** A response that the gateway makes itself. */
export type GatewayResponse = {
	readonly status: number;
	readonly message: string;
	readonly headers: RawHeaders;
	readonly retryAfterMilliseconds?: number | undefined;
	readonly closesConnection?: boolean;
};

/**
 * The caller's side of one exchange. A response that can't be completed is aborted by closing the connection, so that the
 * caller can't take it for complete.
 */
export class Caller {
	static create(request: IncomingMessage, response: PipelinedResponse): Caller {
		return new Caller(request, response);
	}

	readonly #request: IncomingMessage;
	readonly #response: PipelinedResponse;

	private constructor(request: IncomingMessage, response: PipelinedResponse) {
		this.#request = request;
		this.#response = response;
	}

	get hasDisconnected(): boolean {
		return this.#response.destroyed && !this.#response.writableFinished;
	}

	get hasResponse(): boolean {
		return this.#response.headersSent;
	}

	/** Resolves once the request may be begun: the responses before it on its connection are complete. */
	get turn(): Promise<void> {
		return this.#response.turn;
	}

	/** Resolves once its response is the next one that its connection sends. */
	get front(): Promise<void> {
		return this.#response.front;
	}

	/** Whether its request has arrived to the end, read or discarded. */
	get isWhole(): boolean {
		return this.#request.complete;
	}

	/** Calls the listener once if the connection closes before the response is sent. */
	onDisconnect(listener: () => void): void {
		this.#response.once('close', () => {
			if (!this.#response.writableFinished) {
				listener();
			}
		});
	}

	/** Reads the body; what has arrived is counted in the account of this request. */
	readBody(limitBytes: number, memory: MemoryPool, account: MemoryAccount): Promise<BodyResult> {
		const request = this.#request;
		return new Promise(resolve => {
			const body = ByteBuffer.create();
			let length = 0;
			request.on('data', (chunk: Uint8Array) => {
				length += chunk.length;
				if (length > limitBytes || !memory.hasRoomFor(chunk.length)) {
					this.discardBody();
					body.take();
					resolve({type: length > limitBytes ? 'too-large' : 'no-room'});
					return;
				}

				account.hold(length);
				body.append(chunk);
			});
			request.once('end', () => {
				resolve({type: 'whole', body: hasBody(request) ? body.take() : undefined});
			});
			request.once(malformedEvent, (status: number) => {
				resolve({type: 'malformed', status});
			});
			request.once('error', () => {
				resolve({type: 'left'});
			});
			request.once('close', () => {
				resolve({type: 'left'});
			});
		});
	}

	/** Reads what is left of the body without keeping it. */
	discardBody(): void {
		this.#request.removeAllListeners('data');
		this.#request.resume();
	}

	/** Sends the status and headers of an endpoint's response. */
	writeHead(status: number, headers: RawHeaders): void {
		this.#response.writeHead(status, [...headers]);
	}

	/** Returns false if the caller reads too slowly; `onDrain` is then called once the data is sent. */
	write(bytes: Uint8Array, onDrain: () => void): boolean {
		this.#response.write(bytes);
		if (this.#response.writableLength < maxUnsentBytes) {
			return true;
		}

		this.#response.once('drain', onDrain);
		return false;
	}

	end(bytes?: Uint8Array): void {
		this.#response.end(bytes);
	}

	/** Closes the connection of a response that can't be completed. */
	abort(): void {
		this.#response.destroy();
	}

	respond({status, message, headers, retryAfterMilliseconds, closesConnection}: GatewayResponse): void {
		const body = Buffer.from(`${JSON.stringify({error: {message}})}\n`);
		this.#response.closesConnection = closesConnection === true;
		this.#response.writeHead(status, [
			...headers,
			'Content-Type',
			'application/json',
			'Content-Length',
			String(body.length),
			...(retryAfterMilliseconds === undefined ? [] : ['Retry-After', (retryAfterMilliseconds / 1000).toFixed(2)]),
		]);
		this.#response.end(body);
	}
}

/** Methods whose requests have no body unless the headers announce one. */
const bodilessMethods = new Set(['GET', 'HEAD', 'DELETE', 'OPTIONS', 'TRACE']);

function hasBody(request: IncomingMessage): boolean {
	return !bodilessMethods.has(request.method ?? 'GET') || request.headers['content-length'] !== undefined || request.headers['transfer-encoding'] !== undefined;
}
