import {Buffer} from 'node:buffer';
import {Agent, type IncomingMessage} from 'node:http';
import {createFailure, FailureKind, Verdict, type Failure} from '../model/index.js';
import {badAnswer} from './answer-checker.js';
import {type EngineEvent} from './engine-event.js';
import {readEngineStream} from './engine-stream.js';
import {openCall} from './open-call.js';
import {discard, readJson} from './read-answer.js';

export type EngineClientSettings = {
	/** For example `http://127.0.0.1:9000`. */
	readonly baseUrl: string;
	/** An answer that brings nothing for so long is given up as lost. */
	readonly silenceMilliseconds?: number;
};

/** One model call, or the rest of one whose first tokens the caller already has. */
export type EngineRun = {
	readonly requestId: string;
	readonly method: string;
	readonly path: string;
	readonly headers: Readonly<Record<string, string>>;
	readonly body: Uint8Array;
	/** How many tokens the caller has, and their text; 0 and empty for a new call. */
	readonly resumeTokens: number;
	readonly resumeText: string;
	/** 0 is first. */
	readonly priority: number;
	readonly idempotencyKey?: string;
	/** Aborting cancels the request at the engine. */
	readonly signal?: AbortSignal;
};

/**
 * A thousand steps of a few milliseconds and more: an engine that is merely slow or crowded speaks
 * within it, and a frozen one or a half-open connection holds a slot no longer than this.
 */
const defaultSilenceMilliseconds = 10_000;

/** Streams model calls from one engine. What it yields has been checked; a fault ends the stream as `failed`. */
export class EngineClient implements AsyncDisposable {
	static create(settings: EngineClientSettings): EngineClient {
		return new EngineClient(settings);
	}

	readonly #baseUrl: string;
	readonly #silenceMilliseconds: number;
	readonly #agent = new Agent({keepAlive: true, noDelay: true});

	private constructor(settings: EngineClientSettings) {
		this.#baseUrl = settings.baseUrl.replace(/\/$/v, '');
		this.#silenceMilliseconds = settings.silenceMilliseconds ?? defaultSilenceMilliseconds;
	}

	/**
	 * Runs a call. Each array holds the events of one turn of the event loop; the very last event is
	 * `done` or `failed`. Ending the iteration early cancels the call. While the consumer does not
	 * ask, the connection is not read, so a slow caller holds back its own stream alone.
	 */
	async * run(run: EngineRun): AsyncGenerator<EngineEvent[]> {
		const body = bodyOf(run);
		const opened = await openCall({
			agent: this.#agent,
			isFresh: run.idempotencyKey !== undefined,
			url: this.#baseUrl + run.path,
			method: run.method,
			headers: headersOf(run, body),
			signal: run.signal,
			headMilliseconds: this.#silenceMilliseconds,
			write(sent) {
				sent.end(body);
			},
		});
		if (opened.type === 'failed') {
			yield [{type: 'failed', failure: opened.failure}];
			return;
		}

		const {response} = opened;
		const refusal = await refusalOf(response);
		if (refusal !== undefined) {
			yield [{type: 'failed', failure: refusal}];
			return;
		}

		yield * readEngineStream({
			response, requestId: run.requestId, first: run.resumeTokens, silenceMilliseconds: this.#silenceMilliseconds, signal: run.signal,
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
const statusTooMany = 429;
const firstServerError = 500;

/** Why an answer is no stream of events; `undefined` if it is one. */
async function refusalOf(response: IncomingMessage): Promise<Failure | undefined> {
	const status = response.statusCode ?? 0;
	if (status === statusOk) {
		if (response.headers['content-type']?.startsWith('text/event-stream')) {
			return undefined;
		}

		discard(response);
		return badAnswer('The engine answered with something else than a stream of events.');
	}

	const retryAfterSeconds = Number(response.headers['retry-after']);
	const body = await readJson(response);
	const reason = errorMessage(body) ?? 'no reason given';
	// By the published protocol a 4xx says that nothing happened; a 5xx leaves it open.
	return createFailure(kindOfStatus(status), `The engine refused with status ${status}: ${reason}.`, {
		verdict: status >= firstServerError ? Verdict.mayHaveRun : Verdict.notRun,
		...(Number.isFinite(retryAfterSeconds) && {retryAfterMilliseconds: retryAfterSeconds * 1000}),
	});
}

function kindOfStatus(status: number): FailureKind {
	switch (status) {
		case statusBadRequest: {
			return FailureKind.badRequest;
		}

		case statusTooMany: {
			return FailureKind.queueFull;
		}

		default: {
			return FailureKind.endpointFailed;
		}
	}
}

const longestReason = 200;

function errorMessage(body: unknown): string | undefined {
	const message = (body as {error?: {message?: unknown}} | undefined)?.error?.message;
	return typeof message === 'string' ? message.slice(0, longestReason) : undefined;
}
