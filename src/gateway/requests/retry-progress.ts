import {combineVerdicts, Verdict} from '../../model/index.js';
import {type RetryGrant} from '../../policy/dispatch/index.js';
import {type Route, RouteKind} from '../../routing/index.js';
import {type Outcome} from './attempt-state.js';

export type FailedOutcome = Extract<Outcome, {type: 'failed'}>;

/** What the caller was sent of a response. */
export type BegunResponse = {
	readonly hasResponse: boolean;
	/** Id of the last event that the caller was sent. */
	readonly lastEventId: string | undefined;
};

/** State of a request at the time of the decision whether it is retried. */
export type RetryContext = BegunResponse & {
	readonly hasLeft: boolean;
	readonly remainingMilliseconds: number;
	/** False if the instance stops before another attempt could end. */
	readonly mayStart: boolean;
	/** Whether the request, or a part of its prompt, has crashed endpoints, or most likely has, and is not sent on. */
	readonly isQuarantined: () => boolean;
	/** Reserves one retry of the allowance of all instances. */
	readonly reserveRetry: () => RetryGrant;
};

/** Whether a failed request is retried, and if not, the reason. */
export type RetryDecision
	= | {readonly type: 'retry'}
		| {readonly type: 'give-up'; readonly reason: 'may-have-run' | 'attempts' | 'response-begun' | 'left' | 'deadline' | 'stopping' | 'quarantined'}
	/** All instances together have made as many retries as are allowed, or this one its share of them. */
		| {readonly type: 'give-up'; readonly reason: 'allowance'; readonly grant: RetryGrant};

/** With less time than this left, an attempt is not started. */
export const minRunMilliseconds = 15;

/** What the attempts of one request have shown so far, and whether another one may follow. */
export class RetryProgress {
	static create(route: Route): RetryProgress {
		return new RetryProgress(route);
	}

	readonly #route: Route;
	#verdict: Verdict = Verdict.notRun;
	/** Number of attempts that may have run the request. */
	#possibleRuns = 0;
	#hasReservation = false;

	private constructor(route: Route) {
		this.#route = route;
	}

	/** The verdict on all attempts together. */
	get verdict(): Verdict {
		return this.#verdict;
	}

	get isIdempotent(): boolean {
		return this.#route.kind === RouteKind.safe || this.#isResumable;
	}

	/** True if the request may run at one more endpoint while the attempt in progress may still run it, and its caller can be sent what that one answers. */
	mayFailOver(response: BegunResponse): boolean {
		return this.isIdempotent && this.#possibleRuns + 1 < this.#route.largestAttempts && this.#canGoOn(response);
	}

	/** Records a failed attempt and decides whether another one follows. */
	decide(outcome: FailedOutcome, context: RetryContext): RetryDecision {
		this.#possibleRuns += outcome.verdict === Verdict.notRun ? 0 : 1;
		this.#verdict = combineVerdicts(this.#verdict, outcome.verdict);
		const reason = this.#obstacle(outcome, context);
		if (reason !== undefined) {
			return {type: 'give-up', reason};
		}

		// An attempt that was never sent has taken nothing from the allowance, and the next one is the first to arrive; a failover may have been reserved.
		if (outcome.connection === 'none' || this.#hasReservation) {
			return {type: 'retry'};
		}

		const grant = context.reserveRetry();
		this.#hasReservation = grant.isGranted;
		return grant.isGranted ? {type: 'retry'} : {type: 'give-up', reason: 'allowance', grant};
	}

	/** Records that an attempt has ended without its outcome: it may have run. */
	recordUnknownRun(): void {
		this.#verdict = combineVerdicts(this.#verdict, Verdict.mayHaveRun);
	}

	/**
	 * Reserves the retry of a request whose response has begun before it leaves a silent endpoint, and returns whether it may leave. Once it has left, a
	 * retry that is not granted would break off a response that the endpoint may still go on with. A search for its next place takes time: what stands
	 * against the retry is asked again at its end.
	 */
	reserveFailover(context: RetryContext): boolean {
		if (this.#obstacle({verdict: Verdict.mayHaveRun}, context) !== undefined) {
			return false;
		}

		this.#hasReservation ||= context.reserveRetry().isGranted;
		return this.#hasReservation;
	}

	/** True once after a decision that has reserved a retry, for the caller to record it as sent or to release it. */
	takeReservation(): boolean {
		const hadReservation = this.#hasReservation;
		this.#hasReservation = false;
		return hadReservation;
	}

	get #isResumable(): boolean {
		return this.#route.kind === RouteKind.stream && this.#route.resumable;
	}

	/** Whether another endpoint can answer after what the caller was sent: nothing, or events after which the stream may go on. */
	#canGoOn({hasResponse, lastEventId}: BegunResponse): boolean {
		return !hasResponse || (this.#isResumable && lastEventId !== undefined);
	}

	#obstacle({verdict}: Pick<FailedOutcome, 'verdict'>, {hasLeft, remainingMilliseconds, mayStart, hasResponse, lastEventId, isQuarantined}: RetryContext): Exclude<Extract<RetryDecision, {type: 'give-up'}>['reason'], 'allowance'> | undefined {
		if (verdict !== Verdict.notRun && !this.isIdempotent) {
			return 'may-have-run';
		}

		if (verdict !== Verdict.notRun && this.#possibleRuns >= this.#route.largestAttempts) {
			return 'attempts';
		}

		if (!this.#canGoOn({hasResponse, lastEventId})) {
			return 'response-begun';
		}

		if (hasLeft) {
			return 'left';
		}

		if (remainingMilliseconds <= minRunMilliseconds) {
			return 'deadline';
		}

		if (!mayStart) {
			return 'stopping';
		}

		return isQuarantined() ? 'quarantined' : undefined;
	}
}
