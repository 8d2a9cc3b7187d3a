import {channel, tryDeliver, type Channel} from '../../concurrency/index.js';
import {
	admit, applyLease, createLimiter, createReport, finish, lacksLease, reportIntervalMilliseconds, spendTokens,
	type Demand, type FleetPosition, type Lease, type LimiterDecision, type LimiterState, type Limits,
} from '../../policy/limits/index.js';

/** The limits of a class, and this entry's position among the live ones. */
export type LimitContext = {readonly limits: Limits; readonly fleetPosition: FleetPosition};

/** A class without requests for this long is no longer reported, and its state is discarded. */
const classIdleMilliseconds = 10_000;
/**
 * After an allocator did not respond, requests use the even share (an equal part of the limit per entry) for this
 * long, without waiting for a lease.
 */
const timeoutBackoffMilliseconds = 500;
/** Requests of one class that may wait for a lease; further ones use the even share at once. */
const maxFirstLeaseWaiters = 64;

/** A class with limits, as this entry applies them: its state, its reports and the requests that wait for its lease. Times are those of `performance.now()`. */
export class LimitedClass {
	static create(context: LimitContext, now: number): LimitedClass {
		return new LimitedClass(createLimiter(context, now));
	}

	#state: LimiterState;
	#reportedAt = Number.NEGATIVE_INFINITY;
	/** When a wait for a lease last timed out. */
	#lastTimeoutAt = Number.NEGATIVE_INFINITY;
	readonly #waiting = new Set<Channel<true>>();

	private constructor(state: LimiterState) {
		this.#state = state;
	}

	/** True if no request of the class runs, or has arrived or ended lately. */
	isIdle(now: number): boolean {
		return this.#state.running === 0 && now - this.#state.lastUsedAt > classIdleMilliseconds;
	}

	lacksLease(now: number): boolean {
		return lacksLease(this.#state, now);
	}

	/** True if a report may be sent now; an urgent one, for a request that would be refused, may be sent sooner. */
	isReportDue(isUrgent: boolean, now: number): boolean {
		return now - this.#reportedAt >= reportIntervalMilliseconds(this.#state, isUrgent);
	}

	/** Decides on one request, and counts it if it is admitted. */
	decide(context: LimitContext, promptTokens: number, now: number): LimiterDecision {
		const {state, decision} = admit(this.#state, {...context, promptTokens}, now);
		this.#state = state;
		return decision;
	}

	spend(tokens: number): void {
		this.#state = spendTokens(this.#state, tokens);
	}

	/** An admitted request has ended. */
	finish(now: number): void {
		if (this.#state.running > 0) {
			this.#state = finish(this.#state, now);
		}
	}

	/** The demand since the last report, which this one ends. */
	takeReport(now: number): Demand {
		const {state, demand} = createReport(this.#state, now);
		this.#state = state;
		this.#reportedAt = now;
		return demand;
	}

	/** Applies a lease, and wakes the requests that wait for it. */
	applyLease(context: LimitContext, lease: Lease, now: number): void {
		this.#state = applyLease(this.#state, context, lease, now);
		for (const waiter of this.#waiting) {
			tryDeliver(waiter, true);
		}
	}

	/** A channel that gets a value with the next lease; `undefined` if a request should use the share it has. */
	waitForLease(now: number): Channel<true> | undefined {
		if (now - this.#lastTimeoutAt < timeoutBackoffMilliseconds || this.#waiting.size >= maxFirstLeaseWaiters) {
			return undefined;
		}

		const leaseArrived = channel<true>(1);
		this.#waiting.add(leaseArrived);
		return leaseArrived;
	}

	/** Ends a wait, with or without a lease. */
	endWait(leaseArrived: Channel<true>, hasTimedOut: boolean, now: number): void {
		this.#waiting.delete(leaseArrived);
		if (hasTimedOut) {
			this.#lastTimeoutAt = now;
		}
	}
}
