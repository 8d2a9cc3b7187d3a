/** Until when an instance that stops begins a request. Load pattern: see run-times.ts. */

/** A request that may be begun. Times are milliseconds of the monotonic clock. */
export type StartingRequest = {
	/** When its caller's deadline or its route's timeout ends it. */
	readonly deadlineAt: number;
	readonly timeoutMilliseconds: number;
	/** How long such requests take; undefined if that is not known. */
	readonly longestMilliseconds: number | undefined;
	/** When it had arrived whole, if it is a stream, which the end would break off; infinite while its body is awaited. */
	readonly streamWholeAt?: number | undefined;
};

/** The times of a stop, which are infinite until it begins. */
export type StopTimes = {
	/** When every request has its final response. */
	readonly endsAt: number;
	/** By when a request must end to be begun, if that is before the end: the platform certainly kills the process later. */
	readonly certainUntil?: number;
	/** A stream that is whole later is not begun unless its deadline comes before the end. */
	readonly lastStreamAt: number;
};

/**
 * The last moment at which a request can be begun so that it ends by the end of a stop. One whose deadline comes before can always be: it has its final
 * response by then. Where nothing is known of its route it may take the whole timeout. How long such requests take is no certainty: an order that takes
 * longer is answered at the end, and a stream is broken off there, which only those that came early in the stop may be.
 */
export function lastStartAt({deadlineAt, timeoutMilliseconds, longestMilliseconds, streamWholeAt = -Infinity}: StartingRequest, {endsAt, lastStreamAt, certainUntil = endsAt}: StopTimes): number {
	if (deadlineAt <= certainUntil) {
		return Infinity;
	}

	const lastAt = certainUntil - Math.min(timeoutMilliseconds, longestMilliseconds ?? Infinity);
	if (streamWholeAt <= lastStreamAt) {
		return lastAt;
	}

	return streamWholeAt === Infinity ? Math.min(lastAt, lastStreamAt) : -Infinity;
}
