/**
 * Load pattern: requests share long prefixes, and the engines that have one cached are busy or full. Prefilled again
 * elsewhere, a prefix of 13,000 tokens takes an engine 200 ms in which the streams there pause; transferred over the
 * engines' own links it takes 30 ms, and the engine goes on with its steps.
 */
import {type Candidate, type PlacementContext, type Fetch} from './demand.js';
import {type EndpointLoad, type LoadTracker} from './load.js';
import {type PromptPart} from './prefix-cache.js';
import {prefillMilliseconds, type PrefillSpeed} from './speed.js';

/**
 * A transfer that saves less is not worth it: about the time it takes to begin one, and a margin for a wrong estimate
 * of what is cached.
 */
const minSavedMilliseconds = 10;
/** Time of a transfer before its first byte. */
const transferStartMilliseconds = 2;
/** Factor on the transfer time between availability zones. */
const otherZoneFactor = 2;

/** The engine with the largest cached part of a prompt in its availability zone. */
export type CacheHolder = {readonly id: string; readonly zone: string; readonly unavailableTokens: number; readonly running: number};

/** The engines with the largest cached part of a prompt, one for each availability zone. */
export function cacheHolders(tracker: LoadTracker, parts: readonly PromptPart[], candidates: readonly Candidate[], {loads, tuning}: Pick<PlacementContext, 'tuning'> & {
	loads: readonly EndpointLoad[];
}): readonly CacheHolder[] {
	if (!tuning.fetches) {
		return [];
	}

	const holders = new Map<string, CacheHolder>();
	let position = 0;
	for (const {id, zone} of candidates) {
		const unavailableTokens = tracker.unavailableTokens(id, parts);
		const {running} = loads[position]!;
		position += 1;
		const best = holders.get(zone);
		if (best === undefined || unavailableTokens < best.unavailableTokens || (unavailableTokens === best.unavailableTokens && running < best.running)) {
			holders.set(zone, {id, zone, unavailableTokens, running});
		}
	}

	return [...holders.values()];
}

/**
 * False where a transfer can't save enough, since the shared part of the prompt, or what is not cached of it, is short.
 */
export function isWorthFetching(parts: readonly PromptPart[], uncachedTokens: number, speed: PrefillSpeed): boolean {
	return prefillMilliseconds(speed, uncachedTokens - (parts.at(-1)?.tokens ?? 0)) > minSavedMilliseconds;
}

/**
 * The transfer that saves an engine most time for a prompt with this many uncached tokens; undefined if none is worth
 * it.
 */
export function chooseFetch(holders: readonly CacheHolder[], {id, zone}: Candidate, {uncachedTokens, speed, tokensPerMillisecond}: {
	uncachedTokens: number; speed: PrefillSpeed; tokensPerMillisecond: number;
}): Fetch | undefined {
	let best: Fetch | undefined;
	let mostSaved = minSavedMilliseconds;
	for (const holder of holders) {
		const tokens = uncachedTokens - holder.unavailableTokens;
		const milliseconds = transferStartMilliseconds + (tokens / tokensPerMillisecond * (holder.zone === zone ? 1 : otherZoneFactor));
		const saved = prefillMilliseconds(speed, tokens) - milliseconds;
		if (holder.id !== id && saved > mostSaved) {
			best = {from: holder.id, tokens, milliseconds};
			mostSaved = saved;
		}
	}

	return best;
}
