/**
 * Placements that others use, kept so that the bench can compare: each returns one endpoint, so the
 * request is bound to a queue before anyone knows which slot frees first.
 */
import {type EndpointId, type RequestSummary} from '../../model/index.js';
import {createFleet, stepFleet, usableSides, type Fleet, type SideRecord} from './fleet.js';
import {type Choice, type Placement} from './types.js';

type Pick = (usable: readonly SideRecord[], random: number, fleet: Fleet) => SideRecord | undefined;

function placementBy(name: string, pick: Pick): Placement<Fleet> {
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

/** Any live endpoint, with equal chance. */
export const randomPlacement = placementBy('random', (usable, random) => usable[Math.floor(random * usable.length)]);

/** Each live endpoint in turn, as counted by this entry's reservations. */
export const roundRobin = placementBy('round-robin', (usable, _random, fleet) => usable[fleet.reservations % usable.length]);

/** The endpoint with the fewest requests of this entry, which sees nothing of the other entries'. */
export const leastInFlight = placementBy('least-in-flight', (usable, random) => {
	const fewest = Math.min(...usable.map(side => side.own.size));
	const equal = usable.filter(side => side.own.size === fewest);
	return equal[Math.floor(random * equal.length)];
});

/** Two at random, and of those the one whose last report was the less loaded. */
export const powerOfTwo = placementBy('power-of-two', (usable, random) => {
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
