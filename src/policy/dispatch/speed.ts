/**
 * Load pattern: engines of one service prefill prompts at a rate that no setting states, between the tokens of running
 * streams. If the rate is estimated at twice its true value, backlogs look half as long as they are, and long prompts
 * are sent where they can't be prefilled in time.
 *
 * A sample is a span in which one engine always had prefill to do: the tokens it prefilled, and the time that took.
 * Prompts that an engine prefills concurrently change the times of first events within a span, but not the length of
 * the span, so that the rate of single prompts is not needed. Long spans determine the rate, short ones the latency
 * that each first event has in addition.
 */
export type PrefillSpeed = {
	/** Base latency: milliseconds from sending to the first event of a prompt that is cached completely. */
	readonly baseMilliseconds: number;
	readonly tokensPerMillisecond: number;
	/** Number of long spans that were learned from. */
	readonly samples: number;
	/** Weighted sums over samples, in which older ones count ever less. */
	readonly rateSums: RatioSums;
	readonly baseSums: RatioSums;
};

/** A ratio of two sums. */
type RatioSums = {readonly numerator: number; readonly denominator: number};

/** One span of continuous prefill at one engine. */
export type PrefillSpan = {
	readonly tokens: number;
	readonly milliseconds: number;
	/** True if the engine was idle before: the latency of a first event is part of the span. */
	readonly isFromIdle: boolean;
};

/** A span of fewer tokens determines the base latency, one of more tokens the rate. */
const longSpanTokens = 1500;
/**
 * Factor on the weight of older samples with each new one: a sample counts a third after a hundred more, which takes
 * seconds in steady traffic.
 */
const retainedWeight = 0.99;
/**
 * Limits on how far a sample may lie from the prediction. Work of which this instance has no reports can make a span
 * longer without bound, and nothing makes a span shorter, so that longer samples are limited much more closely. The
 * first samples may differ by more, to correct a wrong initial estimate; half of that is gone after ten.
 */
const deviationFactors = {longer: 1.1, shorter: 1.4, initial: 1.5, halfSamples: 10};
/**
 * Weight of a sample that took longer than predicted. It is lower than that of other samples, since unreported work may
 * affect half of all samples.
 */
const slowSampleWeight = 0.4;
const deviationMilliseconds = {fromIdle: 15, continuing: 3};
/** Prefill rates between one old accelerator and several new ones, in tokens a millisecond. */
const rateBounds = {low: 15, high: 600};
const baseBounds = {low: 2, high: 200};
/** Initial estimate of an average engine, with the weight of one span of each kind. */
const initialSpeed = {baseMilliseconds: 40, tokensPerMillisecond: 90};
const initialTokens = 6000;

/** The estimate before any sample: an average engine. */
export function createPrefillSpeed(): PrefillSpeed {
	return {
		...initialSpeed,
		samples: 0,
		rateSums: {numerator: initialTokens ** 2, denominator: (initialTokens ** 2) / initialSpeed.tokensPerMillisecond},
		baseSums: {numerator: initialSpeed.baseMilliseconds, denominator: 1},
	};
}

/** Learns from one span, whose distance from the prediction is limited. */
export function learnPrefillSpeed(state: PrefillSpeed, span: PrefillSpan): PrefillSpeed {
	const predicted = predictedSpanMilliseconds(state, span);
	const weight = span.milliseconds > predicted ? slowSampleWeight : 1;
	const milliseconds = limitDeviation(state, span, predicted);
	return span.tokens < longSpanTokens ? learnBase(state, {...span, milliseconds}, weight) : learnRate(state, {...span, milliseconds}, weight);
}

/** Tokens and time are weighted by the tokens, since a long span says most about the rate. */
function learnRate(state: PrefillSpeed, {tokens, milliseconds, isFromIdle}: PrefillSpan, weight: number): PrefillSpeed {
	const prefillTime = Math.max(1, milliseconds - (isFromIdle ? state.baseMilliseconds : 0));
	const rateSums = addSample(state.rateSums, {numerator: tokens * tokens, denominator: tokens * prefillTime}, weight);
	return {...state, samples: state.samples + 1, rateSums, tokensPerMillisecond: clamp(rateSums.numerator / rateSums.denominator, rateBounds)};
}

function learnBase(state: PrefillSpeed, {tokens, milliseconds, isFromIdle}: PrefillSpan, weight: number): PrefillSpeed {
	if (!isFromIdle) {
		return state;
	}

	const baseSums = addSample(state.baseSums, {numerator: milliseconds - prefillMilliseconds(state, tokens), denominator: 1}, weight);
	return {...state, baseSums, baseMilliseconds: clamp(baseSums.numerator / baseSums.denominator, baseBounds)};
}

/** Time that a span should take. */
export function predictedSpanMilliseconds(state: PrefillSpeed, {tokens, isFromIdle}: Omit<PrefillSpan, 'milliseconds'>): number {
	return (isFromIdle ? state.baseMilliseconds : 0) + prefillMilliseconds(state, tokens);
}

function limitDeviation(state: PrefillSpeed, {milliseconds, isFromIdle}: PrefillSpan, predicted: number): number {
	const deviation = isFromIdle ? deviationMilliseconds.fromIdle : deviationMilliseconds.continuing;
	const initialAllowance = deviationFactors.initial * deviationFactors.halfSamples / (deviationFactors.halfSamples + state.samples);
	return clamp(milliseconds, {low: (predicted / (deviationFactors.shorter + initialAllowance)) - deviation, high: (predicted * (deviationFactors.longer + initialAllowance)) + deviation});
}

/** Time an engine needs to prefill this many tokens. */
export function prefillMilliseconds(state: PrefillSpeed, tokens: number): number {
	return tokens / state.tokensPerMillisecond;
}

function addSample(sums: RatioSums, {numerator, denominator}: RatioSums, weight: number): RatioSums {
	return {numerator: (sums.numerator * retainedWeight) + (weight * numerator), denominator: (sums.denominator * retainedWeight) + (weight * denominator)};
}

function clamp(value: number, {low, high}: {low: number; high: number}): number {
	return Math.min(high, Math.max(low, value));
}
