import {type Tier, type WorkspaceName} from '../../model/index.js';
import {type WaitingReservation} from './reservations.js';
import {type Context} from './settings.js';

/**
 * Chooses the request of a tier that is served next: the workspace with the lowest counter, and of its
 * requests the one with the earliest first-token deadline.
 *
 * This order is made for overload with different deadlines. Earliest deadline first alone fails under
 * overload: the request that is about to miss its deadline always goes first, misses it
 * nevertheless, and makes the next one late as well. Requests that can't meet their deadline any more
 * therefore come after those that can, also those of other workspaces, but only by a bounded number of tokens,
 * so that a workspace whose deadlines can't be met keeps its share.
 *
 * A preempted request gets a bonus as large as the penalty for a late one: its caller holds
 * half a response, which is wasted if the request is refused in the end. The bonus is bounded too, because
 * a workspace above its share must not win back at once the slots that were preempted for others.
 */
export function selectNext(waiting: readonly WaitingReservation[], counters: ReadonlyMap<WorkspaceName, number>, latestStart: LatestStart, {now, settings}: Context): WaitingReservation | undefined {
	let best: WaitingReservation | undefined;
	let bestRank: readonly number[] = [];
	for (const candidate of waiting) {
		const isInTime = isResuming(candidate) || latestStart(candidate) >= now;
		const rank = [
			(counters.get(candidate.summary.workspace) ?? 0) + (penaltyCount(candidate, isInTime) * settings.latePenaltyTokens / candidate.summary.weight),
			isResuming(candidate) ? 0 : 1,
			isInTime ? candidate.dueAt : candidate.sequence,
			candidate.sequence,
		];
		if (best === undefined || isLexicographicallyLess(rank, bestRank)) {
			best = candidate;
			bestRank = rank;
		}
	}

	return best;
}

/** When a request must start for its first token to be in time. */
export type LatestStart = (waiting: WaitingReservation) => number;

/** True if `waiting` belongs to a request that was preempted and is to resume. */
export function isResuming({summary}: WaitingReservation): boolean {
	return (summary.preemptions ?? 0) > 0;
}

/** The highest tier with a waiting request, or undefined. */
export function highestWaitingTier(waiting: Iterable<WaitingReservation>): Tier | undefined {
	let highest: Tier | undefined;
	for (const {summary} of waiting) {
		if (highest === undefined || summary.tier < highest) {
			highest = summary.tier;
		}
	}

	return highest;
}

/** How many penalties are added to the workspace's counter for this request; a bonus is negative. */
function penaltyCount(waiting: WaitingReservation, isInTime: boolean): number {
	if (isResuming(waiting)) {
		return -1;
	}

	return isInTime ? 0 : 1;
}

function isLexicographicallyLess(left: readonly number[], right: readonly number[]): boolean {
	const differing = left.findIndex((value, index) => value !== right[index]);
	return differing !== -1 && left[differing]! < right[differing]!;
}
