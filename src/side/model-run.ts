import {type Body, wait} from '../concurrency/index.js';
import {type EngineClient, type EngineEvent} from '../endpoint/index.js';
import {createFailure, FailureKind, Verdict} from '../model/index.js';
import {maximumEventLength, type MessageOf} from '../wire/index.js';
import {CreditWindow} from './credit-window.js';
import {type Reservation, type RunResult, type RunningPhase, sendToEntry} from './reservation.js';

/** One model call to run at this endpoint. */
export type ModelRun = {
	readonly engine: EngineClient;
	readonly reservation: Reservation;
	readonly phase: RunningPhase;
	readonly start: MessageOf<'start'>;
	/** Called with the number of tokens that were forwarded. */
	readonly onTokens: (tokens: number) => void;
};

/**
 * Runs a model call at the engine and forwards its events to the entry, in order and within the credit.
 * `end` is sent to the entry only after the engine has marked the response as complete.
 */
export function * runModel({engine, reservation, phase, start, onTokens}: ModelRun): Body<RunResult> {
	const credit = CreditWindow.create(start.credit, phase.input);
	const forwarder = ResponseForwarder.create(reservation, start.resumeTokens, onTokens);
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
			return {type: 'failed', failure: createFailure(FailureKind.badAnswer, 'The engine ended its response early.', {verdict: Verdict.mayHaveRun})};
		}

		const result = forwarder.forward(next.value);
		credit.spend(next.value.length);
		if (result !== undefined) {
			return result;
		}
	}

	phase.abort.abort();
	return {type: 'stopped'};
}

/** Forwards a response to the entry and keeps the index of the next token. */
class ResponseForwarder {
	static create(reservation: Reservation, firstIndex: number, onTokens: (tokens: number) => void): ResponseForwarder {
		return new ResponseForwarder(reservation, firstIndex, onTokens);
	}

	#nextIndex: number;
	#usage: string | undefined;
	readonly #reservation: Reservation;
	readonly #onTokens: (tokens: number) => void;

	private constructor(reservation: Reservation, firstIndex: number, onTokens: (tokens: number) => void) {
		this.#reservation = reservation;
		this.#nextIndex = firstIndex;
		this.#onTokens = onTokens;
	}

	/** Forwards the events of one turn of the event loop, as one chunk unless they are too long for it; returns the result of the run once the stream has ended. */
	forward(events: readonly EngineEvent[]): RunResult | undefined {
		const tokens: string[] = [];
		let end: RunResult | undefined;
		for (const event of events) {
			end ??= this.#classify(event, tokens);
		}

		for (const part of split(tokens)) {
			sendToEntry(this.#reservation, {type: 'chunk', index: this.#nextIndex, events: part});
			this.#nextIndex += part.length;
		}

		if (tokens.length > 0) {
			this.#onTokens(tokens.length);
		}

		if (end?.type === 'whole') {
			sendToEntry(this.#reservation, {type: 'end', count: this.#nextIndex, usage: this.#usage});
		}

		return end;
	}

	#classify(event: EngineEvent, tokens: string[]): RunResult | undefined {
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

/** The events in parts that each fit into one message. */
function split(events: string[]): string[][] {
	const parts: string[][] = [];
	let length = Infinity;
	for (const event of events) {
		length += event.length;
		if (length > maximumEventLength) {
			parts.push([]);
			length = event.length;
		}

		parts.at(-1)!.push(event);
	}

	return parts;
}
