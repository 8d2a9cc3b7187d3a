import {Agent, type ClientRequest, type IncomingMessage} from 'node:http';
import {Readable, pipeline} from 'node:stream';
import {RequestError, type Failure} from '../model/index.js';
import {lostCall, openCall} from './open-call.js';
import {headersToCaller, headersToService} from './service-headers.js';

export type ServiceClientSettings = {
	readonly baseUrl: string;
	/** How long a service may take until the head of its answer. */
	readonly headMilliseconds?: number;
};

export type ServiceCall = {
	readonly requestId: string;
	readonly method: string;
	/** Path and query, as the service is to see them. */
	readonly path: string;
	readonly headers: Readonly<Record<string, string>>;
	/** Bytes, or a stream of them; a stream that throws cuts the call. */
	readonly body: Uint8Array | AsyncIterable<Uint8Array>;
	readonly idempotencyKey?: string;
	/** Aborting cuts the call, which may have run all the same. */
	readonly signal?: AbortSignal;
};

export type ServiceAnswer
	/** Any status counts as an answer. `body` throws `RequestError` if it breaks off. */
	= | {readonly type: 'answered'; readonly status: number; readonly headers: Record<string, string>; readonly body: AsyncGenerator<Uint8Array>}
		| {readonly type: 'failed'; readonly failure: Failure};

/** Service calls may be long jobs: a minute bounds those whose connection has silently died. */
const defaultHeadMilliseconds = 60_000;

/** Passes plain HTTP calls through to one service, bodies streamed in both directions. */
export class ServiceClient implements AsyncDisposable {
	static create(settings: ServiceClientSettings): ServiceClient {
		return new ServiceClient(settings);
	}

	readonly #baseUrl: string;
	readonly #headMilliseconds: number;
	readonly #agent = new Agent({keepAlive: true, noDelay: true});

	private constructor(settings: ServiceClientSettings) {
		this.#baseUrl = settings.baseUrl.replace(/\/$/v, '');
		this.#headMilliseconds = settings.headMilliseconds ?? defaultHeadMilliseconds;
	}

	async call(call: ServiceCall): Promise<ServiceAnswer> {
		const opened = await openCall({
			agent: this.#agent,
			isFresh: call.idempotencyKey !== undefined,
			url: this.#baseUrl + call.path,
			method: call.method,
			headers: headersOf(call),
			signal: call.signal,
			headMilliseconds: this.#headMilliseconds,
			write(sent) {
				writeBody(sent, call.body);
			},
		});
		if (opened.type === 'failed') {
			return opened;
		}

		const {response} = opened;
		return {
			type: 'answered', status: response.statusCode ?? 0, headers: headersToCaller(response.headers), body: readBody(response, call.signal),
		};
	}

	async [Symbol.asyncDispose](): Promise<void> {
		this.#agent.destroy();
	}
}

function headersOf(call: ServiceCall): Record<string, string> {
	return {
		...headersToService(call.headers),
		...(call.body instanceof Uint8Array && {'content-length': String(call.body.length)}),
		'x-request-id': call.requestId,
		...(call.idempotencyKey !== undefined && {'idempotency-key': call.idempotencyKey}),
	};
}

function writeBody(sent: ClientRequest, body: ServiceCall['body']): void {
	if (body instanceof Uint8Array) {
		sent.end(body);
		return;
	}

	pipeline(Readable.from(body), sent, () => {
		// A body that breaks off destroys the call, which reports it.
	});
}

/**
 * Failure: a service dies in the middle of an answer. Symptom: the caller takes half a ticket for a
 * whole one. Node tells a body that broke off from one that ended, and this passes it on as a throw.
 */
async function * readBody(response: IncomingMessage, signal: AbortSignal | undefined): AsyncGenerator<Uint8Array> {
	try {
		for await (const chunk of response as AsyncIterable<Uint8Array>) {
			yield chunk;
		}
	} catch (error) {
		throw RequestError.create(lostCall(error instanceof Error ? error : new Error(String(error)), true, signal));
	}
}
