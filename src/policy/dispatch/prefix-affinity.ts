import {mixHashes} from '../hashing/index.js';
import {type Candidate, type Demand} from './demand.js';
import {type PromptPart} from './prefix-cache.js';

/**
 * The first choices of a prompt's beginning by rendezvous hashing are better by so much: about the reading
 * that a kept beginning saves, so that instances agree also on where it goes first, and what the first
 * can't take meets on the next. Without that, many instances send what they spill to the same idle
 * endpoint before they hear of each other.
 */
const homeMilliseconds = [80, 40, 20, 10] as const;
/** An endpoint that neither is a home nor gets the beginning unread is worse by so much, unless the request has passed over for as long. */
const strangerMilliseconds = 80;

/** Where the shared beginning of a prompt belongs, best first: not where tight streams of now run. */
export function homesOf(parts: readonly PromptPart[], candidates: readonly Candidate[], takenByTight: number): readonly string[] {
	const shared = parts.at(-2);
	if (shared === undefined) {
		return [];
	}

	const homes: Array<{id: string; score: number}> = [];
	for (const [index, {id, hash}] of candidates.entries()) {
		const score = mixHashes(shared.id, hash);
		const last = homes.at(homeMilliseconds.length - 1);
		if (index < takenByTight || (last !== undefined && score <= last.score)) {
			continue;
		}

		homes.push({id, score});
		homes.sort((left, right) => right.score - left.score);
		homes.length = Math.min(homes.length, homeMilliseconds.length);
	}

	return homes.map(({id}) => id);
}

/** What a place costs for being no home of the prompt's beginning, less what it gains for being one. */
export function homeCost({parts, waitedMilliseconds}: Demand, homes: readonly string[], {id, prefillTokens}: {id: string; prefillTokens: number}): number {
	const rank = homes.indexOf(id);
	if (rank !== -1) {
		return -(homeMilliseconds[rank] ?? 0);
	}

	const own = parts.at(-1)?.tokens ?? 0;
	return homes.length === 0 || prefillTokens <= own ? 0 : Math.max(0, strangerMilliseconds - waitedMilliseconds);
}
