/**
 * Load pattern: the time of day of some machines jumps by seconds and back, and a virtual machine is suspended for seconds. Usage
 * is counted by windows of true time, and a lease must end while its holder is suspended. Without this module a jump would move
 * requests into other windows, and a suspended holder would act on an expired lease.
 *
 * A jump of the time of day against the steady clock is not followed: a process can't tell it from a suspension, during which the
 * steady clock stands still. The median of what the other instances say corrects the estimate after either.
 */

/** Readings of the machine's steady clock and of its time of day, in milliseconds. */
export type ClockReadings = {readonly steady: number; readonly wall: number};

/** What is known of the time: `lease` as in `DutyClock`, and how far Unix time is ahead of the elapsed time. */
export type TimeEstimate = {
	readonly last: ClockReadings;
	/** Milliseconds since the start by the steady clock. */
	readonly elapsed: number;
	readonly lease: number;
	readonly offset: number;
	/** The latest differences of the median of other instances, while each was more than `correctionMilliseconds` in one direction. */
	readonly doubts: readonly number[];
};

/** A larger difference between the two clocks is a jump or a suspension; a smaller one is drift. */
const jumpMilliseconds = 100;
/** A larger difference from the median is corrected. */
export const correctionMilliseconds = 250;
/** So many differences in a row are needed for a correction: a few messages that were late are no reason for one. */
const doubtsBeforeCorrection = 4;

export function createTimeEstimate(readings: ClockReadings): TimeEstimate {
	return {last: readings, elapsed: 0, lease: 0, offset: readings.wall, doubts: []};
}

/** Unix time by the estimate. */
export function estimatedTime({elapsed, offset}: TimeEstimate): number {
	return elapsed + offset;
}

/** Takes new readings. A jump of the time of day leaves the estimate as it is; drift is followed. */
export function advanceTime(estimate: TimeEstimate, readings: ClockReadings): TimeEstimate {
	const steady = readings.steady - estimate.last.steady;
	const wall = readings.wall - estimate.last.wall;
	const drift = wall - steady;
	return {
		...estimate,
		last: readings,
		elapsed: estimate.elapsed + steady,
		lease: estimate.lease + Math.max(steady, wall),
		offset: estimate.offset + (Math.abs(drift) > jumpMilliseconds ? 0 : drift),
	};
}

/** Takes how far the median of the instances is ahead of this estimate. */
export function correctTime(estimate: TimeEstimate, ahead: number): TimeEstimate {
	if (Math.abs(ahead) <= correctionMilliseconds) {
		return estimate.doubts.length === 0 ? estimate : {...estimate, doubts: []};
	}

	const doubts = [...estimate.doubts.filter(doubt => Math.sign(doubt) === Math.sign(ahead)), ahead];
	if (doubts.length < doubtsBeforeCorrection) {
		return {...estimate, doubts};
	}

	// A message that is on its way for long makes its sender seem to be behind, so the largest difference is the most exact one.
	return {...estimate, offset: estimate.offset + Math.max(...doubts), doubts: []};
}

/** The middle of some numbers; 0 if there are none. */
export function medianOf(values: readonly number[]): number {
	const sorted = values.toSorted((left, right) => left - right);
	return sorted[Math.floor(sorted.length / 2)] ?? 0;
}
