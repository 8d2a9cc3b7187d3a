/**
 * Decides when a request leaves a silent endpoint. Load pattern: an endpoint hangs with requests that may be repeated,
 * or its stream falls silent. If these requests waited to the end, their callers would get nothing although other
 * endpoints have time. After a few targets, or a few of its longest pauses, a request goes to another endpoint while
 * its response can still be late but useful.
 */

/** Targets without a first event, and predicted times, whichever is longer. */
const firstEventFactors = {targets: 2.5, predictions: 2};
/** Longest pauses without a next event. */
const maxPauses = 4;

/** Timing of one attempt, in milliseconds. */
export type AttemptTiming = {
	readonly sentAt: number;
	readonly lastEventAt: number | undefined;
	readonly targetMilliseconds: number;
	/** Undefined where the response is not a stream. */
	readonly longestPauseMilliseconds: number | undefined;
	/** Predicted time from sending to the first event. */
	readonly expectedMilliseconds: number;
};

/** Time at which the request leaves a silent endpoint for another one, on the clock of `sentAt`. */
export function failoverAt({sentAt, lastEventAt, targetMilliseconds, longestPauseMilliseconds, expectedMilliseconds}: AttemptTiming): number {
	return lastEventAt === undefined
		? sentAt + Math.max(targetMilliseconds * firstEventFactors.targets, expectedMilliseconds * firstEventFactors.predictions)
		: lastEventAt + ((longestPauseMilliseconds ?? targetMilliseconds) * maxPauses);
}
