/**
 * Load pattern: engines keep the beginnings of prompts only while they have memory, and the ones that keep a beginning
 * are busy or full. Sent where it is kept whatever the wait, requests queue beside idle engines; sent wherever there is
 * room, each one has its beginning prefilled again and displaces what others will ask for.
 *
 * The terms of one engine for one request: the prefill that the parts kept there save, at the engine's own speed and
 * times the probability that they are still kept; a fetch from another engine in place of the rest; and the prefill of
 * the parts that this request displaces there.
 */
import {type Candidate, type Demand, type Fetch, type PlacementContext} from './demand.js';
import {type LoadTracker} from './load.js';
import {tokensOf} from './prefix-cache.js';
import {prefillMilliseconds, type PrefillSpeed} from './speed.js';
import {type CacheHolder, chooseFetch, isWorthFetching} from './transfer.js';

/**
 * Probability that other instances have had a prefix prefilled at its first preferred endpoint, where no report of it
 * was received.
 */
const unreportedPrefillProbability = 0.5;
/**
 * Share of displaced shared parts that are asked for again before they would have yielded anyway; the others were the
 * least recently used ones for a reason.
 */
const missedShare = 0.5;

/** What one engine keeps of a prompt, as terms of its cost. */
export type KeptTerms = {
	/** Tokens that the engine is expected to prefill, without those that it fetches. */
	readonly prefillTokens: number;
	readonly fetch: Fetch | undefined;
	readonly prefillMilliseconds: number;
	/** Prefill of parts which the request displaces, that requests after it will need. */
	readonly displacedMilliseconds: number;
};

/** What was weighed at the chosen engine, for the record of the decision. */
export type KeptValue = {
	/** Expected prefill that is saved by what the engine keeps. */
	readonly savedMilliseconds: number;
	/** The prefill that would be saved if all of the shared parts were kept. */
	readonly sharedMilliseconds: number;
	/** Time until the engine begins with the prompt. */
	readonly waitMilliseconds: number;
	readonly fetchMilliseconds: number;
	readonly displacedMilliseconds: number;
	/** Expected share of the shared tokens that is kept there. */
	readonly probability: number;
};

export type KeptInput = {
	readonly speed: PrefillSpeed;
	/** True if the prefix of the prompt is preferably kept there. */
	readonly isPreferred: boolean;
	/** Share of the fleet's requests that is visible to this instance, 0 to 1. */
	readonly visibleShare: number;
	readonly holders: () => readonly CacheHolder[];
	readonly context: PlacementContext;
};

/** The terms of one engine; computed for each candidate. */
export function keptTerms(tracker: LoadTracker, {parts}: Demand, candidate: Candidate, {speed, isPreferred, visibleShare, holders, context}: KeptInput): KeptTerms {
	const {fetchTokensPerMillisecond, tuning} = context;
	const reportedTokens = tracker.uncachedTokens(candidate.id, parts);
	const uncachedTokens = isPreferred ? uncachedAtPreferred(parts, reportedTokens, visibleShare) : reportedTokens;
	const fetch = fetchTokensPerMillisecond === undefined || !isWorthFetching(parts, uncachedTokens, speed)
		? undefined
		: chooseFetch(holders(), candidate, {uncachedTokens, speed, tokensPerMillisecond: fetchTokensPerMillisecond});
	const prefillTokens = uncachedTokens - (fetch?.tokens ?? 0);
	const displacedTokens = tuning.weighsKept ? tracker.displacedTokens(candidate.id, uncachedTokens) * missedShare : 0;
	return {prefillTokens, fetch, prefillMilliseconds: prefillMilliseconds(speed, prefillTokens), displacedMilliseconds: prefillMilliseconds(speed, displacedTokens)};
}

/** What was weighed at the chosen engine. */
export function keptValue({parts}: Demand, {prefillTokens, fetch, displacedMilliseconds}: KeptTerms, {speed, waitMilliseconds}: {speed: PrefillSpeed; waitMilliseconds: number}): KeptValue {
	const promptTokens = tokensOf(parts);
	const sharedTokens = promptTokens - (parts.at(-1)?.tokens ?? 0);
	const keptTokens = promptTokens - prefillTokens - (fetch?.tokens ?? 0);
	return {
		savedMilliseconds: prefillMilliseconds(speed, keptTokens), sharedMilliseconds: prefillMilliseconds(speed, sharedTokens), waitMilliseconds,
		fetchMilliseconds: fetch?.milliseconds ?? 0, displacedMilliseconds, probability: sharedTokens === 0 ? 0 : Math.min(1, keptTokens / sharedTokens),
	};
}

/**
 * Tokens that a preferred endpoint of a prefix is assumed to lack. An instance that receives the reports of only a part
 * of the fleet would not know that others have had the prefix prefilled there; under load any engine would look as good
 * as this one, and prefixes would be prefilled again everywhere.
 */
function uncachedAtPreferred(parts: Demand['parts'], reportedTokens: number, visibleShare: number): number {
	const unsharedTokens = parts.at(-1)?.tokens ?? 0;
	return reportedTokens - (Math.max(0, reportedTokens - unsharedTokens) * (1 - visibleShare) * unreportedPrefillProbability);
}
