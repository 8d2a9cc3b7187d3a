/**
 * Decides when a request leaves a silent endpoint, one that sends no events. Load pattern: an endpoint hangs with
 * requests that may be repeated, or its stream stops. If these requests waited until their deadline, their callers
 * would get no response although other endpoints have free capacity. After a small multiple of its target without a
 * first event, or of its longest pause without a next event, a request goes to another endpoint while its response can
 * still be late but useful.
 */

/**
 * Multiples of the target and of the predicted time after which a request without a first event leaves the endpoint;
 * the longer of the two times counts.
 */
const firstEventFactors = {targets: 2.5, predictions: 2};
/** Multiple of the longest pause after which a request without a next event leaves the endpoint. */
const pauseFactor = 4;

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
		: lastEventAt + ((longestPauseMilliseconds ?? targetMilliseconds) * pauseFactor);
}
