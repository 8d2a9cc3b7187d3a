/** Further series of the course streams, each with a generator of its own: services of which all endpoints have one or two slots, instances that are added or removed alone, callers that send late in a stop. */
import {createMixedRandom, type Random} from '../harness/random.js';
import {type Range} from './course-world.js';
import {type PlannedTraffic} from './planned-traffic.js';
import {type PlannedWork} from './planned-work.js';
import {type StreamEndpoints} from './streams-endpoints.js';
import {drawLateStreams} from './streams-requests.js';
import {between, sleep} from './traffic.js';

const pauses = {scarce: {low: 2000, high: 7000}, instance: {low: 4000, high: 12_000}} as const satisfies Record<string, Range>;
const scarceMilliseconds: Range = {low: 800, high: 4000};
const scarceSlots = [1, 2] as const;
/** Numbers of the generators; those of planned work are others. */
const generators = {scarce: 50, instance: 51, many: 52} as const;
/** Callers of each stop that open a connection before its signal, and when they send after it: around the time from which on nothing excuses a cut. */
const lateCallers = 3;
const lateMilliseconds: Range = {low: 2600, high: 4300};
/** Numbers of the callers, and of their generators for each instance, begin here. */
const firstLateCaller = 1000;
/** How often, of 1, a service has many endpoints, and how many. */
const manyShare = 0.25;
const many = {least: 10, most: 14} as const;

export type StreamsExtrasOptions = {readonly seed: number; readonly milliseconds: number; readonly services: readonly string[]; readonly endpoints: StreamEndpoints; readonly work: PlannedWork};

/** How many endpoints each service of a seed has, of which it would have a number. */
export function endpointsEach(seed: number, number: number): number {
	const random = createMixedRandom((seed * 1000) + generators.many);
	return random.uniform() < manyShare ? Math.max(number, many.least + random.below(many.most - many.least + 1)) : number;
}

/** Callers of stops that send their first requests late in them. */
export class LateCallers {
	static create(seed: number): LateCallers {
		return new LateCallers(seed);
	}

	readonly #seed: number;
	readonly #generators = new Map<number, Random>();

	private constructor(seed: number) {
		this.#seed = seed;
	}

	/** Begins the calls of a stop whose signal comes after a time. */
	begin(traffic: PlannedTraffic, gateway: number, signalMilliseconds: number): void {
		for (let number = 0; number < lateCallers; number++) {
			const caller = firstLateCaller + (gateway * lateCallers) + number;
			const random = this.#generators.get(caller) ?? createMixedRandom((this.#seed * 100_000) + caller);
			this.#generators.set(caller, random);
			traffic.callLater(random, caller, {gateway, milliseconds: signalMilliseconds + between(random, lateMilliseconds), draw: drawLateStreams});
		}
	}
}

/** Runs the further series; resolves once they are over. */
export async function runStreamsExtras({seed, milliseconds, services, endpoints, work}: StreamsExtrasOptions): Promise<void> {
	const until = performance.now() + milliseconds;
	const series = async (number: number, pause: Range, step: (random: Random) => Promise<void>): Promise<void> => {
		const random = createMixedRandom((seed * 1000) + number);
		while (performance.now() < until) {
			await sleep(between(random, pause));
			if (performance.now() < until) {
				await step(random);
			}
		}
	};

	await Promise.all([
		series(generators.scarce, pauses.scarce, async random => endpoints.makeScarce(random.pick(services), {slots: random.pick(scarceSlots), milliseconds: between(random, scarceMilliseconds)})),
		series(generators.instance, pauses.instance, async random => random.uniform() < 0.5 ? work.addInstance() : work.removeInstance(random)),
	]);
}
