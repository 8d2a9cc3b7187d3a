import {Buffer} from 'node:buffer';
import {Agent, request as httpRequest, type ClientRequest, type IncomingMessage} from 'node:http';
import {watchConnection} from './connection-watch.js';
import {PlatformError} from './error.js';

export type HttpClientSettings = {
	/** For example `http://10.0.0.7:8080`; a path prefix is kept. */
	readonly baseUrl: string;
	/** The longest that one call may take, waits that it asks for not counted. */
	readonly timeoutMilliseconds: number;
};

export type HttpCall = {
	readonly method: 'GET' | 'POST';
	readonly path: string;
	readonly body?: unknown;
	/** The version of the answer that the caller holds: an unchanged one comes back as 304 without a body. */
	readonly ifNoneMatch?: string;
	readonly timeoutMilliseconds?: number;
	readonly signal?: AbortSignal;
};

/** `etag` names the version of the answer, if the service keeps versions. */
export type HttpAnswer = {readonly status: number; readonly body: unknown; readonly etag?: string | undefined};

const defaultConnections = 16;
/** More than any page of records: a larger answer is not from a service that keeps the protocol. */
const maximumAnswerBytes = 64 * 1024 * 1024;

/**
 * Calls a JSON service over kept connections and says of each failure whether the call may have
 * taken effect there.
 */
export class HttpCaller implements AsyncDisposable {
	static create(settings: HttpClientSettings): HttpCaller {
		return new HttpCaller(settings);
	}

	readonly #settings: HttpClientSettings;
	readonly #agent = new Agent({keepAlive: true, maxSockets: defaultConnections});

	private constructor(settings: HttpClientSettings) {
		this.#settings = settings;
	}

	/** The parsed answer of a call that ended with 200, 304 or 410; anything else throws. */
	async call(call: HttpCall): Promise<HttpAnswer> {
		try {
			return await this.#callOnce(call);
		} catch (error) {
			// The service closed a kept connection while the call was on its way: reading again is harmless.
			if (call.method === 'GET' && error instanceof PlatformError && error.failure.type === 'lost' && error.failure.reason === staleConnection) {
				return this.#callOnce(call);
			}

			throw error;
		}
	}

	async [Symbol.asyncDispose](): Promise<void> {
		this.#agent.destroy();
	}

	async #callOnce(call: HttpCall): Promise<HttpAnswer> {
		const payload = call.body === undefined ? undefined : JSON.stringify(call.body);
		const sent = httpRequest(this.#settings.baseUrl.replace(/\/$/v, '') + call.path, {
			method: call.method,
			agent: this.#agent,
			signal: call.signal,
			headers: headersOf(call, payload),
		});
		const timeoutMilliseconds = call.timeoutMilliseconds ?? this.#settings.timeoutMilliseconds;
		const timer = setTimeout(() => {
			sent.destroy(new Error(`no answer within ${timeoutMilliseconds} ms`));
		}, timeoutMilliseconds);
		try {
			return interpret(await exchange(sent, payload));
		} finally {
			clearTimeout(timer);
		}
	}
}

const staleConnection = 'the kept connection was closed';

type Answer = {status: number; retryAfter: string | undefined; etag: string | undefined; text: string};

function headersOf(call: HttpCall, payload: string | undefined): Record<string, string | number> {
	return {
		...(payload !== undefined && {'content-type': 'application/json', 'content-length': Buffer.byteLength(payload)}),
		...(call.ifNoneMatch !== undefined && {'if-none-match': call.ifNoneMatch}),
	};
}

function exchange(sent: ClientRequest, payload: string | undefined): Promise<Answer> {
	return new Promise<Answer>((resolve, reject) => {
		const connection = watchConnection(sent);
		sent.on('error', (error: NodeJS.ErrnoException) => {
			const reason = sent.reusedSocket && error.code === 'ECONNRESET' ? staleConnection : error.message;
			reject(PlatformError.create(connection.isEstablished ? {type: 'lost', reason} : {type: 'unreachable', reason}));
		});
		sent.once('response', response => {
			readText(response).then(text => {
				resolve({status: response.statusCode ?? 0, retryAfter: response.headers['retry-after'], etag: response.headers.etag, text});
			}, (error: unknown) => {
				reject(PlatformError.create({type: 'lost', reason: String(error)}));
			});
		});
		sent.end(payload);
	});
}

async function readText(response: IncomingMessage): Promise<string> {
	const chunks: Uint8Array[] = [];
	let total = 0;
	for await (const chunk of response as AsyncIterable<Uint8Array>) {
		chunks.push(chunk);
		total += chunk.length;
		if (total > maximumAnswerBytes) {
			throw new Error('the answer is too large');
		}
	}

	return Buffer.concat(chunks).toString('utf8');
}

export const statusNotModified = 304;
const statusGone = 410;

function interpret(answer: Answer): HttpAnswer {
	if (answer.status === statusNotModified) {
		return {status: answer.status, body: undefined, etag: answer.etag};
	}

	const body = parseJson(answer.text);
	if (answer.status === 200 || answer.status === statusGone) {
		if (body === undefined) {
			throw PlatformError.create({type: 'malformed', reason: 'the answer is not JSON'});
		}

		return {status: answer.status, body, etag: answer.etag};
	}

	const seconds = Number(answer.retryAfter);
	throw PlatformError.create({
		type: 'status',
		status: answer.status,
		reason: errorMessage(body),
		...(answer.retryAfter !== undefined && Number.isFinite(seconds) && {retryAfterMilliseconds: seconds * 1000}),
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
