import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** A seeded source of numbers, so that a run can be repeated. */
export type Random = {
	/** Uniform from 0 up to 1. */
	uniform(): number;
	/** A whole number from 0 up to `bound`. */
	below(bound: number): number;
	/** Exponentially distributed with this mean: the pauses of a Poisson process. */
	exponential(mean: number): number;
	pick<Value>(values: readonly Value[]): Value;
};

/** Makes a source; the same seed gives the same numbers. */
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
