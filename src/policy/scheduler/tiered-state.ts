import {type Tier} from '../../model/index.js';
import {type Drain, freshDrain} from './drain.js';
import {evenFairness, type Fairness} from './fairness.js';
import {type Floor, freshFloor} from './floor.js';
import {type Headroom} from './headroom.js';
import {emptyLedger, type Ledger, type Occupied, type Waiting} from './ledger.js';
import {type SchedulerSettings} from './settings.js';
import {initialSlots, slotCount, type Slots, stalledAfterSteps} from './slots.js';

/** All that the tiered queue of one side knows. */
export type TieredState = {
	readonly ledger: Ledger;
	readonly fairness: Fairness;
	readonly floor: Floor;
	readonly drain: Drain;
	readonly slots: Slots;
	readonly headroom: Headroom;
	/** Usual time from an offer to the first token. */
	readonly firstTokenMilliseconds: number;
	/** The longest that a request has held a slot. */
	readonly longestMilliseconds: number;
	/** Slots that preemptions have freed in this step, and that no floor turn may take. */
	readonly reserved: number;
	/** By tier: when it last got an offer, or began to wait for one. */
	readonly turnAt: ReadonlyArray<number | undefined>;
	readonly passedAt: number;
	readonly leaving: boolean;
	readonly up: boolean;
};

/** The state of a side that has seen nothing yet. */
export function createState(settings: SchedulerSettings): TieredState {
	return {
		ledger: emptyLedger,
		fairness: evenFairness,
		floor: freshFloor,
		drain: freshDrain,
		slots: initialSlots(settings),
		headroom: new Map(),
		firstTokenMilliseconds: 0,
		longestMilliseconds: 0,
		reserved: 0,
		turnAt: [undefined, undefined, undefined],
		passedAt: Number.NEGATIVE_INFINITY,
		leaving: false,
		up: true,
	};
}

/** True if the side may offer slots. */
export function isOpen({leaving, up}: TieredState): boolean {
	return !leaving && up;
}

/** How many more requests may start now. */
export function freeSlots({slots, ledger}: TieredState): number {
	return slotCount(slots) - ledger.occupied.size;
}

/** When a request must get its slot for its first token to be in time. */
export function latestStart({firstTokenMilliseconds}: TieredState, {dueAt}: Waiting): number {
	return dueAt - firstTokenMilliseconds;
}

/** The longest that any request has held a slot, those that run now included. */
export function longestHeld({ledger, longestMilliseconds}: TieredState, now: number): number {
	return Math.max(longestMilliseconds, ...[...ledger.occupied.values()].map((occupied: Occupied) => now - occupied.offeredAt));
}

/** Notes that a tier begins to wait, or got a turn. */
export function noteTurn(state: TieredState, tier: Tier, at: number | undefined): TieredState {
	return {...state, turnAt: state.turnAt.with(tier, at)};
}

/** The shortest time between tokens that a request in a slot can bear. */
export function tightestTarget({ledger}: TieredState, settings: SchedulerSettings): number {
	return Math.min(...[...ledger.occupied.values()].map(({summary}) => summary.betweenTokensMilliseconds ?? settings.betweenTokensMilliseconds));
}

/** Running requests that have shown a token. */
export function countProducing({ledger}: TieredState): number {
	return [...ledger.occupied.values()].filter(({tokens}) => tokens > 0).length;
}

/** Running requests that should have shown a token long ago, going by how fast the others go on. */
export function countStalled({ledger, slots, firstTokenMilliseconds}: TieredState, now: number): number {
	const patience = Math.max(stalledAfterSteps * slots.tokenMilliseconds, 2 * firstTokenMilliseconds);
	const running = [...ledger.occupied.values()].filter(({phase}) => phase === 'running');
	return patience === 0 ? 0 : running.filter(({tokens, startedAt}) => tokens === 0 && now - startedAt > patience).length;
}
