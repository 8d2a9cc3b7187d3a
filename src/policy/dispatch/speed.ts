/**
 * Load pattern: engines of one service read prompts at a pace that no setting tells, and a guess that
 * is off by half sends long prompts where they can't be read in time. The pace is learned from first
 * events: `time = base + unread / rate`, by least squares with forgetting.
 */
export type ReadingSpeed = {
	/** Milliseconds from sending to the first event of a prompt that is held whole. */
	readonly baseMilliseconds: number;
	readonly tokensPerMillisecond: number;
	readonly sums: Sums;
};

type Sums = {readonly weight: number; readonly x: number; readonly y: number; readonly xx: number; readonly xy: number};

/** A sample counts half after so many others: some seconds of a busy service. */
const forgetting = 0.98;
/** A first event comes after the setup, one step and the way there and back. */
const baseBounds = {low: 3, high: 150};
/** The pace of engines between an old accelerator and several new ones, in tokens a millisecond. */
const rateBounds = {low: 10, high: 1000};
/** Before anything was seen: two samples of a middling engine, outweighed by the first dozen real ones. */
const firstSamples = [{tokens: 0, milliseconds: 20}, {tokens: 6000, milliseconds: 80}] as const;

export function createReadingSpeed(): ReadingSpeed {
	let sums: Sums = {weight: 0, x: 0, y: 0, xx: 0, xy: 0};
	for (const {tokens, milliseconds} of firstSamples) {
		sums = add(sums, tokens, milliseconds);
	}

	return fit(sums);
}

/** Takes a first event of a request that found its endpoint reading nothing else. */
export function learnReadingSpeed(state: ReadingSpeed, unreadTokens: number, milliseconds: number): ReadingSpeed {
	// A sample far above the model met a wait that nobody told of; it says nothing of the pace.
	const expected = state.baseMilliseconds + (unreadTokens / state.tokensPerMillisecond);
	return milliseconds > (3 * expected) + 50 ? state : fit(add(state.sums, unreadTokens, milliseconds));
}

/** The time an engine needs to read so many tokens. */
export function readMilliseconds(state: ReadingSpeed, tokens: number): number {
	return tokens / state.tokensPerMillisecond;
}

function add(sums: Sums, x: number, y: number): Sums {
	return {
		weight: (sums.weight * forgetting) + 1,
		x: (sums.x * forgetting) + x,
		y: (sums.y * forgetting) + y,
		xx: (sums.xx * forgetting) + (x * x),
		xy: (sums.xy * forgetting) + (x * y),
	};
}

function fit(sums: Sums): ReadingSpeed {
	const spread = (sums.weight * sums.xx) - (sums.x * sums.x);
	const slope = spread <= 0 ? 0 : ((sums.weight * sums.xy) - (sums.x * sums.y)) / spread;
	const tokensPerMillisecond = clamp(slope <= 0 ? rateBounds.high : 1 / slope, rateBounds);
	const base = (sums.y - (sums.x / tokensPerMillisecond)) / sums.weight;
	return {baseMilliseconds: clamp(base, baseBounds), tokensPerMillisecond, sums};
}

function clamp(value: number, {low, high}: {low: number; high: number}): number {
	return Math.min(high, Math.max(low, value));
}
