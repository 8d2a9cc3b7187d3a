import {type Tier} from '../../model/index.js';
import {type DepartureRates, initialDepartureRates} from './departure-rates.js';
import {initialFairness, type Fairness} from './fairness.js';
import {type FloorState, initialFloor} from './floor.js';
import {type Headroom} from './headroom.js';
import {emptyReservations, type Reservations, type SlotHolder, type WaitingReservation} from './reservations.js';
import {type SchedulerSettings} from './settings.js';
import {createSlots, slotCount, type Slots, stalledAfterSteps} from './slots.js';

/** The state of the tiered scheduler of one side. Times are in milliseconds. */
export type TieredState = {
	readonly reservations: Reservations;
	readonly fairness: Fairness;
	readonly floor: FloorState;
	readonly departureRates: DepartureRates;
	readonly slots: Slots;
	readonly headroom: Headroom;
	/** Moving average of the time from an offer to the first token. */
	readonly firstTokenMilliseconds: number;
	/** The longest time that a request has held a slot. */
	readonly longestSlotMilliseconds: number;
	/** Slots freed by preemption in this step, which must not be given to a tier's floor share. */
	readonly preemptedSlots: number;
	/** By tier: when it last got an offer or its queue became non-empty; undefined while nothing waits. */
	readonly unservedSince: ReadonlyArray<number | undefined>;
	readonly advancedAt: number;
	readonly leaving: boolean;
	readonly up: boolean;
	/** End of the backoff that the endpoint has asked for. */
	readonly backoffUntil: number;
};

/** The initial state. */
export function createState(settings: SchedulerSettings): TieredState {
	return {
		reservations: emptyReservations,
		fairness: initialFairness,
		floor: initialFloor,
		departureRates: initialDepartureRates,
		slots: createSlots(settings),
		headroom: new Map(),
		firstTokenMilliseconds: 0,
		longestSlotMilliseconds: 0,
		preemptedSlots: 0,
		unservedSince: [undefined, undefined, undefined],
		advancedAt: Number.NEGATIVE_INFINITY,
		leaving: false,
		up: true,
		backoffUntil: Number.NEGATIVE_INFINITY,
	};
}

/** True if the side accepts requests. */
export function isOpen({leaving, up}: TieredState): boolean {
	return !leaving && up;
}

/** True if the side may offer slots. */
export function mayOffer(state: TieredState, now: number): boolean {
	return isOpen(state) && now >= state.backoffUntil;
}

/** How many more requests may start now; negative after slots were removed. */
export function freeSlots({slots, reservations}: TieredState): number {
	return slotCount(slots) - reservations.holders.size;
}

/** When a request must get its slot for its first token to be in time. */
export function latestStart({firstTokenMilliseconds}: TieredState, {dueAt}: WaitingReservation): number {
	return dueAt - firstTokenMilliseconds;
}

/** The longest time that any request has held a slot, including requests that still hold one. */
export function longestSlotTime({reservations, longestSlotMilliseconds}: TieredState, now: number): number {
	return Math.max(longestSlotMilliseconds, ...[...reservations.holders.values()].map((holder: SlotHolder) => now - holder.offeredAt));
}

/** Sets the time since which a tier has waited for an offer. */
export function setUnservedSince(state: TieredState, tier: Tier, at: number | undefined): TieredState {
	return {...state, unservedSince: state.unservedSince.with(tier, at)};
}

/** The shortest target time between tokens among the slot holders. */
export function tightestTarget({reservations}: TieredState, settings: SchedulerSettings): number {
	return Math.min(...[...reservations.holders.values()].map(({summary}) => summary.betweenTokensMilliseconds ?? settings.betweenTokensMilliseconds));
}

/** Number of slot holders that have produced a token. */
export function countProducing({reservations}: TieredState): number {
	return [...reservations.holders.values()].filter(({tokens}) => tokens > 0).length;
}

/** Number of running requests that should have produced a token long ago, compared with the token rate of the others. */
export function countStalled({reservations, slots, firstTokenMilliseconds}: TieredState, now: number): number {
	const stallMilliseconds = Math.max(stalledAfterSteps * slots.tokenMilliseconds, 2 * firstTokenMilliseconds);
	const running = [...reservations.holders.values()].filter(({phase}) => phase === 'running');
	return stallMilliseconds === 0 ? 0 : running.filter(({tokens, startedAt}) => tokens === 0 && now - startedAt > stallMilliseconds).length;
}
