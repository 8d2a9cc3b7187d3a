/**
 * Load pattern: a fault or an overload makes many requests fail at once. Without a budget each of
 * them is sent again, up to the attempt limit, and the retries double the load on what is left, so
 * that the fleet stays down after the fault has gone.
 *
 * Retries are therefore bounded to about a tenth of recent requests, with a small floor so that a
 * quiet entry may still retry. Each request is also bounded by its deadline, by a number of
 * attempts, and by its verdict: what may have run is sent again only if it is idempotent.
 */
import {type Failure, FailureKind, mayRetry as verdictAllows} from '../../model/index.js';

/** Retries earned by each request: a tenth keeps the added load below what a fleet run at 90% can bear. */
export const budgetShare = 0.1;
/** Earned a second without any traffic: one endpoint lost while quiet strands a handful of requests. */
export const floorPerSecond = 1;
/** Held at most: the retries of one lost endpoint with 32 slots at an entry that had half of them. */
export const largestBudget = 20;
/** Attempts of one request, the first included. */
export const largestAttempts = 4;

/** How much may be spent on retries now. */
export type RetryBudget = {readonly tokens: number; readonly at: number};

export type RetryEvent = {readonly type: 'request'} | {readonly type: 'retry'};

export function createRetryBudget(now: number): RetryBudget {
	return {tokens: largestBudget / 2, at: now};
}

/** A request earns, a retry spends. */
export function stepRetryBudget(state: RetryBudget, event: RetryEvent, now: number): RetryBudget {
	const earned = state.tokens + (Math.max(0, now - state.at) / 1000 * floorPerSecond);
	const at = Math.max(now, state.at);
	switch (event.type) {
		case 'request': {
			return {tokens: Math.min(largestBudget, earned + budgetShare), at};
		}

		case 'retry': {
			return {tokens: Math.min(largestBudget, earned) - 1, at};
		}
	}
}

export function budgetAllows(state: RetryBudget, now: number): boolean {
	const earned = state.tokens + (Math.max(0, now - state.at) / 1000 * floorPerSecond);
	return Math.min(largestBudget, earned) >= 1;
}

/** One failed attempt. */
export type Attempt = {
	readonly failure: Failure;
	/** Attempts that failed so far, this one included; preempted ones don't count. */
	readonly attempts: number;
	readonly idempotent: boolean;
	/** Whether any part of the body was sent to a side in this or an earlier attempt. */
	readonly isBodySent: boolean;
	/** When the request must have a slot, by the caller's clock of `now`. */
	readonly deadline: number;
};

export type RetryDecision
	/** A free retry costs no budget. */
	= | {readonly type: 'retry'; readonly afterMilliseconds: number; readonly free: boolean}
		| {readonly type: 'give-up'; readonly reason: 'final' | 'verdict' | 'attempts' | 'deadline' | 'budget'};

/** Whether, and when, to try elsewhere. `random` is uniform in [0, 1) and spreads the retries of one fault. */
export function decideRetry(budget: RetryBudget, attempt: Attempt, random: number, now: number): RetryDecision {
	const backoff = backoffMilliseconds(attempt.failure, attempt.attempts);
	if (backoff === undefined) {
		return {type: 'give-up', reason: 'final'};
	}

	// Failure: a side's "not run" crosses with a body that did start. Symptom: a kitchen ticket is
	// printed twice. Once its body has left, a non-idempotent request is nobody's to send again.
	if (!verdictAllows(attempt.failure.verdict, attempt.idempotent) || (attempt.isBodySent && !attempt.idempotent)) {
		return {type: 'give-up', reason: 'verdict'};
	}

	// A preempted stream did not fail: how often that happens is bounded by the queue, not by this budget.
	const free = attempt.failure.kind === FailureKind.preempted;
	if (!free && attempt.attempts >= largestAttempts) {
		return {type: 'give-up', reason: 'attempts'};
	}

	const afterMilliseconds = backoff * (0.5 + random);
	if (now + afterMilliseconds >= attempt.deadline) {
		return {type: 'give-up', reason: 'deadline'};
	}

	return free || budgetAllows(budget, now) ? {type: 'retry', afterMilliseconds, free} : {type: 'give-up', reason: 'budget'};
}

/** A side that goes away leaves others that can be asked at once. */
const elsewhereMilliseconds = 0;
/** A full queue elsewhere is likely just as full: wait for about a slot to free. */
const queueMilliseconds = 50;
/** An endpoint that failed fast may fail the next one too. */
const failureMilliseconds = 20;

/** The first wait by kind of failure; a kind that is missing is final, as trying elsewhere can't help. */
const firstBackoff: Partial<Record<FailureKind, number>> = {
	[FailureKind.stopping]: elsewhereMilliseconds,
	[FailureKind.endpointLost]: elsewhereMilliseconds,
	[FailureKind.preempted]: elsewhereMilliseconds,
	// The offer lapsed before the body came; the request's own time in queues is checked by its deadline.
	[FailureKind.queueTimeout]: elsewhereMilliseconds,
	[FailureKind.endpointFailed]: failureMilliseconds,
	[FailureKind.badAnswer]: failureMilliseconds,
	[FailureKind.queueFull]: queueMilliseconds,
	[FailureKind.noEndpoint]: queueMilliseconds,
	[FailureKind.notReady]: queueMilliseconds,
};

/** The wait before the next attempt, or undefined where trying elsewhere can't help. */
export function backoffMilliseconds(failure: Failure, attempts: number): number | undefined {
	const first = firstBackoff[failure.kind];
	return first === undefined ? undefined : first * (2 ** (attempts - 1));
}
