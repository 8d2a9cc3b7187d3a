/**
 * Common placement policies, as baselines for the benchmark. Each returns one endpoint, so a request is
 * bound to a queue before it is known which slot frees first.
 */
import {type EndpointId, type RequestSummary} from '../../model/index.js';
import {createFleet, stepFleet, usableSides, type Fleet, type SideRecord} from './fleet.js';
import {type Choice, type Placement} from './types.js';

type PickSide = (usable: readonly SideRecord[], random: number, fleet: Fleet) => SideRecord | undefined;

function createBaseline(name: string, pick: PickSide): Placement<Fleet> {
	return {
		create: createFleet,
		step: stepFleet,
		choose(state: Fleet, summary: RequestSummary, excluded: ReadonlySet<EndpointId>, random: number): Choice {
			const {usable, reasons} = usableSides(state, summary, excluded);
			const side = pick(usable, random, state);
			if (!side) {
				return {endpoints: [], reasons};
			}

			const {endpoint} = side.view;
			return {endpoints: [endpoint], reasons: [...reasons, {endpoint, reason: name}]};
		},
	};
}

/** A usable endpoint chosen uniformly at random. */
export const randomPlacement = createBaseline('random', (usable, random) => usable[Math.floor(random * usable.length)]);

/** The usable endpoints in turn, by the number of this entry's reservations. */
export const roundRobin = createBaseline('round-robin', (usable, _random, fleet) => usable[fleet.reservations % usable.length]);

/** The endpoint with the fewest requests of this entry; requests of other entries are not counted. */
export const leastInFlight = createBaseline('least-in-flight', (usable, random) => {
	const fewest = Math.min(...usable.map(side => side.ownRequests.size));
	const candidates = usable.filter(side => side.ownRequests.size === fewest);
	return candidates[Math.floor(random * candidates.length)];
});

/** Power of two choices: of two random endpoints, the one with the lower load in its last report. */
export const powerOfTwo = createBaseline('power-of-two', (usable, random) => {
	const scaled = random * usable.length;
	const first = usable[Math.floor(scaled)];
	if (!first || usable.length === 1) {
		return first;
	}

	const others = usable.filter(side => side !== first);
	const second = others[Math.floor((scaled % 1) * others.length)];
	return second && reportedLoad(second) < reportedLoad(first) ? second : first;
});

function reportedLoad({view}: SideRecord): number {
	let load = view.running;
	for (const waiting of view.waiting) {
		load += waiting;
	}

	return load / Math.max(1, view.slots);
}
