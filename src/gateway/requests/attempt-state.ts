import {areForwardable, isFinalStatus, Verdict} from '../../model/index.js';
import {type Decision} from '../placement/index.js';
import {type MemoryAccount, type MemoryPool} from '../memory/index.js';
import {type ResponseMetadata, type RawHeaders, type RequestCodec} from '../adapter/index.js';
import {type Attempt, type AttemptEvent} from './attempt.js';
import {ByteBuffer} from './byte-buffer.js';
import {EventSplitter, type StreamEvent} from './event-splitter.js';

/**
 * An endpoint that has sent nothing for three times the expected time plus this margin is reported as unreachable, even if the
 * request is not moved to another endpoint.
 */
const silenceMarginMilliseconds = 400;

const firstSuccess = 200;
const firstRedirect = 300;
const firstServerError = 500;

/** The pace of an endpoint is taken over at least this time of a stream, so that events cost little and a slow moment is seen early. */
const paceMilliseconds = 100;

/** An answer that holds no more is never ended for want of memory: usual events and answers of plain services are shorter. */
const smallAnswerBytes = 16 * 1024;

/** Events of a stream, and how long they took. */
export type PaceWindow = {readonly events: number; readonly milliseconds: number};

/** What stood at this instance and at the endpoint when a pause ended. */
export type PauseCircumstances = {
	/** How late this instance's event loop was, so that the event lay unread. */
	readonly lagMilliseconds: number;
	/** Prefill that the endpoint still had to do, as time. */
	readonly backlogMilliseconds: number;
	/** Requests that ran there. */
	readonly running: number;
};

/** The longest time between two events of an attempt, and what stood when it ended; nothing before the second event. */
export type LongestPause = PauseCircumstances & {readonly milliseconds: number};

/** The placement of a request at an endpoint. */
export type PlacedDecision = Extract<Decision, {type: 'placed'}>;

/** How an attempt ended. */
export type Outcome
	= | {readonly type: 'done'}
		| {readonly type: 'left'}
		| {readonly type: 'expired'}
		| {
			readonly type: 'failed'; readonly verdict: Verdict; readonly reason: string;
			/** The connection was never established, or broke before the end of the response. */
			readonly connection?: 'none' | 'broken';
			/** The endpoint had sent nothing for too long. */
			readonly isSilent?: boolean;
			readonly endpointResponse?: BufferedResponse | undefined;
		};

/** An endpoint's complete error response, which is sent to the caller if the request is not retried. */
export type BufferedResponse = {readonly status: number; readonly headers: RawHeaders; readonly body: Uint8Array};

type AttemptStateOptions = {
	readonly attempt: Attempt;
	readonly number: number;
	readonly decision: PlacedDecision;
	readonly isStream: boolean;
	readonly requestId: string;
	readonly codec: RequestCodec;
	/** What all requests of this instance hold of answers. */
	readonly memory: MemoryPool;
	/** Called with the status line and headers of the response, valid or not. */
	readonly onHead: (response: ResponseMetadata) => void;
};

/** What one attempt has received so far. */
export class AttemptState {
	static create(options: AttemptStateOptions): AttemptState {
		return new AttemptState(options);
	}

	readonly attempt: Attempt;
	readonly number: number;
	readonly decision: PlacedDecision;
	readonly requestId: string;
	readonly startedAt = performance.now();
	isStream: boolean;
	isForwarding = false;
	isServerError = false;
	status = 0;
	/** True once the attempt has an outcome, whose event may still wait in the inbox behind others. */
	hasOutcome = false;
	/** True once a response of this endpoint to this request has begun. */
	hasOwnResponse = false;
	rawHeaders: RawHeaders = [];
	firstEventAt: number | undefined;
	lastEventAt: number | undefined;
	/** When the endpoint last sent a part of its answer, or could do so again after its caller had read too slowly. */
	lastSignAt: number | undefined;
	longestPause: LongestPause | undefined;
	events = 0;
	/** When the endpoint's silence is reported as a failure. */
	suspectAt: number | undefined;
	/** Earliest time of the next search for another endpoint, after one that found none. */
	nextFailoverAt = -Infinity;
	/** True once the endpoint's silence since its last event is reported to its health. */
	hasReportedUnreachable = false;
	/** Searches for another endpoint beside this attempt. */
	searches = 0;
	/** True once the endpoint's silence since its last event is reported to the crash ledger. */
	hasReportedSilence = false;
	/** What this attempt holds of its answer; whoever ends the attempt disposes of it. */
	readonly held: MemoryAccount;
	readonly #splitter = EventSplitter.create();
	readonly #memory: MemoryPool;
	readonly #codec: RequestCodec;
	readonly #onHead: AttemptStateOptions['onHead'];
	readonly #buffered = ByteBuffer.create();
	#paceFrom: {readonly at: number; readonly events: number} | undefined;

	private constructor(options: AttemptStateOptions) {
		this.attempt = options.attempt;
		this.number = options.number;
		this.decision = options.decision;
		this.isStream = options.isStream;
		this.requestId = options.requestId;
		this.#memory = options.memory;
		this.held = options.memory.open();
		this.#codec = options.codec;
		this.#onHead = options.onHead;
		this.suspectAt = this.startedAt + (options.decision.expectedMilliseconds * 3) + silenceMarginMilliseconds;
	}

	/** Handles the status line and headers; an outcome means that the response is not a valid one to this request. */
	handleHead({status, headers, rawHeaders}: Extract<AttemptEvent, {type: 'head'}>): Outcome | undefined {
		const response = this.#codec.readResponse(status, headers);
		this.#onHead(response);
		this.status = status;
		this.rawHeaders = rawHeaders;
		if (isForeign(response, this.requestId)) {
			return {type: 'failed', verdict: Verdict.mayHaveRun, reason: 'answer of another request'};
		}

		this.hasOwnResponse = !response.isMisdirected;
		if (response.isNotRun || response.isMisdirected) {
			return {type: 'failed', verdict: Verdict.notRun, reason: response.isMisdirected ? 'other endpoint' : 'rejected'};
		}

		const reason = areForwardable(rawHeaders) && isFinalStatus(status) ? invalidReason(response) : 'a status or header that cannot be forwarded';
		if (reason !== undefined) {
			return {type: 'failed', verdict: Verdict.mayHaveRun, reason};
		}

		this.suspectAt = this.isStream ? this.suspectAt : undefined;
		this.isServerError = status >= firstServerError;
		this.isStream &&= isSuccess(status);
		return undefined;
	}

	/**
	 * Records a complete event of the stream. Returns the events since the last time that it returned some, and how long they took, once
	 * that is long enough to tell the pace of the endpoint.
	 */
	recordEvent(now: number, circumstances: () => PauseCircumstances): PaceWindow | undefined {
		this.suspectAt = undefined;
		this.recordSign(now);
		this.firstEventAt ??= now;
		this.#recordPause(now, circumstances);
		this.lastEventAt = now;
		this.events += 1;
		return this.#takePace(now);
	}

	/** Records that the endpoint is not silent now. */
	recordSign(now: number): void {
		this.hasReportedSilence = false;
		this.hasReportedUnreachable = false;
		this.lastSignAt = now;
	}

	/** Leaves the time out in which the caller reads too slowly: it shows nothing of the endpoint. */
	skipPace(): void {
		this.#paceFrom = undefined;
	}

	get bufferedBytes(): number {
		return this.#buffered.length;
	}

	buffer(bytes: Uint8Array): void {
		this.#buffered.append(bytes);
		this.#recordHeld();
	}

	takeBuffered(): Uint8Array {
		const buffered = this.#buffered.take();
		this.#recordHeld();
		return buffered;
	}

	/** Splits off the events that are complete with these bytes. Throws if one is longer than the limit. */
	splitEvents(bytes: Uint8Array): StreamEvent[] {
		const events = this.#splitter.push(bytes);
		this.#recordHeld();
		return events;
	}

	/** Bytes of an event that is not complete. */
	get unfinishedBytes(): number {
		return this.#splitter.restBytes;
	}

	/** Whether this is one of the answers that take the memory that all share. */
	get holdsTooMuch(): boolean {
		return this.held.heldBytes > smallAnswerBytes && !this.#memory.hasRoomFor(0);
	}

	#recordPause(now: number, circumstances: () => PauseCircumstances): void {
		const milliseconds = now - (this.lastEventAt ?? now);
		if (milliseconds > (this.longestPause?.milliseconds ?? 0)) {
			this.longestPause = {milliseconds, ...circumstances()};
		}
	}

	#recordHeld(): void {
		this.held.hold(this.#splitter.heldBytes + this.#buffered.heldBytes);
	}

	#takePace(now: number): PaceWindow | undefined {
		if (this.#paceFrom === undefined) {
			this.#paceFrom = {at: now, events: this.events};
			return undefined;
		}

		if (now - this.#paceFrom.at < paceMilliseconds) {
			return undefined;
		}

		const window = {events: this.events - this.#paceFrom.events, milliseconds: now - this.#paceFrom.at};
		this.#paceFrom = {at: now, events: this.events};
		return window;
	}
}

/**
 * Whether a response names another request: a late second response, for example. Whatever it says, that this one has not run among others,
 * says nothing about this one.
 */
export function isForeign({requestId}: ResponseMetadata, ownId: string): boolean {
	return requestId !== undefined && requestId !== ownId;
}

/** Whether an endpoint ran the request to its end; one that fails it may not have begun. */
export function isSuccess(status: number): boolean {
	return status >= firstSuccess && status < firstRedirect;
}

/** Why a response must not be forwarded, if so. */
function invalidReason({isGenuine, promisesNotRun}: ResponseMetadata): string | undefined {
	if (!isGenuine) {
		return 'no whole answer of the endpoint';
	}

	return promisesNotRun ? 'a promise that the endpoint does not make good' : undefined;
}
