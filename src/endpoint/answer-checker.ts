import {createFailure, FailureKind, Verdict, type Failure} from '../model/index.js';
import {type EngineEvent} from './engine-event.js';

const doneMark = '[DONE]';

type SentEvent = {readonly id?: unknown; readonly token_index?: unknown; readonly usage?: unknown; readonly error?: unknown};

/**
 * Failure: an engine mixes up its streams, repeats or skips an event, or sends one that belongs to a
 * request of before. Symptom: a caller reads another's text, or a word twice. Every event is held
 * against the request id and the number that is due, so the first that does not fit ends the
 * answer as failed and is not passed on.
 */
export class AnswerChecker {
	/** `next` is the number of the first token that is due. */
	static create(requestId: string, next: number): AnswerChecker {
		return new AnswerChecker(requestId, next);
	}

	readonly #requestId: string;
	#next: number;
	#announced: unknown;

	private constructor(requestId: string, next: number) {
		this.#requestId = requestId;
		this.#next = next;
	}

	/** The checked event; `undefined` for one that carries neither a token nor the usage. */
	check(data: string): EngineEvent | undefined {
		if (data === doneMark) {
			return this.#end();
		}

		const event = parse(data);
		if (event === undefined) {
			return fault('The engine sent an event that is not JSON.');
		}

		if (event.error !== undefined) {
			return {type: 'failed', failure: createFailure(FailureKind.endpointFailed, 'The engine ended its answer with an error.', {verdict: Verdict.mayHaveRun})};
		}

		if (event.id !== this.#requestId) {
			return fault('The engine sent an event of another request.');
		}

		if (event.token_index === undefined) {
			return this.#takeUsage(event, data);
		}

		if (event.token_index !== this.#next) {
			return fault(`The engine sent token ${JSON.stringify(event.token_index)} where ${this.#next} was due.`);
		}

		this.#next++;
		return {type: 'token', index: this.#next - 1, data};
	}

	#takeUsage(event: SentEvent, data: string): EngineEvent | undefined {
		const usage = event.usage as {completion_tokens?: unknown} | undefined;
		if (!isPresent(usage)) {
			return undefined;
		}

		this.#announced = usage?.completion_tokens;
		return {type: 'usage', data};
	}

	/**
	 * Failure: the very last token went to another stream, or was skipped. Symptom: no later number
	 * shows the gap, and the caller takes an answer without its last word for whole. The usage event
	 * says how many tokens there are, and an end that does not agree with it is a fault.
	 */
	#end(): EngineEvent {
		return this.#announced === this.#next ? {type: 'done'} : fault(`The engine ended its answer with ${this.#next} tokens and announced ${JSON.stringify(this.#announced) ?? 'none'}.`);
	}
}

/** The failure of an answer that breaks the protocol: the engine has run the request, in whole or in part. */
export function badAnswer(message: string): Failure {
	return createFailure(FailureKind.badAnswer, message, {verdict: Verdict.mayHaveRun});
}

function fault(message: string): EngineEvent {
	return {type: 'failed', failure: badAnswer(message)};
}

function isPresent(value: unknown): boolean {
	return typeof value === 'object' && Boolean(value);
}

function parse(data: string): SentEvent | undefined {
	try {
		const value = JSON.parse(data) as unknown;
		return isPresent(value) ? value as SentEvent : undefined;
	} catch {
		return undefined;
	}
}
