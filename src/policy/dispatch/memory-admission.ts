/**
 * Whether an engine's memory has room for a request, and when it will. Load pattern: bursts of long prompts at engines
 * whose memory is full while three in four of their slots are free. A request that is sent there waits at the engine, in
 * an order that can't change any more, or makes the engine preempt another one and prefill it again; here it waits for
 * the engine whose room comes first.
 *
 * It decides nothing at an engine whose memory is not known, or whose runs leave room for the request.
 */
import {type Candidate, type Demand, type MemoryShortage} from './demand.js';
import {freeAt} from './engine-memory.js';
import {type EndpointLoad, type LoadTracker} from './load.js';
import {tokensOf} from './prefix-cache.js';

/**
 * Share of an engine's memory that requests leave to latency-critical streams, whose caller waits for no room, and to
 * the runs that other instances have just placed there. It holds one long prompt, or fifty short streams.
 */
const reservedShare = 1 / 16;
/** The same for outranked requests, which leave it to the more urgent ones of other instances. */
const outrankedReservedShare = 1 / 8;

/** Conditions under which the memory of one engine is looked at. */
export type MemoryConditions = {
	readonly load: EndpointLoad;
	/** Tokens of the prompt and the expected output of the request. */
	readonly requestTokens: number;
	/** Share of the fleet's requests that is visible to this instance, 0 to 1. */
	readonly visibleShare: number;
	readonly now: number;
};

/** Tokens of the prompt and the expected output of a request. */
export function requestTokensOf({parts, outputTokens}: Demand): number {
	return tokensOf(parts) + (outputTokens ?? 0);
}

/**
 * The room that a request lacks at an engine, undefined if it lacks none. A prompt that is larger than the engine's
 * memory never has room; one that only its expected output makes too large has it at an engine without runs. It lacks none either if what it needs becomes
 * free before the engine has prefilled what was sent there before: the request holds nothing until then.
 */
export function memoryShortage(tracker: LoadTracker, demand: Demand, candidate: Candidate, {load, requestTokens, visibleShare, now}: MemoryConditions): MemoryShortage | undefined {
	const {id: endpoint, memoryTokens = 0} = candidate;
	const claim = demand.claim?.endpoint === endpoint ? demand.claim : undefined;
	// What the request has claimed is not in its way.
	const roomTokens = (memoryTokens * (1 - reservedShareOf(demand))) - load.heldTokens + (claim?.tokens ?? 0);
	if (memoryTokens === 0 || requestTokens <= roomTokens) {
		return undefined;
	}

	const neededTokens = tracker.held.neededTokens(endpoint, {parts: demand.parts, outputTokens: demand.outputTokens ?? 0});
	const milliseconds = tokensOf(demand.parts) > memoryTokens
		? Infinity
		: millisecondsUntilRoom(tracker, demand, {endpoint, missingTokens: neededTokens - roomTokens, visibleShare, now}) - load.backlogMilliseconds;
	return milliseconds <= 0
		? undefined
		: {endpoint, milliseconds, heldTokens: Math.round(load.heldTokens), neededTokens, memoryTokens, reportAgeMilliseconds: tracker.held.reportAgeMilliseconds(endpoint, now)};
}

type Room = {readonly endpoint: string; readonly missingTokens: number; readonly visibleShare: number; readonly now: number};

function millisecondsUntilRoom(tracker: LoadTracker, {claim, isLatencyCritical, routeUrgency = Infinity}: Demand, {endpoint, missingTokens, visibleShare, now}: Room): number {
	const missing = missingTokens - (isLatencyCritical && missingTokens > 0 ? tracker.held.lessUrgentTokens(endpoint, routeUrgency) : 0);
	if (missing <= 0) {
		return 0;
	}

	// Of the runs that leave, this instance sees its share; once all are over, the engine is empty.
	const all = tracker.held.releases(endpoint, now);
	const releases = claim?.endpoint === endpoint ? all.filter(({id}) => id !== claim.runId) : all;
	const at = freeAt(releases, missing * visibleShare, now);
	return (Number.isFinite(at) ? at : Math.max(now, releases.at(-1)?.at ?? now)) - now;
}

/** A latency-critical stream leaves nothing to others; every other request leaves room to these. */
function reservedShareOf({isLatencyCritical, isOutranked}: Demand): number {
	return isLatencyCritical ? 0 : (isOutranked ? outrankedReservedShare : reservedShare);
}
