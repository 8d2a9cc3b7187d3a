/**
 * Load pattern: requests share long beginnings, and the engines that hold one are busy or full. Read
 * again elsewhere, a beginning of 13,000 tokens takes an engine 200 ms in which the streams there
 * pause; taken over the engines' own links it takes 30 ms, and the engine goes on with its steps.
 */
import {type Candidate, type PlacementContext, type Fetch} from './demand.js';
import {type EndpointLoad, type LoadTracker} from './load.js';
import {type PromptPart} from './prefix-cache.js';
import {prefillMilliseconds, type ReadingSpeed} from './speed.js';

/** Less than this saved is not worth a transfer: about what it takes to begin one, and a margin for a wrong guess of what is kept. */
const leastSavedMilliseconds = 10;
/** What a transfer takes before its first byte. */
const startMilliseconds = 2;
/** Between availability zones a transfer takes so many times as long. */
const otherZoneFactor = 2;

/** An engine that holds most of a prompt, in each zone. */
export type Holder = {readonly id: string; readonly zone: string; readonly missingTokens: number; readonly running: number};

/** The best holders of a prompt, one for each availability zone. */
export function holdersOf(book: LoadTracker, parts: readonly PromptPart[], candidates: readonly Candidate[], {loads, tuning}: Pick<PlacementContext, 'tuning'> & {loads: readonly EndpointLoad[]}): readonly Holder[] {
	if (!tuning.fetches) {
		return [];
	}

	const holders = new Map<string, Holder>();
	for (const [index, {id, zone}] of candidates.entries()) {
		const holder = {id, zone, missingTokens: book.missing(id, parts), running: loads[index]!.running};
		const best = holders.get(zone);
		if (best === undefined || holder.missingTokens < best.missingTokens || (holder.missingTokens === best.missingTokens && holder.running < best.running)) {
			holders.set(zone, holder);
		}
	}

	return [...holders.values()];
}

/** False where a transfer can't save enough, since what is shared of the prompt, or lacks, is short. */
export function isWorthFetching(parts: readonly PromptPart[], prefillTokens: number, speed: ReadingSpeed): boolean {
	return prefillMilliseconds(speed, prefillTokens - (parts.at(-1)?.tokens ?? 0)) > leastSavedMilliseconds;
}

/** The transfer that spares an engine most time for a prompt of which it lacks so many tokens; undefined if none is worth it. */
export function chooseFetch(holders: readonly Holder[], {id, zone}: Candidate, {prefillTokens, speed, tokensPerMillisecond}: {prefillTokens: number; speed: ReadingSpeed; tokensPerMillisecond: number}): Fetch | undefined {
	let best: Fetch | undefined;
	let most = leastSavedMilliseconds;
	for (const holder of holders) {
		const tokens = prefillTokens - holder.missingTokens;
		const milliseconds = startMilliseconds + (tokens / tokensPerMillisecond * (holder.zone === zone ? 1 : otherZoneFactor));
		const saved = prefillMilliseconds(speed, tokens) - milliseconds;
		if (holder.id !== id && saved > most) {
			best = {from: holder.id, tokens, milliseconds};
			most = saved;
		}
	}

	return best;
}
