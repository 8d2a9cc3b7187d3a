import {type Alarm, type Body, type Channel, receive, wait} from '../concurrency/index.js';
import {createFailure, type Failure, FailureKind, type RequestSummary, Verdict} from '../model/index.js';
import {type MessageOf, type StreamMessage} from '../wire/index.js';
import {type Fleet} from './fleet.js';
import {type ResponseWriter} from './protocol/index.js';
import {type RequestEvent} from './request-event.js';
import {type Slot} from './slot.js';

/** Events that a side may send ahead of what the caller has read. */
export const creditWindow = 256;
/** Credit is granted in batches, so that one frame covers many events. */
const creditBatch = creditWindow / 4;

/** The part of the response that the caller already has. It is kept across attempts, so that a stream can resume. */
export type Progress = {
	/** All token events so far, in order; the length is the index of the next token. */
	readonly events: string[];
	firstTokenAt: number | undefined;
};

export type RelayEnd
	= | {readonly type: 'whole'; readonly usage: string | undefined}
		| {readonly type: 'failed'; readonly failure: Failure}
		| {readonly type: 'caller-left'};

/** How long a side may send nothing during a request before it counts as hung. */
export const stallTimeoutMilliseconds = 20_000;

/** How often one stream's progress is reported to placement, which detects stragglers over seconds. */
const progressReportMilliseconds = 100;

export type RelayOptions = {
	readonly fleet: Fleet;
	readonly summary: RequestSummary;
	readonly inbox: Channel<RequestEvent>;
	readonly slot: Slot;
	readonly response: ResponseWriter;
	readonly progress: Progress;
	/** Ends an attempt that makes no progress for `stallTimeoutMilliseconds`. */
	readonly timer: Alarm;
};

/**
 * Relays the response of one attempt to the caller. The index of every chunk must be the number of events that the
 * caller already has, and the count in the `end` message must match it as well. A gap, a repetition or a response
 * that is too short is a fault of the endpoint and ends the attempt. A truncated stream is never ended as if it
 * were complete.
 */
export class Relay {
	static create(options: RelayOptions): Relay {
		return new Relay(options);
	}

	readonly #options: RelayOptions;
	/** Events written to the caller for which no credit was granted to the side yet. */
	#uncreditedEvents = 0;
	/**
	 * When progress was last reported to placement, initially the start of the attempt; moved forward by the time
	 * spent waiting for a slow caller.
	 */
	#progressedAt = performance.now();
	/** Tokens since `#progressedAt` that were not reported to placement yet. */
	#unreportedTokens = 0;

	private constructor(options: RelayOptions) {
		this.#options = options;
	}

	* run(): Body<RelayEnd> {
		for (;;) {
			this.#options.timer.set(stallTimeoutMilliseconds);
			const event = yield * receive(this.#options.inbox);
			const end = yield * this.#handleEvent(event ?? {type: 'caller-left'});
			if (end !== undefined) {
				this.#close(end);
				return end;
			}
		}
	}

	* #handleEvent(event: RequestEvent): Body<RelayEnd | undefined> {
		const {slot} = this.#options;
		switch (event.type) {
			case 'frame': {
				const isExpected = event.link === slot.link && event.message.stream === slot.stream;
				return isExpected ? yield * this.#handleFrame(event.message) : undefined;
			}

			case 'link-lost': {
				return event.link === slot.link ? endpointLostEnd('The connection to the endpoint broke.') : undefined;
			}

			case 'caller-left': {
				return this.#handleCallerLeft();
			}

			case 'claim-stopped': {
				return undefined;
			}

			case 'alarm': {
				if (!this.#options.timer.hasFired) {
					return undefined;
				}

				this.#send({type: 'cancel'});
				return endpointLostEnd('The endpoint made no progress.');
			}
		}
	}

	/**
	 * Cancels the request if it is idempotent. A request that may not be repeated runs to its end anyway, so
	 * its response is still read to the end, though no longer written: otherwise the response would be missing
	 * when the caller sends the request again.
	 */
	#handleCallerLeft(): RelayEnd | undefined {
		if (!this.#options.summary.idempotent) {
			return undefined;
		}

		this.#send({type: 'cancel'});
		return {type: 'caller-left'};
	}

	* #handleFrame(message: StreamMessage): Body<RelayEnd | undefined> {
		switch (message.type) {
			case 'chunk': {
				return yield * this.#handleChunk(message);
			}

			case 'end': {
				return message.count === this.#options.progress.events.length ? {type: 'whole', usage: message.usage} : badResponseEnd('The response is shorter than announced.');
			}

			case 'refuse': {
				// The slot's offer expired before the body arrived; the side has not sent the body to its endpoint.
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
				return badResponseEnd(`The side sent an unexpected ${message.type} message during a request.`);
			}
		}
	}

	* #handleChunk(message: MessageOf<'chunk'>): Body<RelayEnd | undefined> {
		const {progress, response} = this.#options;
		if (message.index !== progress.events.length) {
			this.#send({type: 'cancel'});
			return badResponseEnd('Tokens arrived out of order.');
		}

		this.#reportProgress(message.events.length);
		progress.events.push(...message.events);
		if (!response.write(message.events)) {
			const waitStartedAt = performance.now();
			yield * wait(response.drained());
			// Time spent waiting for a slow caller must not count against the endpoint.
			this.#progressedAt += performance.now() - waitStartedAt;
		}

		this.#grantCredit(message.events.length);
		return undefined;
	}

	/** Reports progress to placement, at most once per `progressReportMilliseconds`, as placement copies its state on each event. */
	#reportProgress(tokens: number): void {
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
		if (milliseconds >= progressReportMilliseconds) {
			fleet.observe({type: 'progressed', endpoint: slot.endpoint, request: summary.id, tokens: this.#unreportedTokens, milliseconds});
			this.#progressedAt = now;
			this.#unreportedTokens = 0;
		}
	}

	#grantCredit(events: number): void {
		this.#uncreditedEvents += events;
		if (this.#uncreditedEvents >= creditBatch) {
			this.#send({type: 'credit', events: this.#uncreditedEvents});
			this.#uncreditedEvents = 0;
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

function endpointLostEnd(message: string): RelayEnd {
	return {type: 'failed', failure: createFailure(FailureKind.endpointLost, message, {verdict: Verdict.mayHaveRun})};
}

function badResponseEnd(message: string): RelayEnd {
	return {type: 'failed', failure: createFailure(FailureKind.badAnswer, message, {verdict: Verdict.mayHaveRun})};
}
