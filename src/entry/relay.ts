import {type Alarm, type Body, type Channel, receive, wait} from '../concurrency/index.js';
import {createFailure, type Failure, FailureKind, type RequestSummary, Verdict} from '../model/index.js';
import {type MessageOf, type StreamMessage} from '../wire/index.js';
import {type Fleet} from './fleet.js';
import {type Answer} from './protocol/index.js';
import {type RequestEvent} from './request-event.js';
import {type Slot} from './slot.js';

/** Events that a side may send ahead of what the caller has taken. */
export const creditWindow = 256;
/** Credit is given back in portions, so that one frame serves many events. */
const creditPortion = creditWindow / 4;

/** The part of the answer that the caller has; it outlives an attempt, so that a stream can resume. */
export type Progress = {
	/** Every token event so far, in order; its length is the next token's index. */
	readonly events: string[];
	firstTokenAt: number | undefined;
};

export type RelayEnd
	= | {readonly type: 'whole'; readonly usage: string | undefined}
		| {readonly type: 'failed'; readonly failure: Failure}
		| {readonly type: 'caller-left'};

/** How long a side may send nothing while a request runs there, before it counts as hung. */
export const stalledMilliseconds = 20_000;

/** How often placement hears of one stream's progress; stragglers are judged over seconds. */
const reportMilliseconds = 100;

export type RelayOptions = {
	readonly fleet: Fleet;
	readonly summary: RequestSummary;
	readonly inbox: Channel<RequestEvent>;
	readonly slot: Slot;
	readonly answer: Answer;
	readonly progress: Progress;
	/** Ends an attempt that makes no progress. */
	readonly alarm: Alarm;
};

/**
 * Passes one attempt's answer on to the caller. Every chunk must continue exactly where the caller's
 * part ends: a gap, a repeat or a short count is a fault of the endpoint and ends the attempt, and a
 * truncated stream is never ended as if it were whole.
 */
export class Relay {
	static create(options: RelayOptions): Relay {
		return new Relay(options);
	}

	readonly #options: RelayOptions;
	#owed = 0;
	#progressedAt = performance.now();
	/** Tokens since `#progressedAt` that placement has not heard of. */
	#unreportedTokens = 0;

	private constructor(options: RelayOptions) {
		this.#options = options;
	}

	* run(): Body<RelayEnd> {
		for (;;) {
			this.#options.alarm.set(stalledMilliseconds);
			const event = yield * receive(this.#options.inbox);
			const end = yield * this.#take(event ?? {type: 'caller-left'});
			if (end !== undefined) {
				this.#close(end);
				return end;
			}
		}
	}

	* #take(event: RequestEvent): Body<RelayEnd | undefined> {
		const {slot} = this.#options;
		switch (event.type) {
			case 'frame': {
				const ours = event.link === slot.link && event.message.stream === slot.stream;
				return ours ? yield * this.#takeFrame(event.message) : undefined;
			}

			case 'link-lost': {
				return event.link === slot.link ? lost('The connection to the endpoint broke.') : undefined;
			}

			case 'caller-left': {
				return this.#callerLeft();
			}

			case 'claim-stopped': {
				return undefined;
			}

			case 'alarm': {
				if (!this.#options.alarm.hasFired) {
					return undefined;
				}

				this.#send({type: 'cancel'});
				return lost('The endpoint made no progress.');
			}
		}
	}

	/**
	 * Failure: the caller of a request that may not be repeated leaves while it runs. Symptom: it runs
	 * to its end all the same, and nobody has its answer when the caller asks again. It is read to its
	 * end, though nothing is written any more.
	 */
	#callerLeft(): RelayEnd | undefined {
		if (!this.#options.summary.idempotent) {
			return undefined;
		}

		this.#send({type: 'cancel'});
		return {type: 'caller-left'};
	}

	* #takeFrame(message: StreamMessage): Body<RelayEnd | undefined> {
		switch (message.type) {
			case 'chunk': {
				return yield * this.#takeChunk(message);
			}

			case 'end': {
				return message.count === this.#options.progress.events.length ? {type: 'whole', usage: message.usage} : badAnswer('The answer is shorter than announced.');
			}

			case 'refuse': {
				// The offer lapsed while the body was under way; the side gave the body to nobody.
				const {kind, message: text, retryAfterMilliseconds} = message;
				return {type: 'failed', failure: createFailure(kind, text, {retryAfterMilliseconds})};
			}

			case 'fail': {
				const {kind, verdict, message: text, retryAfterMilliseconds} = message;
				return {type: 'failed', failure: {kind, verdict, message: text, retryAfterMilliseconds}};
			}

			case 'offer':
			case 'head':
			case 'data':
			case 'reserve':
			case 'withdraw':
			case 'start':
			case 'body':
			case 'credit':
			case 'cancel': {
				return badAnswer(`A side sent ${message.type} while a request ran.`);
			}
		}
	}

	* #takeChunk(message: MessageOf<'chunk'>): Body<RelayEnd | undefined> {
		const {progress, answer} = this.#options;
		if (message.index !== progress.events.length) {
			this.#send({type: 'cancel'});
			return badAnswer('Tokens came out of order.');
		}

		this.#observe(message.events.length);
		progress.events.push(...message.events);
		if (!answer.write(message.events)) {
			const waitsSince = performance.now();
			yield * wait(answer.drained());
			// The time that a slow caller takes says nothing about the endpoint.
			this.#progressedAt += performance.now() - waitsSince;
		}

		this.#giveCredit(message.events.length);
		return undefined;
	}

	/** Tells placement of progress, a few times a second at most: it copies its state on each event. */
	#observe(tokens: number): void {
		const {fleet, slot, summary, progress} = this.#options;
		const now = performance.now();
		const milliseconds = now - this.#progressedAt;
		if (progress.firstTokenAt === undefined) {
			progress.firstTokenAt = now;
			this.#progressedAt = now;
			fleet.observe({type: 'first-token', endpoint: slot.endpoint, request: summary.id, milliseconds});
			return;
		}

		this.#unreportedTokens += tokens;
		if (milliseconds >= reportMilliseconds) {
			fleet.observe({type: 'progressed', endpoint: slot.endpoint, request: summary.id, tokens: this.#unreportedTokens, milliseconds});
			this.#progressedAt = now;
			this.#unreportedTokens = 0;
		}
	}

	#giveCredit(events: number): void {
		this.#owed += events;
		if (this.#owed >= creditPortion) {
			this.#send({type: 'credit', events: this.#owed});
			this.#owed = 0;
		}
	}

	#send(message: {type: 'cancel'} | {type: 'credit'; events: number}): void {
		const {slot, summary} = this.#options;
		slot.link.send({...message, stream: slot.stream, request: summary.id});
	}

	#close(end: RelayEnd): void {
		const {slot, fleet, summary} = this.#options;
		slot.link.closeStream(slot.stream);
		fleet.observe({type: 'ended', endpoint: slot.endpoint, request: summary.id, whole: end.type === 'whole'});
	}
}

function lost(message: string): RelayEnd {
	return {type: 'failed', failure: createFailure(FailureKind.endpointLost, message, {verdict: Verdict.mayHaveRun})};
}

function badAnswer(message: string): RelayEnd {
	return {type: 'failed', failure: createFailure(FailureKind.badAnswer, message, {verdict: Verdict.mayHaveRun})};
}
