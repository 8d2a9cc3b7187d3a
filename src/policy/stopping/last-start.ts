/** Until when an instance that stops begins a request. Load pattern: see run-times.ts. */

/** A request that may be begun. Times are milliseconds of the monotonic clock. */
export type StartingRequest = {
	/** When its caller's deadline or its route's timeout ends it. */
	readonly deadlineAt: number;
	readonly timeoutMilliseconds: number;
	/** How long such requests take; undefined if that is not known. */
	readonly longestMilliseconds: number | undefined;
};

/**
 * The last moment at which a request can be begun so that it ends by `endsAt`. One whose deadline comes before can always be: it has its final
 * response by then. Where nothing is known of its route it may take the whole timeout.
 */
export function lastStartAt({deadlineAt, timeoutMilliseconds, longestMilliseconds}: StartingRequest, endsAt: number): number {
	return deadlineAt <= endsAt ? Infinity : endsAt - Math.min(timeoutMilliseconds, longestMilliseconds ?? Infinity);
}
