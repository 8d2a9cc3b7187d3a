import {mixHashes} from '../hashing/index.js';
import {type Candidate, type Demand} from './demand.js';
import {type PromptPart} from './prefix-cache.js';

/**
 * Gains of the first four preferred endpoints of a prompt's prefix by rendezvous hashing. The first gain is about the
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

/**
 * Preferred endpoints of the shared prefix of a prompt, best first; engines reserved for latency-critical streams are
 * left out.
 */
export function preferredEndpoints(parts: readonly PromptPart[], candidates: readonly Candidate[], reservedCount: number): readonly string[] {
	const lastSharedPart = parts.at(-2);
	if (lastSharedPart === undefined) {
		return [];
	}

	const preferred: Array<{id: string; score: number}> = [];
	for (const [index, {id, hash}] of candidates.entries()) {
		const score = mixHashes(lastSharedPart.id, hash);
		const lowestPreferred = preferred.at(preferenceMilliseconds.length - 1);
		if (index < reservedCount || (lowestPreferred !== undefined && score <= lowestPreferred.score)) {
			continue;
		}

		preferred.push({id, score});
		preferred.sort((left, right) => right.score - left.score);
		preferred.length = Math.min(preferred.length, preferenceMilliseconds.length);
	}

	return preferred.map(({id}) => id);
}

/** Cost of an endpoint for not being preferred for the prompt's prefix; negative for one that is. */
export function affinityCost({parts, deferredMilliseconds}: Demand, preferred: readonly string[], {id, prefillTokens}: {id: string; prefillTokens: number}): number {
	const rank = preferred.indexOf(id);
	if (rank !== -1) {
		return -(preferenceMilliseconds[rank] ?? 0);
	}

	const unsharedTokens = parts.at(-1)?.tokens ?? 0;
	return preferred.length === 0 || prefillTokens <= unsharedTokens ? 0 : Math.max(0, notPreferredMilliseconds - deferredMilliseconds);
}
