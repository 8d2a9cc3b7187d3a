import {Buffer} from 'node:buffer';
import {Agent, request as httpRequest, type ClientRequest, type IncomingMessage} from 'node:http';
import {Timeout} from '../concurrency/index.js';
import {isFinalStatus} from '../model/index.js';
import {limitReceivedBytes} from './byte-limit.js';
import {abortRequest} from './abort-request.js';
import {watchAnswer} from './answer-watch.js';
import {watchConnection} from './connection-watch.js';
import {PlatformError} from './error.js';

export type HttpClientSettings = {
	/** For example `http://10.0.0.7:8080`; a path prefix is kept. */
	readonly baseUrl: string;
	/** Timeout of one call, without the wait of a long poll. */
	readonly timeoutMilliseconds: number;
};

export type HttpCall = {
	readonly method: 'GET' | 'POST';
	readonly path: string;
	readonly body?: unknown;
	/** Entity tag of the response that is already known; the service responds with 304 and no body if it is unchanged. */
	readonly ifNoneMatch?: string;
	readonly timeoutMilliseconds?: number;
	readonly signal?: AbortSignal;
};

/** `etag` is the entity tag of the response, if the service sends one. */
export type HttpResponse = {readonly status: number; readonly body: unknown; readonly etag?: string | undefined};

const maximumConnections = 16;
/** Larger than any page of records; a larger response violates the protocol. */
const maximumResponseBytes = 64 * 1024 * 1024;

/**
 * Calls a JSON service over keep-alive connections. Failures are thrown as `PlatformError`, which tells
 * whether the call may have taken effect.
 */
export class HttpCaller implements AsyncDisposable {
	static create(settings: HttpClientSettings): HttpCaller {
		return new HttpCaller(settings);
	}

	readonly #settings: HttpClientSettings;
	readonly #agent = new Agent({keepAlive: true, maxSockets: maximumConnections});

	private constructor(settings: HttpClientSettings) {
		this.#settings = settings;
	}

	/** Returns the parsed response of a call that ended with 200, 304 or 410; throws on any other status. */
	async call(call: HttpCall): Promise<HttpResponse> {
		try {
			return await this.#callOnce(call);
		} catch (error) {
			// The service closed a keep-alive connection while the call was in transit. Repeating a read is safe.
			if (call.method === 'GET' && error instanceof PlatformError && error.failure.type === 'lost' && error.failure.reason === staleConnectionReason) {
				return this.#callOnce(call);
			}

			throw error;
		}
	}

	async [Symbol.asyncDispose](): Promise<void> {
		this.#agent.destroy();
	}

	async #callOnce(call: HttpCall): Promise<HttpResponse> {
		const payload = call.body === undefined ? undefined : JSON.stringify(call.body);
		const clientRequest = httpRequest(this.#settings.baseUrl.replace(/\/$/v, '') + call.path, {
			method: call.method,
			agent: this.#agent,
			signal: call.signal,
			headers: headersOf(call, payload),
		});
		const timeoutMilliseconds = call.timeoutMilliseconds ?? this.#settings.timeoutMilliseconds;
		limitReceivedBytes(clientRequest, () => maximumResponseBytes);
		let abortReason: string | undefined;
		using _timeout = Timeout.start(timeoutMilliseconds, () => {
			abortReason = `no complete response within ${timeoutMilliseconds} ms`;
			abortRequest(clientRequest);
		});
		return parseResponse(await exchange(clientRequest, {payload, abortReason: () => abortReason}));
	}
}

const staleConnectionReason = 'the keep-alive connection was closed';
const brokenAnswerReason = 'the response was reset';

type RawResponse = {status: number; retryAfter: string | undefined; etag: string | undefined; text: string};

function headersOf(call: HttpCall, payload: string | undefined): Record<string, string | number> {
	return {
		...(payload !== undefined && {'content-type': 'application/json', 'content-length': Buffer.byteLength(payload)}),
		...(call.ifNoneMatch !== undefined && {'if-none-match': call.ifNoneMatch}),
	};
}

function exchange(clientRequest: ClientRequest, {payload, abortReason}: {payload: string | undefined; abortReason: () => string | undefined}): Promise<RawResponse> {
	return new Promise<RawResponse>((resolve, reject) => {
		const connection = watchConnection(clientRequest);
		const answer = watchAnswer(clientRequest);
		clientRequest.on('error', (error: NodeJS.ErrnoException) => {
			const reason = abortReason() ?? (clientRequest.reusedSocket && error.code === 'ECONNRESET' ? staleConnectionReason : error.message);
			reject(PlatformError.create(connection.isEstablished ? {type: 'lost', reason} : {type: 'unreachable', reason}));
		});
		clientRequest.once('response', response => {
			readText(response).then(text => {
				if (answer.isBroken) {
					reject(PlatformError.create({type: 'lost', reason: brokenAnswerReason}));
					return;
				}

				resolve({status: response.statusCode ?? 0, retryAfter: response.headers['retry-after'], etag: response.headers.etag, text});
			}, (error: unknown) => {
				reject(PlatformError.create({type: 'lost', reason: String(error)}));
			});
		});
		clientRequest.end(payload);
	});
}

async function readText(response: IncomingMessage): Promise<string> {
	const chunks: Uint8Array[] = [];
	let total = 0;
	for await (const chunk of response as AsyncIterable<Uint8Array>) {
		chunks.push(chunk);
		total += chunk.length;
		if (total > maximumResponseBytes) {
			throw new Error('the response is too large');
		}
	}

	return Buffer.concat(chunks).toString('utf8');
}

export const statusNotModified = 304;
const statusGone = 410;

function parseResponse(response: RawResponse): HttpResponse {
	if (!isFinalStatus(response.status)) {
		throw PlatformError.create({type: 'malformed', reason: `status ${response.status}`});
	}

	if (response.status === statusNotModified) {
		return {status: response.status, body: undefined, etag: response.etag};
	}

	const body = parseJson(response.text);
	if (response.status === 200 || response.status === statusGone) {
		if (body === undefined) {
			throw PlatformError.create({type: 'malformed', reason: 'the response is not JSON'});
		}

		return {status: response.status, body, etag: response.etag};
	}

	const seconds = Number(response.retryAfter);
	throw PlatformError.create({
		type: 'status',
		status: response.status,
		reason: errorMessage(body),
		...(response.retryAfter !== undefined && Number.isFinite(seconds) && {retryAfterMilliseconds: seconds * 1000}),
	});
}

function errorMessage(body: unknown): string {
	const message = (body as {error?: {message?: unknown}} | undefined)?.error?.message;
	return typeof message === 'string' ? message : 'no reason given';
}

function parseJson(text: string): unknown {
	try {
		return JSON.parse(text) as unknown;
	} catch {
		return undefined;
	}
}
