import {type Tier, tiers} from '../../model/index.js';
import {type Ledger, type Occupied} from './ledger.js';
import {type Context, type SchedulerSettings} from './settings.js';

/**
 * The share of slot time that each lower tier gets however much waits above it.
 *
 * Load pattern: higher tiers that fill every slot for hours. Without a floor the lowest tier starves.
 * The share is one of slot time and not of turns: an answer of the lowest tier may be a hundred times
 * as long as a confirmation, and one turn in twenty would then be most of the time.
 *
 * A tier's credit grows with time up to zero and falls while its floor requests run. At zero the tier
 * may take one slot ahead of higher tiers. Over any time the floor thus costs the higher tiers at most
 * the share and one request. Five in a hundred is what the top tier can spare at its 95 in 100 target.
 */
export type Floor = {
	/** Slot-milliseconds that a tier's floor requests have used ahead of its share; never above 0. */
	readonly credits: readonly number[];
	readonly updatedAt: number;
};

export const freshFloor: Floor = {credits: tiers.map(() => 0), updatedAt: 0};

/** Brings the credits up to now. Call it before anything changes who holds slots. */
export function accrue(floor: Floor, ledger: Ledger, slots: number, {now, settings}: Context): Floor {
	const elapsed = now - floor.updatedAt;
	if (elapsed <= 0) {
		return floor;
	}

	const used = tiers.map(() => 0);
	for (const {floor: ofFloor, summary} of ledger.occupied.values()) {
		used[summary.tier]! += ofFloor ? 1 : 0;
	}

	const credits = floor.credits.map((credit, tier) => Math.min(0, credit + (elapsed * ((settings.floorShares[tier]! * slots) - used[tier]!))));
	return {credits, updatedAt: now};
}

/** The lower tier that may go ahead of a higher one now: one that waits and whose floor is due, the lowest first. */
export function floorTurn(floor: Floor, ledger: Ledger, slots: number, settings: SchedulerSettings): Tier | undefined {
	const waiting = new Set([...ledger.waiting.values()].map(({summary}) => summary.tier));
	const due = tiers.filter(tier => settings.floorShares[tier]! > 0 && waiting.has(tier) && floor.credits[tier] === 0 && !hasItsShare(ledger, tier, slots, settings));
	return due.at(-1);
}

/**
 * How long the request at place `ahead` (0 is the head) of a lower tier waits for an offer at most, if
 * no request holds a slot longer than `longestMilliseconds`: a turn comes when the last floor request
 * has been paid for, and then the next slot that frees up is the tier's.
 */
export function floorWaitBound({tier, ahead, slots, longestMilliseconds}: FloorWait, settings: SchedulerSettings): number {
	const share = settings.floorShares[tier]! * slots;
	return share === 0 ? Number.POSITIVE_INFINITY : (ahead + 1) * longestMilliseconds * ((1 / Math.min(share, 1)) + 2);
}

/** Whose wait is asked for, and under which circumstances. */
export type FloorWait = {readonly tier: Tier; readonly ahead: number; readonly slots: number; readonly longestMilliseconds: number};

/** A tier that holds its share anyway, say from before the burst, does not starve. */
function hasItsShare(ledger: Ledger, tier: Tier, slots: number, settings: SchedulerSettings): boolean {
	const held = [...ledger.occupied.values()].filter((occupied: Occupied) => occupied.summary.tier === tier).length;
	return held >= Math.max(1, settings.floorShares[tier]! * slots);
}
