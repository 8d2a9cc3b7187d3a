import {mixHashes} from '../hashing/index.js';
import {type Candidate, type Demand} from './demand.js';
import {type PromptPart} from './prefix-cache.js';
import {lastSharedPart} from './prefix-demand.js';

/**
 * Gains of the first four preferred endpoints of a prompt's prefix by rendezvous hashing; of a prefix in much demand,
 * all endpoints that should keep it have the first one. The first gain is about the
 * prefill time that a cached prefix saves, so that instances also agree on the endpoint that prefills a prefix first,
 * and send the requests that this endpoint can't take to the same next one. Without the gains, many instances send what
 * exceeds an endpoint to the same idle one before they receive each other's reports.
 */
const preferenceMilliseconds = [80, 40, 20, 10] as const;
/**
 * Cost of an endpoint that is not preferred and would have to prefill the prefix; it falls by the time for which the
 * request has deferred.
 */
const notPreferredMilliseconds = 80;

/** The preferred endpoints of a prefix, best first: those that should keep it, and the next ones for what these can't take. */
export type PreferredEndpoints = {readonly ids: readonly string[]; readonly copies: number};

export const noPreference: PreferredEndpoints = {ids: [], copies: 0};

/**
 * Preferred endpoints of the shared prefix of a prompt, which this many should keep; engines reserved for
 * latency-critical streams are left out.
 */
export function preferredEndpoints(parts: readonly PromptPart[], candidates: readonly Candidate[], {reservedCount, copies}: {reservedCount: number; copies: number}): PreferredEndpoints {
	const prefix = lastSharedPart(parts);
	if (prefix === undefined) {
		return noPreference;
	}

	const count = preferenceMilliseconds.length + copies - 1;
	const ids: string[] = [];
	const scores: number[] = [];
	for (let index = reservedCount; index < candidates.length; index++) {
		const {id, hash} = candidates[index]!;
		const score = mixHashes(prefix.id, hash);
		if (scores.length < count || score > scores[count - 1]!) {
			insert(ids, scores, {id, score, count});
		}
	}

	return {ids, copies};
}

/** Inserts an endpoint before those of lower scores, and drops the last one if there are too many. */
function insert(ids: string[], scores: number[], {id, score, count}: {id: string; score: number; count: number}): void {
	let position = scores.length;
	while (position > 0 && scores[position - 1]! < score) {
		position -= 1;
	}

	ids.splice(position, 0, id);
	scores.splice(position, 0, score);
	ids.length = Math.min(ids.length, count);
	scores.length = ids.length;
}

/** Cost of an endpoint of this rank among the preferred ones, -1 for one that is none; negative for one that is. */
export function affinityCost({parts, deferredMilliseconds}: Demand, {ids, copies}: PreferredEndpoints, {rank, prefillTokens}: {rank: number; prefillTokens: number}): number {
	if (rank !== -1) {
		return -(preferenceMilliseconds[Math.max(0, rank - copies + 1)] ?? 0);
	}

	const unsharedTokens = parts.at(-1)?.tokens ?? 0;
	return ids.length === 0 || prefillTokens <= unsharedTokens ? 0 : Math.max(0, notPreferredMilliseconds - deferredMilliseconds);
}
