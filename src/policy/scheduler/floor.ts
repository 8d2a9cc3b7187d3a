import {type Tier, tiers} from '../../model/index.js';
import {type Reservations, type SlotHolder} from './reservations.js';
import {type Context, type SchedulerSettings} from './settings.js';

/**
 * The floor: the guaranteed minimum share of slot time of each lower tier, however much waits in higher
 * tiers.
 *
 * It guards against higher tiers that fill every slot for hours: without it the lowest tier starves. The
 * share is one of slot time, not of the number of requests: a response of the lowest tier may take a hundred
 * times as long as a confirmation, and one request in twenty would then take most of the time.
 *
 * A tier's credit grows with time up to zero and falls while requests run in its floor share. At zero the
 * tier may take one slot ahead of higher tiers. Over any period the floor therefore costs the higher tiers at
 * most the share plus one request. 5% is what the top tier can give up while it still meets its target for
 * 95% of requests.
 */
export type FloorState = {
	/** Slot-milliseconds by which a tier's floor requests have exceeded its share, as a negative number; never above 0. */
	readonly credits: readonly number[];
	readonly updatedAt: number;
};

export const initialFloor: FloorState = {credits: tiers.map(() => 0), updatedAt: 0};

/** Brings the credits up to `now`. Must be called before any change to the slot holders. */
export function accrueCredits(floor: FloorState, reservations: Reservations, slots: number, {now, settings}: Context): FloorState {
	const elapsed = now - floor.updatedAt;
	if (elapsed <= 0) {
		return floor;
	}

	const used = tiers.map(() => 0);
	for (const {usesFloorShare, summary} of reservations.holders.values()) {
		used[summary.tier]! += usesFloorShare ? 1 : 0;
	}

	const credits = floor.credits.map((credit, tier) => Math.min(0, credit + (elapsed * ((settings.floorShares[tier]! * slots) - used[tier]!))));
	return {credits, updatedAt: now};
}

/** The lower tier that may go ahead of a higher one now: one with waiting requests whose floor share is due, the lowest first. */
export function selectFloorTier(floor: FloorState, reservations: Reservations, slots: number, settings: SchedulerSettings): Tier | undefined {
	const waiting = new Set([...reservations.waiting.values()].map(({summary}) => summary.tier));
	const due = tiers.filter(tier => settings.floorShares[tier]! > 0 && waiting.has(tier) && floor.credits[tier] === 0 && !holdsFloorShare(reservations, tier, slots, settings));
	return due.at(-1);
}

/**
 * The longest time in milliseconds that the request at position `ahead` (0 is the head) of a lower tier's
 * queue waits for an offer, if no request holds a slot longer than `longestMilliseconds`: the tier's turn
 * comes when the credit for its last floor request has recovered, and the next slot that comes free is then its own.
 */
export function floorWaitBound({tier, ahead, slots, longestMilliseconds}: FloorWait, settings: SchedulerSettings): number {
	const share = settings.floorShares[tier]! * slots;
	return share === 0 ? Number.POSITIVE_INFINITY : (ahead + 1) * longestMilliseconds * ((1 / Math.min(share, 1)) + 2);
}

/** The position in a tier's queue, and the conditions, for which `floorWaitBound` is computed. */
export type FloorWait = {readonly tier: Tier; readonly ahead: number; readonly slots: number; readonly longestMilliseconds: number};

/** A tier that holds its share of slots anyway, for example from before the burst, does not starve. */
function holdsFloorShare(reservations: Reservations, tier: Tier, slots: number, settings: SchedulerSettings): boolean {
	const held = [...reservations.holders.values()].filter((holder: SlotHolder) => holder.summary.tier === tier).length;
	return held >= Math.max(1, settings.floorShares[tier]! * slots);
}
