/**
 * When a request is ended so that its final response leaves in time.
 *
 * Load pattern: see loop-lag.ts. A timer of a late loop fires late by its lag, and an endpoint's last words are read late by the same; without
 * a margin the caller has the response that much after its time. An answer that has begun has no margin: what comes until its time is over is the
 * caller's, and nobody waits for another response.
 */

/** The margin takes at most this share of a request's time: most of it remains for the endpoint, however late the loop is. */
const largestMarginShare = 0.25;

/** The time of a request, on the monotonic clock. */
export type TimeLimit = {
	readonly arrivedAt: number;
	/** When its caller's deadline or its route's timeout ends it, whichever is first. */
	readonly deadlineAt: number;
	/** Whether the caller has been sent the beginning of the answer. */
	readonly hasBegun: boolean;
};

/** When the request is ended; its deadline while the loop is in time, or once its answer has begun. */
export function endAt({arrivedAt, deadlineAt, hasBegun}: TimeLimit, lagMilliseconds: number): number {
	return hasBegun ? deadlineAt : deadlineAt - Math.min(lagMilliseconds, (deadlineAt - arrivedAt) * largestMarginShare);
}

/**
 * When to look next whether to end the request: a timer that was set while the loop was in time would fire too late if the loop has become
 * late since, so that it is looked at once more where the largest margin begins.
 */
export function nextLookAt(limit: TimeLimit, {lagMilliseconds, now}: {lagMilliseconds: number; now: number}): number {
	const marginAt = endAt(limit, Infinity);
	return now < marginAt ? Math.min(marginAt, endAt(limit, lagMilliseconds)) : endAt(limit, lagMilliseconds);
}
