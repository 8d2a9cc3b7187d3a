/**
 * Load pattern: a fault or an overload makes many requests fail at once. Without a budget each of
 * them is retried up to the attempt limit, and the retries double the load on the remaining endpoints, so
 * that the fleet stays down after the fault is gone.
 *
 * Retries are therefore limited to about a tenth of recent requests, with a small minimum rate so that an
 * entry with little traffic may still retry. The retries of each request are also limited by its deadline, by a number of
 * attempts, and by the verdict: a request that may have run is retried only if it is idempotent.
 */
import {type Failure, FailureKind, mayRetry as verdictAllows} from '../../model/index.js';

/** Retries added to the budget by each request: a tenth keeps the added load below the headroom of a fleet that runs at 90% of its capacity. */
export const retriesPerRequest = 0.1;
/** Retries added per second even without traffic: the loss of one endpoint in a quiet period affects a handful of requests. */
export const minimumRetriesPerSecond = 1;
/** Maximum size of the budget: enough for the retries after the loss of one endpoint with 32 slots at an entry that had used half of them. */
export const maxBudgetTokens = 20;
/** Maximum number of attempts of one request, including the first. */
export const attemptLimit = 4;

/** A token bucket for retries. Times are milliseconds. */
export type RetryBudget = {readonly tokens: number; readonly at: number};

export type RetryEvent = {readonly type: 'request'} | {readonly type: 'retry'};

/** A budget that is half full. */
export function createRetryBudget(now: number): RetryBudget {
	return {tokens: maxBudgetTokens / 2, at: now};
}

/** A request adds to the budget, a retry spends from it. */
export function stepRetryBudget(state: RetryBudget, event: RetryEvent, now: number): RetryBudget {
	const refilled = state.tokens + (Math.max(0, now - state.at) / 1000 * minimumRetriesPerSecond);
	const at = Math.max(now, state.at);
	switch (event.type) {
		case 'request': {
			return {tokens: Math.min(maxBudgetTokens, refilled + retriesPerRequest), at};
		}

		case 'retry': {
			return {tokens: Math.min(maxBudgetTokens, refilled) - 1, at};
		}
	}
}

/** True if the budget covers one more retry. */
export function budgetAllows(state: RetryBudget, now: number): boolean {
	const refilled = state.tokens + (Math.max(0, now - state.at) / 1000 * minimumRetriesPerSecond);
	return Math.min(maxBudgetTokens, refilled) >= 1;
}

/** A failed attempt. */
export type Attempt = {
	readonly failure: Failure;
	/** Failed attempts of the request so far, including this one; preempted ones don't count. */
	readonly attempts: number;
	readonly idempotent: boolean;
	/** Whether any part of the body was sent to a side in this or an earlier attempt. */
	readonly isBodySent: boolean;
	/** The time by which the request must have a slot, on the same clock as `now`. */
	readonly deadline: number;
};

/** To retry after a delay, or the reason to give up. */
export type RetryDecision
	/** A free retry does not spend from the budget. */
	= | {readonly type: 'retry'; readonly afterMilliseconds: number; readonly free: boolean}
		| {readonly type: 'give-up'; readonly reason: 'final' | 'verdict' | 'attempts' | 'deadline' | 'budget'};

/** Decides whether and when to retry at another endpoint. `random` is uniform in [0, 1) and provides the jitter that spreads the retries after a fault. */
export function decideRetry(budget: RetryBudget, attempt: Attempt, random: number, now: number): RetryDecision {
	const backoff = backoffMilliseconds(attempt.failure, attempt.attempts);
	if (backoff === undefined) {
		return {type: 'give-up', reason: 'final'};
	}

	// A side may report "not run" while the body is on its way and then still starts the request: a retry would
	// print a kitchen ticket twice. A non-idempotent request is therefore never retried once its body was sent.
	if (!verdictAllows(attempt.failure.verdict, attempt.idempotent) || (attempt.isBodySent && !attempt.idempotent)) {
		return {type: 'give-up', reason: 'verdict'};
	}

	// A preempted stream is no failure: the number of preemptions is limited by the queue, not by this budget.
	const free = attempt.failure.kind === FailureKind.preempted;
	if (!free && attempt.attempts >= attemptLimit) {
		return {type: 'give-up', reason: 'attempts'};
	}

	const afterMilliseconds = backoff * (0.5 + random);
	if (now + afterMilliseconds >= attempt.deadline) {
		return {type: 'give-up', reason: 'deadline'};
	}

	return free || budgetAllows(budget, now) ? {type: 'retry', afterMilliseconds, free} : {type: 'give-up', reason: 'budget'};
}

/** When a side shuts down or is lost, others can be tried at once. */
const immediateRetryMilliseconds = 0;
/** The queues of other endpoints are probably just as full: wait about as long as it takes until a slot is released. */
const queueBackoffMilliseconds = 50;
/** An endpoint that failed quickly may fail the next attempt too. */
const failureBackoffMilliseconds = 20;

/** The first backoff by kind of failure; a kind that is absent is final, since another endpoint can't help. */
const initialBackoffMilliseconds: Partial<Record<FailureKind, number>> = {
	[FailureKind.stopping]: immediateRetryMilliseconds,
	[FailureKind.endpointLost]: immediateRetryMilliseconds,
	[FailureKind.preempted]: immediateRetryMilliseconds,
	// The slot offer expired before the body arrived; the request's total time in queues is limited by its deadline.
	[FailureKind.queueTimeout]: immediateRetryMilliseconds,
	[FailureKind.endpointFailed]: failureBackoffMilliseconds,
	[FailureKind.badAnswer]: failureBackoffMilliseconds,
	[FailureKind.queueFull]: queueBackoffMilliseconds,
	[FailureKind.noEndpoint]: queueBackoffMilliseconds,
	[FailureKind.notReady]: queueBackoffMilliseconds,
};

/** The backoff before the next attempt, or undefined if another endpoint can't help. */
export function backoffMilliseconds(failure: Failure, attempts: number): number | undefined {
	const initial = initialBackoffMilliseconds[failure.kind];
	return initial === undefined ? undefined : initial * (2 ** (attempts - 1));
}
