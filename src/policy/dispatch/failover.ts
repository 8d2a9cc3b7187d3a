/**
 * Load pattern: an endpoint hangs with requests that may be repeated, or its stream goes quiet. Waited for to the end, callers get
 * nothing though other endpoints have time. After some targets, or some of its longest pauses, a request goes elsewhere while its answer can
 * still be late but useful.
 */

/** Targets without a first event, and predictions, whichever is longer. */
const firstEvent = {targets: 2.5, predictions: 2};
/** Longest pauses without a next event. */
const patiencePauses = 4;

export type Silence = {
	readonly sentAt: number;
	readonly lastEventAt: number | undefined;
	readonly targetMilliseconds: number;
	/** Absent where the answer is no stream. */
	readonly longestPauseMilliseconds: number | undefined;
	/** From sending to the first event, as foreseen. */
	readonly expectedMilliseconds: number;
};

/** When a silent endpoint is left for another one, on the clock of `sentAt`. */
export function failoverAt({sentAt, lastEventAt, targetMilliseconds, longestPauseMilliseconds, expectedMilliseconds}: Silence): number {
	return lastEventAt === undefined
		? sentAt + Math.max(targetMilliseconds * firstEvent.targets, expectedMilliseconds * firstEvent.predictions)
		: lastEventAt + ((longestPauseMilliseconds ?? targetMilliseconds) * patiencePauses);
}
