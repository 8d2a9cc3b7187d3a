import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** A seeded random number generator, for reproducible runs. */
export type Random = {
	/** Uniform from 0 (inclusive) to 1 (exclusive). */
	uniform(): number;
	/** An integer from 0 (inclusive) to `bound` (exclusive). */
	below(bound: number): number;
	/** Exponentially distributed with this mean, like the intervals of a Poisson process. */
	exponential(mean: number): number;
	pick<Value>(values: readonly Value[]): Value;
};

/** Creates a generator; the same seed gives the same numbers. */
export function createRandom(seed: number): Random {
	const generator = xoroshiro128plus(seed);
	const uniform = (): number => uniformFloat64(generator);
	return {
		uniform,
		below: bound => Math.floor(uniform() * bound),
		exponential: mean => -Math.log(1 - uniform()) * mean,
		pick: values => values[Math.floor(uniform() * values.length)]!,
	};
}

const skippedNumbers = 16;

/** Creates a generator whose first numbers depend on the whole seed: those of `createRandom` are nearly the same for all small seeds. */
export function createMixedRandom(seed: number): Random {
	const random = createRandom(seed);
	for (let skipped = 0; skipped < skippedNumbers; skipped++) {
		random.uniform();
	}

	return random;
}
