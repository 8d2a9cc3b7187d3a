/**
 * Load pattern: a service whose engines differ by more than twice in speed. Streams with tight pause limits are packed onto few
 * engines; if those are chosen regardless of speed, a third of these streams run where one prompt read beside them, or one slow moment
 * of the engine, exceeds their limit, while faster engines read long prompts whose callers would not notice. And services whose engines
 * are alike should not be treated so: their engines would change classes by chance, and streams and cached prefixes move for nothing.
 *
 * A service counts as uneven once the fastest third of its engines is clearly faster than the slowest. Then each engine has a class by
 * its speed beside the median engine. Both have hysteresis, so that instances whose estimates differ a little agree almost always.
 */

export const EngineClass = {fast: 'fast', usual: 'usual', slow: 'slow'} as const;
export type EngineClass = (typeof EngineClass)[keyof typeof EngineClass];

/** What is known of one engine; `factor` is its speed as a multiple of its service's. */
export type EngineEvidence = {readonly endpoint: string; readonly factor: number; readonly samples: number; readonly spanMilliseconds: number; readonly ageMilliseconds: number};

/** The classes of a service's engines; unknown engines are in the usual class. */
export type ServiceClasses = {
	readonly isUneven: boolean;
	/** Whether enough engines are known to say so. */
	readonly isKnown: boolean;
	/** Speed of the fastest third of the known engines as a multiple of the slowest third's. */
	readonly spread: number;
	readonly classes: ReadonlyMap<string, EngineClass>;
};

/** An engine that has changed its class, and by what. */
export type ClassChange = EngineEvidence & {readonly from: EngineClass; readonly to: EngineClass; readonly spread: number; readonly relativeSpeed: number};

/** Engines are known after this many samples over this time, which is longer than several moments of slowness. */
const leastEvidence = {samples: 12, spanMilliseconds: 2000, engines: 3, share: 0.5};
/** Spread from which on engines count as uneven, and below which they no longer do. */
const unevenSpread = {from: 1.5, until: 1.35};
/** Speed, relative to the median engine's, at which an engine enters and leaves a class. */
const fastSpeed = {enter: 1.2, leave: 1.05};
const slowSpeed = {enter: 0.8, leave: 0.92};

export function createServiceClasses(): ServiceClasses {
	return {isUneven: false, isKnown: false, spread: 1, classes: new Map()};
}

/** Classes by what is known now of all engines of the service that have been seen. `forced` overrides whether they are uneven. */
export function classifyEngines(before: ServiceClasses, evidence: readonly EngineEvidence[], forced: boolean | undefined): ServiceClasses {
	const known = evidence.filter(engine => isKnown(engine));
	if (known.length < leastEvidence.engines || known.length < evidence.length * leastEvidence.share) {
		return before;
	}

	const factors = known.map(({factor}) => factor).toSorted((left, right) => left - right);
	const third = Math.max(1, Math.floor(factors.length / 3));
	const spread = meanOf(factors.slice(-third)) / meanOf(factors.slice(0, third));
	const isUneven = forced ?? spread >= (before.isUneven ? unevenSpread.until : unevenSpread.from);
	const median = factors[Math.floor(factors.length / 2)]!;
	return {isUneven, isKnown: true, spread, classes: isUneven ? new Map(known.map(({endpoint, factor}) => [endpoint, classOf(factor / median, before.classes.get(endpoint))])) : new Map()};
}

/** Engines whose class differs, with what it follows from. */
export function changedClasses(before: ServiceClasses, after: ServiceClasses, evidence: readonly EngineEvidence[]): ClassChange[] {
	if (before.classes === after.classes) {
		return [];
	}

	const factors = evidence.filter(engine => isKnown(engine)).map(({factor}) => factor).toSorted((left, right) => left - right);
	const median = factors[Math.floor(factors.length / 2)] ?? 1;
	return evidence
		.map(engine => ({...engine, from: before.classes.get(engine.endpoint) ?? EngineClass.usual, to: after.classes.get(engine.endpoint) ?? EngineClass.usual, spread: after.spread, relativeSpeed: engine.factor / median}))
		.filter(({from, to}) => from !== to);
}

/** The engines of a class with their speeds, as multiples of the median engine's. */
export function classifiedEngines({classes}: ServiceClasses, evidence: readonly EngineEvidence[]): Array<{endpoint: string; engineClass: EngineClass; relativeSpeed: number}> {
	const factors = evidence.filter(engine => isKnown(engine)).map(({factor}) => factor).toSorted((left, right) => left - right);
	const median = factors[Math.floor(factors.length / 2)] ?? 1;
	return evidence.flatMap(({endpoint, factor}) => {
		const engineClass = classes.get(endpoint);
		return engineClass === undefined ? [] : [{endpoint, engineClass, relativeSpeed: factor / median}];
	});
}

function isKnown({samples, spanMilliseconds}: EngineEvidence): boolean {
	return samples >= leastEvidence.samples && spanMilliseconds >= leastEvidence.spanMilliseconds;
}

function classOf(relativeSpeed: number, before: EngineClass | undefined): EngineClass {
	if (relativeSpeed >= (before === EngineClass.fast ? fastSpeed.leave : fastSpeed.enter)) {
		return EngineClass.fast;
	}

	return relativeSpeed <= (before === EngineClass.slow ? slowSpeed.leave : slowSpeed.enter) ? EngineClass.slow : EngineClass.usual;
}

function meanOf(values: readonly number[]): number {
	return values.reduce((sum, value) => sum + value, 0) / values.length;
}
