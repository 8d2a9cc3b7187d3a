/**
 * Load pattern: engines of one service read prompts at a pace that no setting tells, and a guess that
 * is off by half sends long prompts where they can't be read in time. The pace is learned from first
 * events of requests that an engine read alone.
 *
 * What disturbs such a sample (work that nobody told of) only makes it slower, so that a mean falls
 * with load, and with it what is believed of an engine. Quantiles are followed instead: each sample
 * moves the estimate by a fixed small step, whatever its distance.
 */
export type ReadingSpeed = {
	/** Milliseconds from sending to the first event of a prompt that is held whole. */
	readonly baseMilliseconds: number;
	readonly tokensPerMillisecond: number;
	/** Samples of each kind so far: early ones move more. */
	readonly baseSamples: number;
	readonly paceSamples: number;
};

/** A prompt of fewer tokens tells of the base, one of more tells of the pace. */
const longPromptTokens = 1500;
/** The quantile of the pace: above the median, since disturbance has one direction. */
const paceQuantile = 0.65;
/** The quantile of the base, low for the same reason. */
const baseQuantile = 0.35;
/** Steps start large, to leave a wrong first guess within a dozen samples, and shrink to these. */
const paceStep = {first: 0.3, least: 0.02};
const baseStepMilliseconds = {first: 12, least: 0.6};
/** A step has shrunk to half after so many samples. */
const halfStepSamples = 6;
/** The pace of engines between an old accelerator and several new ones, in tokens a millisecond. */
const paceBounds = {low: 20, high: 600};
const baseBounds = {low: 2, high: 80};

/** Before anything was seen: a middling engine. */
export function createReadingSpeed(): ReadingSpeed {
	return {baseMilliseconds: 30, tokensPerMillisecond: 110, baseSamples: 0, paceSamples: 0};
}

/** Takes the first event of a request that its engine read alone. */
export function learnReadingSpeed(state: ReadingSpeed, unreadTokens: number, milliseconds: number): ReadingSpeed {
	if (unreadTokens < longPromptTokens) {
		const base = milliseconds - (unreadTokens / state.tokensPerMillisecond);
		const step = base > state.baseMilliseconds ? baseQuantile : baseQuantile - 1;
		const size = stepSize(baseStepMilliseconds, state.baseSamples);
		return {...state, baseSamples: state.baseSamples + 1, baseMilliseconds: clamp(state.baseMilliseconds + (step * size), baseBounds)};
	}

	return learnPace(state, unreadTokens, milliseconds - state.baseMilliseconds);
}

/** Takes the time of a long prompt's whole turn at an engine that had read another one just before. */
export function learnPace(state: ReadingSpeed, unreadTokens: number, milliseconds: number): ReadingSpeed {
	if (unreadTokens < longPromptTokens) {
		return state;
	}

	const pace = unreadTokens / Math.max(1, milliseconds);
	const step = pace > state.tokensPerMillisecond ? paceQuantile : paceQuantile - 1;
	const size = stepSize(paceStep, state.paceSamples);
	return {...state, paceSamples: state.paceSamples + 1, tokensPerMillisecond: clamp(state.tokensPerMillisecond * (1 + (step * size)), paceBounds)};
}

/** The time an engine needs to read so many tokens. */
export function readMilliseconds(state: ReadingSpeed, tokens: number): number {
	return tokens / state.tokensPerMillisecond;
}

function stepSize({first, least}: {first: number; least: number}, samples: number): number {
	return Math.max(least, first * halfStepSamples / (halfStepSamples + samples));
}

function clamp(value: number, {low, high}: {low: number; high: number}): number {
	return Math.min(high, Math.max(low, value));
}
