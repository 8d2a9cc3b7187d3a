import {Buffer} from 'node:buffer';
import {Agent, type IncomingMessage} from 'node:http';
import {createFailure, FailureKind, isRefusal, Verdict, type Failure} from '../model/index.js';
import {createBadResponseFailure} from './response-checker.js';
import {type EngineEvent} from './engine-event.js';
import {readEngineStream} from './engine-stream.js';
import {openCall} from './open-call.js';
import {discard, readJson} from './read-response.js';
import {readRetryAfter} from './retry-after.js';

export type EngineClientSettings = {
	/** For example `http://127.0.0.1:9000`. */
	readonly baseUrl: string;
	/** The call fails if its response delivers no data for this long. */
	readonly idleTimeoutMilliseconds?: number;
};

/** One model call, or the rest of one whose first tokens the caller already has. */
export type EngineRun = {
	readonly requestId: string;
	readonly method: string;
	readonly path: string;
	readonly headers: Readonly<Record<string, string>>;
	readonly body: Uint8Array;
	/** How many tokens the caller already has, and their text; 0 and empty for a new call. */
	readonly resumeTokens: number;
	readonly resumeText: string;
	/** 0 is the highest priority. */
	readonly priority: number;
	readonly idempotencyKey?: string;
	/** Aborting cancels the request at the engine. */
	readonly signal?: AbortSignal;
};

/**
 * This time is more than a thousand engine steps of a few milliseconds. An engine that is only slow or loaded
 * sends data within it, and a frozen engine or a half-open connection occupies a slot no longer than this.
 */
const defaultIdleTimeoutMilliseconds = 10_000;

/** Streams model calls from one engine. Every event it yields has been checked; a protocol error ends the stream with `failed`. */
export class EngineClient implements AsyncDisposable {
	static create(settings: EngineClientSettings): EngineClient {
		return new EngineClient(settings);
	}

	readonly #baseUrl: string;
	readonly #idleTimeoutMilliseconds: number;
	readonly #agent = new Agent({keepAlive: true, noDelay: true});

	private constructor(settings: EngineClientSettings) {
		this.#baseUrl = settings.baseUrl.replace(/\/$/v, '');
		this.#idleTimeoutMilliseconds = settings.idleTimeoutMilliseconds ?? defaultIdleTimeoutMilliseconds;
	}

	/**
	 * Runs a call. Each array holds the events of one turn of the event loop; the very last event is
	 * `done` or `failed`. Ending the iteration early cancels the call. While the consumer does not
	 * pull, the connection is not read, so a slow caller applies backpressure to its own stream only.
	 */
	async * run(run: EngineRun): AsyncGenerator<EngineEvent[]> {
		const body = bodyOf(run);
		const opened = await openCall({
			agent: this.#agent,
			usesNewConnection: run.idempotencyKey !== undefined,
			url: this.#baseUrl + run.path,
			method: run.method,
			headers: headersOf(run, body),
			signal: run.signal,
			headerTimeoutMilliseconds: this.#idleTimeoutMilliseconds,
			write(request) {
				request.end(body);
			},
		});
		if (opened.type === 'failed') {
			yield [{type: 'failed', failure: opened.failure}];
			return;
		}

		const {response} = opened;
		const failure = await failureOf(response);
		if (failure !== undefined) {
			yield [{type: 'failed', failure}];
			return;
		}

		yield * readEngineStream({
			response, requestId: run.requestId, firstIndex: run.resumeTokens, idleTimeoutMilliseconds: this.#idleTimeoutMilliseconds, signal: run.signal,
		});
	}

	async [Symbol.asyncDispose](): Promise<void> {
		this.#agent.destroy();
	}
}

function headersOf(run: EngineRun, body: Uint8Array): Record<string, string> {
	return {
		...run.headers,
		'content-type': 'application/json',
		accept: 'text/event-stream',
		'content-length': String(body.length),
		'x-request-id': run.requestId,
		'x-priority': String(run.priority),
		...(run.idempotencyKey !== undefined && {'idempotency-key': run.idempotencyKey}),
		...(run.resumeTokens > 0 && {'x-resume-tokens': String(run.resumeTokens)}),
	};
}

function bodyOf(run: EngineRun): Uint8Array {
	if (run.resumeTokens === 0) {
		return run.body;
	}

	const body = JSON.parse(Buffer.from(run.body).toString('utf8')) as Record<string, unknown>;
	return Buffer.from(JSON.stringify({...body, resume_text: run.resumeText}));
}

const statusOk = 200;
const statusBadRequest = 400;
const statusTooManyRequests = 429;

/** The failure for a response that is not an event stream; `undefined` if it is one. */
async function failureOf(response: IncomingMessage): Promise<Failure | undefined> {
	const status = response.statusCode ?? 0;
	if (status === statusOk) {
		if (response.headers['content-type']?.startsWith('text/event-stream')) {
			return undefined;
		}

		discard(response);
		return createBadResponseFailure('The engine sent a response that is not an event stream.');
	}

	const retryAfterMilliseconds = readRetryAfter(response.headers);
	const body = await readJson(response);
	const reason = errorMessage(body) ?? 'no reason given';
	// By the published protocol a 4xx means that nothing happened; after any other status the request may have run.
	return createFailure(kindOfStatus(status), `The engine refused with status ${status}: ${reason}.`, {
		verdict: isRefusal(status) ? Verdict.notRun : Verdict.mayHaveRun,
		...(retryAfterMilliseconds !== undefined && {retryAfterMilliseconds}),
	});
}

function kindOfStatus(status: number): FailureKind {
	switch (status) {
		case statusBadRequest: {
			return FailureKind.badRequest;
		}

		case statusTooManyRequests: {
			return FailureKind.queueFull;
		}

		default: {
			return FailureKind.endpointFailed;
		}
	}
}

const maxReasonLength = 200;

function errorMessage(body: unknown): string | undefined {
	const message = (body as {error?: {message?: unknown}} | undefined)?.error?.message;
	return typeof message === 'string' ? message.slice(0, maxReasonLength) : undefined;
}
