import {type RequestSummary, type Tier, tiers} from '../../model/index.js';
import {type Reservations, type WaitingReservation, waitingInTier} from './reservations.js';
import {isResuming} from './order.js';
import {type SchedulerSettings} from './settings.js';

/**
 * Chooses which request is evicted when the queue is full: of the lowest tier that uses shared capacity, of
 * the workspace with the longest queue for its weight, the newest request.
 *
 * This guards against a burst of one class and against a flood from one workspace. If the latest arrival
 * were always refused, a flood of the lowest tier would keep the top tier out of the queue, and a flooding
 * workspace would keep out the others. Each lower tier also has a few positions of its own in addition to
 * the shared capacity. Without them it could not wait here at all under a lasting burst, and its floor share
 * would go unused; since they are additional, they take no capacity from higher tiers.
 *
 * Returns the request to refuse, which may be the arrival itself, or undefined if there is room.
 */
export function selectEviction(reservations: Reservations, arrival: WaitingReservation, settings: SchedulerSettings): WaitingReservation | undefined {
	const waiting = [...reservations.waiting.values(), arrival];
	if (countSharedPositions(waiting, settings) <= settings.queueLimit) {
		return undefined;
	}

	const tier = lowestTierInSharedCapacity(waiting, settings);
	const candidates = waiting.filter(({summary}) => summary.tier === tier);
	const backlogs = new Map<string, number>();
	for (const {summary} of candidates) {
		backlogs.set(summary.workspace, (backlogs.get(summary.workspace) ?? 0) + (1 / summary.weight));
	}

	let evicted: WaitingReservation | undefined;
	for (const candidate of candidates) {
		evicted = evicted === undefined || isEvictedBefore(candidate, evicted, backlogs) ? candidate : evicted;
	}

	return evicted;
}

/** Counts the queue positions that are taken from the shared capacity: the positions that a tier has of its own don't count. */
export function countSharedPositions(waiting: readonly WaitingReservation[], settings: SchedulerSettings): number {
	let shared = 0;
	for (const tier of tiers) {
		shared += sharedPositionsOf(waiting, tier, settings);
	}

	return shared;
}

/** True if no tier below `summary`'s uses shared capacity. Only then may that request be refused because the queue is full. */
export function noLowerTierUsesSharedCapacity(reservations: Reservations, summary: RequestSummary, settings: SchedulerSettings): boolean {
	return tiers.every(tier => tier <= summary.tier || sharedPositionsOf(waitingInTier(reservations, tier), tier, settings) === 0);
}

function sharedPositionsOf(waiting: readonly WaitingReservation[], tier: Tier, settings: SchedulerSettings): number {
	const reserved = tier === tiers[0] ? 0 : settings.reservedQueuePositions;
	return Math.max(0, waiting.filter(({summary}) => summary.tier === tier).length - reserved);
}

function lowestTierInSharedCapacity(waiting: readonly WaitingReservation[], settings: SchedulerSettings): Tier {
	return tiers.findLast(tier => sharedPositionsOf(waiting, tier, settings) > 0)!;
}

function isEvictedBefore(one: WaitingReservation, other: WaitingReservation, backlogs: ReadonlyMap<string, number>): boolean {
	if (isResuming(one) !== isResuming(other)) {
		return isResuming(other);
	}

	const difference = backlogs.get(one.summary.workspace)! - backlogs.get(other.summary.workspace)!;
	return difference === 0 ? one.sequence > other.sequence : difference > 0;
}
