/**
 * Load pattern: streams whose pauses matter share engines, whose steps take the longer the more requests they run. How fast an engine
 * writes can't be told from the time between two events alone: a full fast engine would look like an idle slow one.
 *
 * The time between two events of a stream is learned for a service as a straight line over the number of running requests.
 */
export type StepPace = {readonly weight: number; readonly running: number; readonly runningSquared: number; readonly milliseconds: number; readonly product: number};

/** Factor on the weight of older samples with each new one. */
const retainedWeight = 0.995;
/** Below this variance of the number of running requests the line has no slope. */
const leastVariance = 4;
const intervalBounds = {low: 0.5, high: 2000};

export function createStepPace(): StepPace {
	return {weight: 0, running: 0, runningSquared: 0, milliseconds: 0, product: 0};
}

export function learnStepPace(pace: StepPace, running: number, milliseconds: number): StepPace {
	return {
		weight: (pace.weight * retainedWeight) + 1,
		running: (pace.running * retainedWeight) + running,
		runningSquared: (pace.runningSquared * retainedWeight) + (running * running),
		milliseconds: (pace.milliseconds * retainedWeight) + milliseconds,
		product: (pace.product * retainedWeight) + (running * milliseconds),
	};
}

/** Time between two events of a stream at an average engine that runs this many requests; undefined before any sample. */
export function eventIntervalMilliseconds({weight, running, runningSquared, milliseconds, product}: StepPace, count: number): number | undefined {
	if (weight === 0) {
		return undefined;
	}

	const mean = {running: running / weight, milliseconds: milliseconds / weight};
	const variance = (runningSquared / weight) - (mean.running ** 2);
	const slope = variance < leastVariance ? 0 : Math.max(0, ((product / weight) - (mean.running * mean.milliseconds)) / variance);
	return Math.min(intervalBounds.high, Math.max(intervalBounds.low, mean.milliseconds / 4, mean.milliseconds + (slope * (count - mean.running))));
}
