import {createFailure, FailureKind, Verdict, type Failure} from '../model/index.js';
import {maximumEventLength} from '../wire/index.js';
import {type EngineEvent} from './engine-event.js';

const doneMarker = '[DONE]';
/** The longest text of an engine that a failure's message quotes, in characters; a message that is too long would close the connection to the entry. */
const maximumQuoteLength = 50;

type RawEvent = {readonly id?: unknown; readonly token_index?: unknown; readonly usage?: unknown; readonly error?: unknown};

/**
 * Checks every event of a response against the request id and the expected token index. The first
 * event that does not match ends the response as failed and is not forwarded. Without this, an engine
 * that mixes up its streams, repeats or skips an event, or sends one of an earlier request would make
 * a caller receive another caller's text, or a word twice.
 */
export class ResponseChecker {
	/** `firstIndex` is the expected index of the first token. */
	static create(requestId: string, firstIndex: number): ResponseChecker {
		return new ResponseChecker(requestId, firstIndex);
	}

	readonly #requestId: string;
	#nextIndex: number;
	#reportedTokens: unknown;

	private constructor(requestId: string, firstIndex: number) {
		this.#requestId = requestId;
		this.#nextIndex = firstIndex;
	}

	/** The checked event; `undefined` for one that carries neither a token nor the usage. */
	check(data: string): EngineEvent | undefined {
		if (data === doneMarker) {
			return this.#checkEnd();
		}

		if (data.length > maximumEventLength) {
			return protocolError(`The engine sent an event of ${data.length} characters.`);
		}

		const event = parse(data);
		if (event === undefined) {
			return protocolError('The engine sent an event that is not JSON.');
		}

		if (event.error !== undefined) {
			return {type: 'failed', failure: createFailure(FailureKind.endpointFailed, 'The engine ended its response with an error.', {verdict: Verdict.mayHaveRun})};
		}

		if (event.id !== this.#requestId) {
			return protocolError('The engine sent an event of another request.');
		}

		if (event.token_index === undefined) {
			return this.#checkUsage(event, data);
		}

		if (event.token_index !== this.#nextIndex) {
			return protocolError(`The engine sent token ${quote(event.token_index)} where ${this.#nextIndex} was expected.`);
		}

		this.#nextIndex++;
		return {type: 'token', index: this.#nextIndex - 1, data};
	}

	#checkUsage(event: RawEvent, data: string): EngineEvent | undefined {
		const usage = event.usage as {completion_tokens?: unknown} | undefined;
		if (!isObject(usage)) {
			return undefined;
		}

		this.#reportedTokens = usage?.completion_tokens;
		return {type: 'usage', data};
	}

	/**
	 * Compares the number of tokens with the count in the usage event; a mismatch is a protocol error.
	 * If the very last token was skipped or went to another stream, no later index reveals the gap, and
	 * the caller would take a response without its last word for complete.
	 */
	#checkEnd(): EngineEvent {
		return this.#reportedTokens === this.#nextIndex
			? {type: 'done'}
			: protocolError(`The engine ended its response with ${this.#nextIndex} tokens and reported ${quote(this.#reportedTokens)}.`);
	}
}

/** The failure for a response that violates the protocol: the engine has run the request, completely or in part. */
export function createBadResponseFailure(message: string): Failure {
	return createFailure(FailureKind.badAnswer, message, {verdict: Verdict.mayHaveRun});
}

function protocolError(message: string): EngineEvent {
	return {type: 'failed', failure: createBadResponseFailure(message)};
}

function quote(value: unknown): string {
	return JSON.stringify(value)?.slice(0, maximumQuoteLength) ?? 'none';
}

function isObject(value: unknown): boolean {
	return typeof value === 'object' && Boolean(value);
}

function parse(data: string): RawEvent | undefined {
	try {
		const value = JSON.parse(data) as unknown;
		return isObject(value) ? value as RawEvent : undefined;
	} catch {
		return undefined;
	}
}
