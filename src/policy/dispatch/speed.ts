/**
 * Load pattern: engines of one service read prompts at a pace that no setting tells, between the tokens
 * of what runs there. Guessed at twice the true pace, backlogs look half as long as they are, and long
 * prompts are sent where they can't be read in time.
 *
 * A sample is a span in which one engine always had something to read: how many tokens it read, and how
 * long that took. Prompts that are read side by side shift first events within a span, but not its
 * length, so that the pace of single prompts is not needed. Long spans tell of the pace, short ones
 * of the latency that each first event has besides.
 */
export type ReadingSpeed = {
	/** Milliseconds from sending to the first event of a prompt that is held whole. */
	readonly baseMilliseconds: number;
	readonly tokensPerMillisecond: number;
	/** How many long spans were taken. */
	readonly samples: number;
	/** Weighted sums over samples, of which older ones count ever less. */
	readonly long: RatioSums;
	readonly short: RatioSums;
};

/** A ratio of two sums. */
type RatioSums = {readonly above: number; readonly below: number};

/** One span at one engine. */
export type ReadingSpan = {
	readonly tokens: number;
	readonly milliseconds: number;
	/** True if the engine had nothing to read before: the latency of a first event is part of the span. */
	readonly isFromRest: boolean;
};

/** A span of fewer tokens tells of the base, one of more tells of the pace. */
const longTokens = 1500;
/** The newest sample counts whole, one of a hundred samples ago a third: seconds in steady traffic. */
const keptWeight = 0.99;
/**
 * What a sample counts at most against what was predicted. Work that nobody told of makes spans longer,
 * without bound, and nothing makes them shorter, so that the first is cut much closer. The first samples
 * may differ by more, to leave a wrong first guess behind; half of that is gone after ten.
 */
const largestFactor = {longer: 1.1, shorter: 1.4, atFirst: 1.5, halfSamples: 10};
/** For the same reason a sample that took longer than predicted weighs less: half of all may be disturbed. */
const longerWeight = 0.4;
const largestDifferenceMilliseconds = {fromRest: 15, goingOn: 3};
/** The pace of engines between an old accelerator and several new ones, in tokens a millisecond. */
const paceBounds = {low: 15, high: 600};
const baseBounds = {low: 2, high: 200};
/** A middling engine, taken for granted as strongly as one span of each kind. */
const first = {baseMilliseconds: 40, tokensPerMillisecond: 90};
const firstTokens = 6000;

/** Before anything was seen: a middling engine. */
export function createReadingSpeed(): ReadingSpeed {
	return {
		...first,
		samples: 0,
		long: {above: firstTokens ** 2, below: (firstTokens ** 2) / first.tokensPerMillisecond},
		short: {above: first.baseMilliseconds, below: 1},
	};
}

/** Takes one span. What lies far off the prediction moves it only so far. */
export function learnReadingSpeed(state: ReadingSpeed, span: ReadingSpan): ReadingSpeed {
	const predicted = predictedMilliseconds(state, span);
	const weight = span.milliseconds > predicted ? longerWeight : 1;
	const milliseconds = cut(state, span, predicted);
	return span.tokens < longTokens ? learnBase(state, {...span, milliseconds}, weight) : learnPace(state, {...span, milliseconds}, weight);
}

/** Tokens and time are weighted by the tokens, since a long span says most of the pace. */
function learnPace(state: ReadingSpeed, {tokens, milliseconds, isFromRest}: ReadingSpan, weight: number): ReadingSpeed {
	const reading = Math.max(1, milliseconds - (isFromRest ? state.baseMilliseconds : 0));
	const long = add(state.long, {above: tokens * tokens, below: tokens * reading}, weight);
	return {...state, samples: state.samples + 1, long, tokensPerMillisecond: clamp(long.above / long.below, paceBounds)};
}

function learnBase(state: ReadingSpeed, {tokens, milliseconds, isFromRest}: ReadingSpan, weight: number): ReadingSpeed {
	if (!isFromRest) {
		return state;
	}

	const short = add(state.short, {above: milliseconds - prefillMilliseconds(state, tokens), below: 1}, weight);
	return {...state, short, baseMilliseconds: clamp(short.above / short.below, baseBounds)};
}

function predictedMilliseconds(state: ReadingSpeed, {tokens, isFromRest}: ReadingSpan): number {
	return (isFromRest ? state.baseMilliseconds : 0) + prefillMilliseconds(state, tokens);
}

function cut(state: ReadingSpeed, {milliseconds, isFromRest}: ReadingSpan, predicted: number): number {
	const difference = isFromRest ? largestDifferenceMilliseconds.fromRest : largestDifferenceMilliseconds.goingOn;
	const early = largestFactor.atFirst * largestFactor.halfSamples / (largestFactor.halfSamples + state.samples);
	return clamp(milliseconds, {low: (predicted / (largestFactor.shorter + early)) - difference, high: (predicted * (largestFactor.longer + early)) + difference});
}

/** The time an engine needs to read so many tokens. */
export function prefillMilliseconds(state: ReadingSpeed, tokens: number): number {
	return tokens / state.tokensPerMillisecond;
}

function add(sums: RatioSums, {above, below}: RatioSums, weight: number): RatioSums {
	return {above: (sums.above * keptWeight) + (weight * above), below: (sums.below * keptWeight) + (weight * below)};
}

function clamp(value: number, {low, high}: {low: number; high: number}): number {
	return Math.min(high, Math.max(low, value));
}
