/** What may be in force when an instance is stopped: a long turn of its event loop, in which it reads no signal, and a store that is away until it has ended. */
import {createMixedRandom, type Random} from '../harness/random.js';
import {type GatewayChild} from './child.js';
import {type Range} from './course-world.js';
import {between, sleep} from './traffic.js';

/** How often, of 1, a stop has each trouble. */
export type TroubleShares = {readonly longTurn: number; readonly storeAway: number};
/** A long turn, and how much of it is over when the signal comes: mostly little, since what is read late tests the stop. */
export type LongTurn = {readonly milliseconds: number; readonly beforeMilliseconds: number};
export type StopTroubles = {
	readonly firstTurn: LongTurn | undefined;
	readonly laterTurn: LongTurn | undefined;
	/** How long before the signal, and after the end of the process, the store is away. */
	readonly storeAway: {readonly fault: 'refuse' | 'silent'; readonly beforeMilliseconds: number; readonly afterMilliseconds: number} | undefined;
};

const ranges = {turn: {low: 100, high: 1300}, before: {low: 0, high: 1000}, after: {low: 0, high: 1000}} as const satisfies Record<string, Range>;
/** Of the long turns, those at the first signal; the others are at a later one. */
const firstShare = 0.7;
/** Generators of the instances begin here, those of series lie below. */
const firstGenerator = 100;

/** Draws the troubles of stops, from one generator for each instance, so that the other draws of a seed stay as they are. */
export class TroubleDraws {
	static create(seed: number, shares: TroubleShares | undefined): TroubleDraws {
		return new TroubleDraws(seed, shares);
	}

	readonly #seed: number;
	readonly #shares: TroubleShares | undefined;
	readonly #generators = new Map<number, Random>();

	private constructor(seed: number, shares: TroubleShares | undefined) {
		this.#seed = seed;
		this.#shares = shares;
	}

	/** The troubles of the next stop of an instance. */
	next(instance: number): StopTroubles {
		if (this.#shares === undefined) {
			return {firstTurn: undefined, laterTurn: undefined, storeAway: undefined};
		}

		const random = this.#generators.get(instance) ?? createMixedRandom((this.#seed * 1000) + firstGenerator + instance);
		this.#generators.set(instance, random);
		const hasTurn = random.uniform() < this.#shares.longTurn;
		const isFirst = random.uniform() < firstShare;
		const milliseconds = between(random, ranges.turn);
		const turn: LongTurn = {milliseconds, beforeMilliseconds: (random.uniform() ** 2) * milliseconds};
		const isAway = random.uniform() < this.#shares.storeAway;
		const storeAway = {fault: random.pick(['refuse', 'silent'] as const), beforeMilliseconds: between(random, ranges.before), afterMilliseconds: between(random, ranges.after)};
		return {firstTurn: hasTurn && isFirst ? turn : undefined, laterTurn: hasTurn && !isFirst ? turn : undefined, storeAway: isAway ? storeAway : undefined};
	}
}

/** Begins a long turn; resolves when the signal is to come, with the end of the turn. */
export async function enterTurn(gateway: GatewayChild, turn: LongTurn | undefined): Promise<{readonly isOver: Promise<void>}> {
	if (turn === undefined) {
		return {isOver: Promise.resolve()};
	}

	const isOver = gateway.turnFor(turn.milliseconds);
	await sleep(turn.beforeMilliseconds);
	return {isOver};
}

export function textOfTroubles({firstTurn, laterTurn, storeAway}: StopTroubles): string {
	const textOfTurn = ({milliseconds, beforeMilliseconds}: LongTurn): string => `in a turn of ${Math.round(milliseconds)} after ${Math.round(beforeMilliseconds)}`;
	return [
		...(firstTurn === undefined ? [] : [`, ${textOfTurn(firstTurn)}`]),
		...(laterTurn === undefined ? [] : [`, later signal ${textOfTurn(laterTurn)}`]),
		...(storeAway === undefined ? [] : [`, store ${storeAway.fault} over it`]),
	].join('');
}
