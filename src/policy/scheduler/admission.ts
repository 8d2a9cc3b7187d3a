import {type RequestSummary, type Tier, tiers} from '../../model/index.js';
import {type Ledger, type Waiting, waitingIn} from './ledger.js';
import {resumes} from './order.js';
import {type SchedulerSettings} from './settings.js';

/**
 * Who goes when the queue is full: one of the lowest tier that holds shared room, of the workspace with
 * the longest queue for its weight, the newest.
 *
 * Load pattern: a burst of one class, or one caller's flood. Refusing whoever comes last would let a
 * flood of the lowest tier keep the top tier out, and a flooding workspace its rivals. Each lower tier
 * has a few places of its own beyond the shared ones: with none it would never wait here under a
 * lasting burst, and its floor share would go to nobody; being beyond, they take no room from above.
 *
 * Gives the one to refuse, which may be the arrival itself, or nothing if there is room.
 */
export function evictionFor(ledger: Ledger, arrival: Waiting, settings: SchedulerSettings): Waiting | undefined {
	const waiting = [...ledger.waiting.values(), arrival];
	if (sharedPlaces(waiting, settings) <= settings.queueLimit) {
		return undefined;
	}

	const tier = lowestSharing(waiting, settings);
	const candidates = waiting.filter(({summary}) => summary.tier === tier);
	const backlogs = new Map<string, number>();
	for (const {summary} of candidates) {
		backlogs.set(summary.workspace, (backlogs.get(summary.workspace) ?? 0) + (1 / summary.weight));
	}

	let worst: Waiting | undefined;
	for (const candidate of candidates) {
		worst = worst === undefined || isRefusedBefore(candidate, worst, backlogs) ? candidate : worst;
	}

	return worst;
}

/** How many of the shared places are taken: each tier's own places are not counted. */
export function sharedPlaces(waiting: readonly Waiting[], settings: SchedulerSettings): number {
	let shared = 0;
	for (const tier of tiers) {
		shared += sharedBy(waiting, tier, settings);
	}

	return shared;
}

/** True if no tier below `summary`'s holds shared room: only then may it be refused for want of room. */
export function noLowerTierShares(ledger: Ledger, summary: RequestSummary, settings: SchedulerSettings): boolean {
	return tiers.every(tier => tier <= summary.tier || sharedBy(waitingIn(ledger, tier), tier, settings) === 0);
}

function sharedBy(waiting: readonly Waiting[], tier: Tier, settings: SchedulerSettings): number {
	const own = tier === tiers[0] ? 0 : settings.floorPlaces;
	return Math.max(0, waiting.filter(({summary}) => summary.tier === tier).length - own);
}

function lowestSharing(waiting: readonly Waiting[], settings: SchedulerSettings): Tier {
	return tiers.findLast(tier => sharedBy(waiting, tier, settings) > 0)!;
}

function isRefusedBefore(one: Waiting, other: Waiting, backlogs: ReadonlyMap<string, number>): boolean {
	if (resumes(one) !== resumes(other)) {
		return resumes(other);
	}

	const difference = backlogs.get(one.summary.workspace)! - backlogs.get(other.summary.workspace)!;
	return difference === 0 ? one.sequence > other.sequence : difference > 0;
}
