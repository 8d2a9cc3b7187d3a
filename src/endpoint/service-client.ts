import {Agent, type ClientRequest} from 'node:http';
import {Readable, pipeline} from 'node:stream';
import {areForwardable, isFinalStatus, RequestError, type Failure} from '../model/index.js';
import {type AnsweredCall, createConnectionFailure, openCall} from './open-call.js';
import {createBadResponseFailure} from './response-checker.js';
import {readRetryAfter} from './retry-after.js';
import {responseHeadersForCaller, requestHeadersForService} from './service-headers.js';

export type ServiceClientSettings = {
	readonly baseUrl: string;
	/** How long to wait for the response headers. */
	readonly headerTimeoutMilliseconds?: number;
};

export type ServiceCall = {
	readonly requestId: string;
	readonly method: string;
	/** Path and query, as they are sent to the service. */
	readonly path: string;
	readonly headers: Readonly<Record<string, string>>;
	/** Bytes, or a stream of them; a stream that throws aborts the call. */
	readonly body: Uint8Array | AsyncIterable<Uint8Array>;
	readonly idempotencyKey?: string;
	/** Aborting closes the connection; the call may have run nevertheless. */
	readonly signal?: AbortSignal;
};

export type ServiceResponse
	/** A response with any status. `body` throws `RequestError` if it is incomplete. */
	= | {
		readonly type: 'answered';
		readonly status: number;
		readonly headers: Record<string, string>;
		readonly body: AsyncGenerator<Uint8Array>;
		/** The service refuses the call and wants no other one for this time. */
		readonly backoffMilliseconds: number | undefined;
	}
	| {readonly type: 'failed'; readonly failure: Failure};

/** Too many requests, and service unavailable. With other statuses `Retry-After` concerns the resource of the one call. */
const refusalStatuses: ReadonlySet<number> = new Set([429, 503]);
/** A service call may be a long job. A minute limits the wait for a call whose connection is dead but was not closed. */
const defaultHeaderTimeoutMilliseconds = 60_000;

/** Proxies plain HTTP calls to one service, with bodies streamed in both directions. */
export class ServiceClient implements AsyncDisposable {
	static create(settings: ServiceClientSettings): ServiceClient {
		return new ServiceClient(settings);
	}

	readonly #baseUrl: string;
	readonly #headerTimeoutMilliseconds: number;
	readonly #agent = new Agent({keepAlive: true, noDelay: true});

	private constructor(settings: ServiceClientSettings) {
		this.#baseUrl = settings.baseUrl.replace(/\/$/v, '');
		this.#headerTimeoutMilliseconds = settings.headerTimeoutMilliseconds ?? defaultHeaderTimeoutMilliseconds;
	}

	async call(call: ServiceCall): Promise<ServiceResponse> {
		const opened = await openCall({
			agent: this.#agent,
			usesNewConnection: call.idempotencyKey !== undefined,
			url: this.#baseUrl + call.path,
			method: call.method,
			headers: headersOf(call),
			signal: call.signal,
			headerTimeoutMilliseconds: this.#headerTimeoutMilliseconds,
			write(request) {
				writeBody(request, call.body);
			},
		});
		if (opened.type === 'failed') {
			return opened;
		}

		const {response, answer} = opened;
		const status = response.statusCode ?? 0;
		if (!isFinalStatus(status) || !areForwardable(response.rawHeaders)) {
			response.destroy();
			return {type: 'failed', failure: createBadResponseFailure(`status ${status} or a header that cannot be forwarded`)};
		}

		return {
			type: 'answered', status, headers: responseHeadersForCaller(response.headers), body: readBody(opened, call.signal),
			backoffMilliseconds: refusalStatuses.has(status) ? readRetryAfter(response.headers) : undefined,
		};
	}

	async [Symbol.asyncDispose](): Promise<void> {
		this.#agent.destroy();
	}
}

function headersOf(call: ServiceCall): Record<string, string> {
	return {
		...requestHeadersForService(call.headers),
		...(call.body instanceof Uint8Array && {'content-length': String(call.body.length)}),
		'x-request-id': call.requestId,
		...(call.idempotencyKey !== undefined && {'idempotency-key': call.idempotencyKey}),
	};
}

function writeBody(request: ClientRequest, body: ServiceCall['body']): void {
	if (body instanceof Uint8Array) {
		request.end(body);
		return;
	}

	pipeline(Readable.from(body), request, () => {
		// An incomplete body destroys the request, whose error listener reports it.
	});
}

/**
 * Yields the body and throws if it is incomplete. Without the error, if a service fails in the middle of a response, its caller would take
 * the partial response for a complete one.
 */
async function * readBody({response, answer}: AnsweredCall, signal: AbortSignal | undefined): AsyncGenerator<Uint8Array> {
	try {
		for await (const chunk of response as AsyncIterable<Uint8Array>) {
			yield chunk;
		}
	} catch (error) {
		throw RequestError.create(createConnectionFailure(error instanceof Error ? error : new Error(String(error)), true, signal));
	}

	if (answer.isBroken) {
		throw RequestError.create(createConnectionFailure(new Error('reset'), true, signal));
	}
}
