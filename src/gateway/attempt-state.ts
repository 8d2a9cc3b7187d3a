import {Buffer} from 'node:buffer';
import {Verdict} from '../model/index.js';
import {type Attempt, type AttemptEvent} from './attempt.js';
import {type Decision} from './decision.js';
import {EventSplitter} from './event-splitter.js';
import {type ResponseMetadata, type RawHeaders, type RequestCodec} from './types.js';

/** Beyond prediction and target by this, silence counts against an endpoint though the request stays there. */
const silenceMilliseconds = 400;

/** How an attempt ended. */
export type Outcome
	= | {readonly type: 'done'}
		| {readonly type: 'left'}
		| {readonly type: 'expired'}
		| {readonly type: 'failed'; readonly verdict: Verdict; readonly reason: string; readonly isUnsent?: boolean; readonly endpointAnswer?: HeldAnswer | undefined};

/** An endpoint's own whole failure, which goes to the caller if nobody else is asked. */
export type HeldAnswer = {readonly status: number; readonly headers: RawHeaders; readonly body: Uint8Array};

type FollowerOptions = {
	readonly attempt: Attempt;
	readonly number: number;
	readonly decision: Extract<Decision, {type: 'placed'}>;
	readonly isStream: boolean;
	readonly requestId: string;
	readonly codec: RequestCodec;
};

/** What one sending has brought so far. */
export class AttemptFollower {
	static create(options: FollowerOptions): AttemptFollower {
		return new AttemptFollower(options);
	}

	readonly attempt: Attempt;
	readonly number: number;
	readonly decision: Extract<Decision, {type: 'placed'}>;
	readonly startedAt = performance.now();
	readonly splitter = EventSplitter.create();
	isStream: boolean;
	isPassing = false;
	isFailure = false;
	status = 0;
	rawHeaders: RawHeaders = [];
	firstEventAt: number | undefined;
	lastEventAt: number | undefined;
	longestPauseMilliseconds = 0;
	events = 0;
	/** When silence starts to count against the endpoint. */
	suspectAt: number | undefined;
	heldBytes = 0;
	readonly #requestId: string;
	readonly #codec: RequestCodec;
	#held: Uint8Array[] = [];

	private constructor(options: FollowerOptions) {
		this.attempt = options.attempt;
		this.number = options.number;
		this.decision = options.decision;
		this.isStream = options.isStream;
		this.#requestId = options.requestId;
		this.#codec = options.codec;
		this.suspectAt = this.startedAt + (options.decision.expectedMilliseconds * 3) + silenceMilliseconds;
	}

	/** Takes the status line; an outcome means that what follows is not this request's answer. */
	head({status, headers, rawHeaders}: Extract<AttemptEvent, {type: 'head'}>): Outcome | undefined {
		const answer = this.#codec.readResponse(status, headers);
		this.status = status;
		this.rawHeaders = rawHeaders;
		if (answer.isNotRun || answer.isMisdirected) {
			return {type: 'failed', verdict: Verdict.notRun, reason: answer.isMisdirected ? 'other endpoint' : 'rejected'};
		}

		const fault = faultOf(answer, this.#requestId);
		if (fault !== undefined) {
			return {type: 'failed', verdict: Verdict.mayHaveRun, reason: fault};
		}

		this.suspectAt = this.isStream ? this.suspectAt : undefined;
		this.isFailure = status >= 500;
		this.isStream &&= status >= 200 && status < 300;
		return undefined;
	}

	/** An event of the stream came whole. */
	event(now: number): void {
		this.suspectAt = undefined;
		this.firstEventAt ??= now;
		this.longestPauseMilliseconds = Math.max(this.longestPauseMilliseconds, now - (this.lastEventAt ?? now));
		this.lastEventAt = now;
		this.events += 1;
	}

	hold(bytes: Uint8Array): void {
		this.#held.push(bytes);
		this.heldBytes += bytes.length;
	}

	takeHeld(): Uint8Array {
		const held = Buffer.concat(this.#held);
		this.#held = [];
		return held;
	}
}

/**
 * Failure: a late second answer, or another request's, arrives where this one's is due. Symptom: a
 * caller reads another caller's artwork. An answer that does not name this request is not passed on.
 */
function faultOf(answer: ResponseMetadata, requestId: string): string | undefined {
	if (answer.requestId !== undefined && answer.requestId !== requestId) {
		return 'answer of another request';
	}

	if (!answer.isGenuine) {
		return 'no whole answer of the endpoint';
	}

	return answer.promisesNotRun ? 'a promise that the endpoint does not make good' : undefined;
}
