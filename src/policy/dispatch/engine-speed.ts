/**
 * Load pattern: engines of one service that are not of one make, some of which are much slower for moments. If all are taken to be
 * equally fast, slow ones get as many prompts as the others: their backlogs are longer than believed, and every prompt that is sent
 * there is late, while fast engines idle. If a moment of slowness counted like what lasts, engines would change places with each other
 * all the time, and with them the streams and cached prefixes that instances agree to keep there.
 *
 * The speed of an engine is that of its service times a factor: the time that a piece of work should have taken by the service's
 * estimates, over the time that it took. Its logarithm is learned in two ways: what lasts moves by a bounded step with each sample,
 * however far that sample lies away, so that a moment hardly moves it; what passes follows the last samples and fades by itself.
 */

/** How fast one engine does one kind of work, as logarithms of factors on its service's speed. */
export type EngineSpeed = {
	readonly lasting: number;
	/** What lasts as a multiple of the service's speed; kept, since placement asks for it for each engine. */
	readonly lastingFactor: number;
	/** What the last samples show beyond what lasts; it fades from `passingAt` on. */
	readonly passing: number;
	readonly passingAt: number;
	readonly samples: number;
	readonly firstAt: number;
	readonly lastAt: number;
};

/** Time that work of one engine took, and should have taken at its service's speed. */
export type WorkSample = {readonly predictedMilliseconds: number; readonly takenMilliseconds: number};

/**
 * A sample moves what lasts by at most this much (in the logarithm), times its weight. Among the first samples the bound is wider, so
 * that an engine is known after a dozen.
 */
const maxDeviation = {first: 0.35, later: 0.15};
const firstSamples = 12;
/** Weight of the assumption that an engine is as fast as its service, in samples. */
const priorSamples = 2;
/** Weight of a sample once many are known: what lasts is learned from about the last thirty. */
const leastWeight = 0.03;
/** What passes fades by two thirds in this time, which is less than a moment of slowness lasts. */
const passingMilliseconds = 300;
/** Weight of one sample in what passes: by the time since the one before it, within these bounds. */
const passingWeight = {least: 0.1, most: 0.5};
/** Factors that one sample can show: anything beyond is a lost report or a stalled process rather than an engine. */
const sampleBound = Math.log(6);
/** Engines of one service differ by less than this, up and down. */
const factorBound = Math.log(2.5);
/** Slowness that may be chance is no moment: an engine has to be this much slower than it is otherwise. */
const leastPassing = Math.log(1.35);

export function createEngineSpeed(): EngineSpeed {
	return {lasting: 0, lastingFactor: 1, passing: 0, passingAt: -Infinity, samples: 0, firstAt: Infinity, lastAt: -Infinity};
}

/** Learns from one sample. */
export function learnEngineSpeed(speed: EngineSpeed, {predictedMilliseconds, takenMilliseconds}: WorkSample, now: number): EngineSpeed {
	const shown = clamp(Math.log(Math.max(predictedMilliseconds, 1) / Math.max(takenMilliseconds, 1)), sampleBound);
	const samples = speed.samples + 1;
	const deviation = shown - speed.lasting;
	const weight = Math.min(passingWeight.most, Math.max(passingWeight.least, 1 - Math.exp(-(now - speed.passingAt) * 2 / passingMilliseconds)));
	const bound = samples <= firstSamples ? maxDeviation.first : maxDeviation.later;
	const lasting = clamp(speed.lasting + (clamp(deviation, bound) * Math.max(leastWeight, 1 / (samples + priorSamples))), factorBound);
	return {
		lasting,
		lastingFactor: Math.exp(lasting),
		passing: clamp((fadedPassing(speed, now) * (1 - weight)) + (deviation * weight), factorBound),
		passingAt: now,
		samples,
		firstAt: Math.min(speed.firstAt, now),
		lastAt: now,
	};
}

/** Factor of the engine's speed now on what lasts: 1, or less in a moment of slowness. */
export function passingFactor(speed: EngineSpeed, now: number): number {
	if (speed.passing >= -leastPassing) {
		return 1;
	}

	const passing = fadedPassing(speed, now);
	return passing < -leastPassing ? Math.exp(passing) : 1;
}

function fadedPassing({passing, passingAt}: EngineSpeed, now: number): number {
	return passing === 0 ? 0 : passing * Math.exp(-(now - passingAt) / passingMilliseconds);
}

function clamp(value: number, bound: number): number {
	return Math.min(bound, Math.max(-bound, value));
}
