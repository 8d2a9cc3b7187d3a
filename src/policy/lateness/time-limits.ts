/**
 * When a request is ended so that its final response leaves in time.
 *
 * Load pattern: see loop-lag.ts. A timer of a late loop fires late by its lag, and an endpoint's last words are read late by the same; without
 * a margin the caller has the response that much after its time. An answer that has begun has no margin: what comes until its time is over is the
 * caller's, and nobody waits for another response.
 *
 * When a request arrived that a late turn has read is known within that turn only, and so is when its time is over. An answer that has begun is ended
 * within that span: at its end, streams of a process that stands still for half a second have no end half a second after their callers' time; at its
 * beginning, they are broken off by as much before it. A planned stop breaks off none before its time is over for certain.
 */

/** The margin takes at most this share of a request's time: most of it remains for the endpoint, however late the loop is. */
const largestMarginShare = 0.25;
/** An end that comes within this time after the request's time is in time. */
const inTimeMilliseconds = 500;

/** The time of a request, on the monotonic clock. */
export type TimeLimit = {
	readonly arrivedAt: number;
	/** When its caller's deadline or its route's timeout ends it, whichever is first, if it arrived as early as it can have. */
	readonly earliestAt: number;
	/** The same if it arrived when it was read: its time is over for certain. */
	readonly latestAt: number;
	/** Whether the caller has been sent the beginning of the answer. */
	readonly hasBegun: boolean;
	/** Whether a planned stop has begun. */
	readonly isStopping: boolean;
};

/** How late the loop is, and how late it may look next. */
export type Lateness = {readonly lagMilliseconds: number; readonly longestMilliseconds: number};

/** When the request is ended. While the loop is in time, that is its deadline. */
export function endAt(limit: TimeLimit, {lagMilliseconds, longestMilliseconds}: Lateness): number {
	const {arrivedAt, earliestAt, hasBegun} = limit;
	return hasBegun ? begunEndAt(limit, longestMilliseconds) : earliestAt - Math.min(lagMilliseconds, (earliestAt - arrivedAt) * largestMarginShare);
}

/**
 * When to look next whether to end the request: a timer that was set while the loop was in time would fire too late if the loop has become
 * late since, so that it is looked at once more where its end can begin to depend on that.
 */
export function nextLookAt(limit: TimeLimit, lateness: Lateness, now: number): number {
	const firstAt = endAt(limit, {lagMilliseconds: Infinity, longestMilliseconds: Infinity});
	return now < firstAt ? firstAt : endAt(limit, lateness);
}

/** The moment from which the end can be as much too early as, by a look that is late by the longest lag, it can be too late. */
function begunEndAt({earliestAt, latestAt, isStopping}: TimeLimit, longestMilliseconds: number): number {
	if (isStopping) {
		return latestAt;
	}

	const balancedAt = ((earliestAt + latestAt) / 2) + ((inTimeMilliseconds - longestMilliseconds) / 2);
	return Math.max(earliestAt, Math.min(latestAt, balancedAt));
}
