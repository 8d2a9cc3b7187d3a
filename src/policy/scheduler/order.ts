import {type Tier, type WorkspaceName} from '../../model/index.js';
import {type Waiting} from './ledger.js';
import {type Context} from './settings.js';

/**
 * Whom a tier serves next: the workspace that is furthest behind, and of its requests the one whose
 * first token is due soonest.
 *
 * Load pattern: more work than slots, with unlike deadlines. Serving by deadline alone fails when
 * there is too much work: the request that is about to be late always goes first, is late all the
 * same, and so makes the next one late. Requests that can't be in time any more therefore come after
 * those that can, also of other workspaces; but only by a bounded number of tokens, so that a workspace
 * whose targets can't be met keeps its share.
 *
 * A request that was preempted goes as far before the others as a late one goes behind: its caller holds
 * half an answer, which is wasted if it has to be refused in the end. The advantage is bounded too, since
 * a workspace above its share must not win back at once the slots that its rivals have taken from it.
 */
export function nextOf(waiting: readonly Waiting[], counters: ReadonlyMap<WorkspaceName, number>, latestStart: LatestStart, {now, settings}: Context): Waiting | undefined {
	let best: Waiting | undefined;
	let bestRank: readonly number[] = [];
	for (const candidate of waiting) {
		const inTime = resumes(candidate) || latestStart(candidate) >= now;
		const rank = [
			(counters.get(candidate.summary.workspace) ?? 0) + (standing(candidate, inTime) * settings.latePenaltyTokens / candidate.summary.weight),
			resumes(candidate) ? 0 : 1,
			inTime ? candidate.dueAt : candidate.sequence,
			candidate.sequence,
		];
		if (best === undefined || isLess(rank, bestRank)) {
			best = candidate;
			bestRank = rank;
		}
	}

	return best;
}

/** When a request must start, so that its first token is in time. */
export type LatestStart = (waiting: Waiting) => number;

/** True if `waiting` belongs to a request that was preempted and resumes. */
export function resumes({summary}: Waiting): boolean {
	return (summary.preemptions ?? 0) > 0;
}

/** The highest tier that waits, or nothing. */
export function highestWaiting(waiting: Iterable<Waiting>): Tier | undefined {
	let highest: Tier | undefined;
	for (const {summary} of waiting) {
		if (highest === undefined || summary.tier < highest) {
			highest = summary.tier;
		}
	}

	return highest;
}

/** How many penalties a request stands behind its workspace's counter. */
function standing(waiting: Waiting, inTime: boolean): number {
	if (resumes(waiting)) {
		return -1;
	}

	return inTime ? 0 : 1;
}

function isLess(one: readonly number[], other: readonly number[]): boolean {
	const differing = one.findIndex((value, index) => value !== other[index]);
	return differing !== -1 && one[differing]! < other[differing]!;
}
