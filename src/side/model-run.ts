import {type Body, wait} from '../concurrency/index.js';
import {type EngineClient, type EngineEvent} from '../endpoint/index.js';
import {createFailure, FailureKind, Verdict} from '../model/index.js';
import {type MessageOf} from '../wire/index.js';
import {CreditWindow} from './credit-window.js';
import {type Reservation, type RunEnd, type RunningPhase, toEntry} from './reservation.js';

/** One model call that is to run here. */
export type ModelRun = {
	readonly engine: EngineClient;
	readonly reservation: Reservation;
	readonly phase: RunningPhase;
	readonly start: MessageOf<'start'>;
	/** Called with the number of tokens that were passed on. */
	readonly onTokens: (tokens: number) => void;
};

/**
 * Runs a model call at the engine and passes its events to the entry, in order and within credit.
 * The entry hears `end` only after the engine said that the answer is whole.
 */
export function * runModel({engine, reservation, phase, start, onTokens}: ModelRun): Body<RunEnd> {
	const credit = CreditWindow.create(start.credit, phase.input);
	const answer = AnswerInProgress.create(reservation, start.resumeTokens, onTokens);
	const events = engine.run({
		requestId: reservation.summary.id,
		method: start.method,
		path: start.path,
		headers: start.headers,
		body: start.body,
		resumeTokens: start.resumeTokens,
		resumeText: start.resumeText,
		priority: reservation.summary.tier,
		idempotencyKey: start.headers['idempotency-key'],
		signal: phase.abort.signal,
	});
	while (yield * credit.hasCredit()) {
		reservation.progressedAt += credit.waitedMilliseconds;

		const next = yield * wait(events.next());
		if (phase.stopped) {
			break;
		}

		if (next.done) {
			return {type: 'failed', failure: createFailure(FailureKind.badAnswer, 'The engine ended its answer early.', {verdict: Verdict.mayHaveRun})};
		}

		const end = answer.take(next.value);
		credit.spend(next.value.length);
		if (end !== undefined) {
			return end;
		}
	}

	phase.abort.abort();
	return {type: 'stopped'};
}

/** The part of the answer that has been passed on, and with it the index of the next token. */
class AnswerInProgress {
	static create(reservation: Reservation, firstIndex: number, onTokens: (tokens: number) => void): AnswerInProgress {
		return new AnswerInProgress(reservation, firstIndex, onTokens);
	}

	#count: number;
	#usage: string | undefined;
	readonly #reservation: Reservation;
	readonly #onTokens: (tokens: number) => void;

	private constructor(reservation: Reservation, firstIndex: number, onTokens: (tokens: number) => void) {
		this.#reservation = reservation;
		this.#count = firstIndex;
		this.#onTokens = onTokens;
	}

	/** Passes one turn's events on as one chunk; gives the end of the stream once it is reached. */
	take(events: readonly EngineEvent[]): RunEnd | undefined {
		const tokens: string[] = [];
		let end: RunEnd | undefined;
		for (const event of events) {
			end ??= this.#sort(event, tokens);
		}

		if (tokens.length > 0) {
			toEntry(this.#reservation, {type: 'chunk', index: this.#count, events: tokens});
			this.#count += tokens.length;
			this.#onTokens(tokens.length);
		}

		if (end?.type === 'whole') {
			toEntry(this.#reservation, {type: 'end', count: this.#count, usage: this.#usage});
		}

		return end;
	}

	#sort(event: EngineEvent, tokens: string[]): RunEnd | undefined {
		switch (event.type) {
			case 'token': {
				tokens.push(event.data);
				return undefined;
			}

			case 'usage': {
				this.#usage = event.data;
				return undefined;
			}

			case 'done': {
				return {type: 'whole'};
			}

			case 'failed': {
				return {type: 'failed', failure: event.failure};
			}
		}
	}
}
