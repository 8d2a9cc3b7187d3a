/**
 * Load pattern: long prompts, short urgent questions and small jobs share engines that prefill prompts between the
 * tokens of running streams. Placement by free slots alone exceeds the pause limits of urgent streams and prefills the
 * same prompt prefixes on every engine.
 *
 * Each endpoint gets a cost in milliseconds: the wait of the caller for its first event, the prefill time it takes from
 * the service, and the delay it causes to latency-critical streams. Latency-critical streams fill endpoints in one
 * order that every instance computes alike, so that they share few endpoints, and other requests avoid those for as
 * long as such streams run there.
 */
import {hash32, mixHashes} from '../hashing/index.js';
import {visibleRequestShare} from '../sharing/index.js';
import {type Candidate, type Choice, type PlacementContext, type Demand} from './demand.js';
import {EngineClass} from './engine-classes.js';
import {type CostEstimate, estimateEngineCost, type CandidateSummary, usableSlots} from './engine-cost.js';
import {type KeptValue, keptValue} from './kept-value.js';
import {affinityCost, noPreference, preferredEndpoints} from './prefix-affinity.js';
import {type EndpointLoad, type LoadTracker} from './load.js';
import {requestTokensOf} from './memory-admission.js';
import {type CacheHolder, cacheHolders} from './transfer.js';

/** Milliseconds of a round trip to another availability zone, and the cost of its traffic. */
const otherZoneMilliseconds = 3;
/**
 * Weights of prefill time in a cost. The caller waits for the prefill, and so do all requests behind it, whose number
 * grows with the share of its time that the service spends on prefill; the second weight stands for these. Without it,
 * at the edge of overload requests stop waiting for the engine that has their prefix cached and have it prefilled
 * elsewhere, which doubles the work of the service, so that it never recovers. At full load a request therefore waits
 * for a cached token up to fifty times its prefill time, which is longer than the time that callers have.
 */
const prefillWeight = 5;
const busyPrefillWeight = 45;

/**
 * Separates the random starting position among the engines of latency-critical streams from other draws from the same
 * hash.
 */
const startOffsetSalt = 0x5E_ED_51;

/**
 * Share of the engines from which the starting position of a latency-critical stream is drawn, if its instance receives
 * almost no load reports of the fleet. Without it, when all callers come back in one moment, before any instance has
 * reports of the others' latency-critical streams, all of them go to the first engine.
 */
const unreportedStartShare = 0.15;

/**
 * Share of the unreported load that is assumed to be distributed like the reported load. The reported loads of single
 * engines vary too much to be relied on alone.
 */
const proportionalShare = 0.2;
/**
 * Of many engines, the one with the lowest estimated load is likely to have more than estimated: the standard error of
 * the unreported runs, times this factor, is added to the estimate of each engine.
 */
const unreportedErrorFactor = 0.75;

type EvaluatedCandidate = {readonly id: string; readonly cost: number; readonly estimate: CostEstimate; readonly load: EndpointLoad};

/**
 * Chooses among candidates; at least one is needed. A request waits for an endpoint whose backlog is too long only as
 * long as that endpoint is better than the best available one by more than its wait and the time for which the request
 * has deferred.
 */
export function choosePlace(tracker: LoadTracker, demand: Demand, hashOrdered: readonly Candidate[], context: PlacementContext): Choice {
	const candidates = inFillOrder(tracker, demand.service, hashOrdered);
	const summary = summarizeCandidates(tracker, demand, candidates, context);
	const preferred = demand.isLatencyCritical ? noPreference : preferredEndpoints(demand.parts, candidates, {reservedCount: summary.reservedCount, copies: copiesOf(tracker, demand, context)});
	let available: EvaluatedCandidate | undefined;
	let delayed: EvaluatedCandidate | undefined;
	let leastPrefillTokens = Infinity;
	let position = -1;
	for (const candidate of candidates) {
		position += 1;
		const load = summary.loads[position]!;
		const rank = preferred.ids.indexOf(candidate.id);
		const estimate = candidate.isEngine
			? estimateEngineCost(tracker, demand, candidate, {load, position, isPreferred: rank !== -1 && rank < preferred.copies, summary, context})
			: estimateServiceCost(tracker, demand, candidate, load);
		const cost = estimate.cost + (candidate.zone === context.zone ? 0 : otherZoneMilliseconds) + affinityCost(demand, preferred, {rank, prefillTokens: estimate.prefillTokens});
		leastPrefillTokens = Math.min(leastPrefillTokens, estimate.prefillTokens);
		if (estimate.waitMilliseconds > 0) {
			delayed = delayed === undefined || cost + memoryMilliseconds(estimate) < delayed.cost + memoryMilliseconds(delayed.estimate) ? {id: candidate.id, cost, estimate, load} : delayed;
		} else {
			available = available === undefined || cost < available.cost ? {id: candidate.id, cost, estimate, load} : available;
		}
	}

	const isWorthWaiting = !demand.isLatencyCritical && delayed !== undefined && available !== undefined
		&& delayed.cost + delayed.estimate.waitMilliseconds + demand.deferredMilliseconds < available.cost;
	if (available === undefined || isWorthWaiting) {
		const {waitMilliseconds, memory} = delayed!.estimate;
		return {type: 'wait', endpoint: delayed!.id, milliseconds: waitMilliseconds, isDeferral: available !== undefined, memory};
	}

	const {prefillTokens, fetch, expectedMilliseconds, kept} = available.estimate;
	return {type: 'place', endpoint: available.id, prefillTokens, fetch, expectedMilliseconds, leastPrefillTokens, kept: context.tuning.weighsKept ? valueAtChosen(tracker, demand, {...available, now: context.now}) : undefined};
}

/** Number of engines that should keep the prefix of a prompt: one, unless engines are short of memory. */
function copiesOf(tracker: LoadTracker, demand: Demand, {now, tuning, view}: PlacementContext): number {
	return tuning.spreadsPrefixes
		? tracker.held.prefixDemand.copies(demand, {now, tokensPerMillisecond: tracker.prefillSpeed(demand.service).tokensPerMillisecond, visibleShare: visibleRequestShare(view)})
		: 1;
}

function valueAtChosen(tracker: LoadTracker, demand: Demand, {id, estimate: {kept}, load, now}: EvaluatedCandidate & {now: number}): KeptValue | undefined {
	return kept === undefined || demand.parts.length === 0
		? undefined
		: keptValue(demand, kept, {speed: tracker.engineSpeed(id, demand.service, now), waitMilliseconds: load.backlogMilliseconds});
}

/** Of engines without room, the one is awaited whose room comes first: its wait counts like a cost. */
function memoryMilliseconds({memory}: CostEstimate): number {
	return memory?.milliseconds ?? 0;
}

function summarizeCandidates(tracker: LoadTracker, demand: Demand, candidates: readonly Candidate[], context: PlacementContext): CandidateSummary {
	const {parts} = demand;
	const loads: EndpointLoad[] = [];
	let prefillTimeShares = 0;
	let latencyCriticalRuns = 0;
	let slots = 0;
	for (const candidate of candidates) {
		const load = tracker.load(candidate.id, context.now);
		loads.push(load);
		prefillTimeShares += load.prefillTimeShare;
		latencyCriticalRuns += load.latencyCriticalRuns;
		slots += candidate.slots;
	}

	const count = candidates.length;
	const visibleShare = visibleRequestShare(context.view);
	const reservedCount = Math.ceil(latencyCriticalRuns / visibleShare / (slots / count * context.tuning.tightFill * ((1 + visibleShare) / 2)));
	let holders: readonly CacheHolder[] | undefined;
	return {
		loads: visibleShare === 1 ? loads : withUnreportedLoad(loads, {reservedCount, latencyCriticalRuns: latencyCriticalRuns / visibleShare, visibleShare}),
		requestTokens: requestTokensOf(demand),
		startRange: Math.max(reservedCount, Math.ceil(count * unreportedStartShare * (1 - visibleShare))),
		visibleShare,
		startOffset: visibleShare === 1 ? 0 : mixHashes(parts.at(-1)?.id ?? 0, startOffsetSalt),
		prefillWeight: prefillWeight + (busyPrefillWeight * (Math.min(1, prefillTimeShares / count) ** 2)),
		reservedCount: reservedCount >= count ? 0 : reservedCount,
		holders() {
			holders ??= cacheHolders(tracker, parts, candidates, {tuning: context.tuning, loads});
			return holders;
		},
	};
}

/**
 * Adds the load of which this instance has no reports. Without it, an instance that sees a part of what the fleet sends
 * takes engines for half as full as they are, and under load all of them get twice as many requests as they have slots;
 * or it sends long prompts to engines that run latency-critical streams it has no reports of. Unreported load is
 * assumed to be distributed partly like the reported load and partly evenly. Engines reserved for latency-critical
 * streams are assumed to run an equal share of these.
 */
function withUnreportedLoad(loads: readonly EndpointLoad[], {reservedCount, latencyCriticalRuns, visibleShare}: {
	reservedCount: number; latencyCriticalRuns: number; visibleShare: number;
}): EndpointLoad[] {
	const unreportedPerReported = (1 - visibleShare) / visibleShare;
	const addUnreported = (reported: number, mean: number): number => reported + (unreportedPerReported * ((reported * proportionalShare) + (mean * (1 - proportionalShare))));
	const mean = {running: meanOf(loads, ({running}) => running), backlog: meanOf(loads, ({backlogMilliseconds}) => backlogMilliseconds), held: meanOf(loads, ({heldTokens}) => heldTokens)};
	const tokensPerRun = mean.running === 0 ? 0 : mean.held / mean.running;
	return loads.map((load, position) => {
		const {running: reported, backlogMilliseconds, idleMilliseconds, prefillTimeShare, heldTokens} = load;
		if (position < reservedCount) {
			return {
				running: reported / visibleShare, latencyCriticalRuns: Math.max(load.latencyCriticalRuns / visibleShare, latencyCriticalRuns / reservedCount), backlogMilliseconds,
				idleMilliseconds, prefillTimeShare, heldTokens: heldTokens / visibleShare,
			};
		}

		const running = addUnreported(reported, mean.running);
		return {
			running: addStandardError(running, reported), latencyCriticalRuns: load.latencyCriticalRuns, backlogMilliseconds: addUnreported(backlogMilliseconds, mean.backlog),
			idleMilliseconds, prefillTimeShare, heldTokens: addUnreported(heldTokens, mean.held) + (unreportedErrorFactor * Math.sqrt(running - reported) * tokensPerRun),
		};
	});
}

function addStandardError(estimated: number, reported: number): number {
	return estimated + (unreportedErrorFactor * Math.sqrt(estimated - reported));
}

function meanOf(loads: readonly EndpointLoad[], select: (load: EndpointLoad) => number): number {
	return loads.reduce((sum, load) => sum + select(load), 0) / loads.length;
}

function estimateServiceCost(tracker: LoadTracker, demand: Demand, candidate: Candidate, {running}: EndpointLoad): CostEstimate {
	const serviceTimeMilliseconds = tracker.serviceTimeMilliseconds(demand.service);
	const expectedMilliseconds = serviceTimeMilliseconds * Math.max(1, (running + 1) / candidate.slots);
	const waitMilliseconds = running >= usableSlots(candidate, demand) ? serviceTimeMilliseconds / candidate.slots : 0;
	return {cost: running / candidate.slots * serviceTimeMilliseconds, waitMilliseconds, prefillTokens: 0, fetch: undefined, expectedMilliseconds, kept: undefined};
}

/**
 * The order in which latency-critical streams fill engines: by hash, and where engines are uneven the fast ones first, since they hold
 * tight pause limits also beside a prompt and in a slow moment. Instances agree on it but for engines that have just changed class.
 */
function inFillOrder(tracker: LoadTracker, service: string, candidates: readonly Candidate[]): readonly Candidate[] {
	const classes = tracker.paces.classes(service);
	if (classes === undefined) {
		return candidates;
	}

	const byClass: Readonly<Record<EngineClass, Candidate[]>> = {fast: [], usual: [], slow: []};
	for (const candidate of candidates) {
		byClass[classes.get(candidate.id) ?? EngineClass.usual].push(candidate);
	}

	return [...byClass.fast, ...byClass.usual, ...byClass.slow];
}

/**
 * Sorts candidates by the hash of their ids, which all instances compute alike: the order in which latency-critical streams fill
 * engines that are alike.
 */
export function inHashOrder(candidates: ReadonlyArray<Omit<Candidate, 'hash'>>): Candidate[] {
	return candidates.map(candidate => ({...candidate, hash: hash32(candidate.id)})).toSorted((left, right) => left.hash - right.hash);
}
