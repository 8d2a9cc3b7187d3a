/**
 * Cost of placing one request on one engine, in milliseconds: the wait of its caller for the first event, the prefill
 * time it takes from the service, and the delay it causes to latency-critical streams.
 */
import {type Candidate, type PlacementContext, type Demand, type Fetch, type MemoryShortage} from './demand.js';
import {type EndpointLoad, type LoadTracker} from './load.js';
import {keptTerms, type KeptTerms} from './kept-value.js';
import {memoryShortage} from './memory-admission.js';
import {prefillMilliseconds} from './speed.js';
import {type CacheHolder} from './transfer.js';

/**
 * Bounds on the backlog (prefill that an endpoint still has to do, as time) up to which one more request is sent there;
 * other requests wait in the instance's queue, where their order can still change. The least urgent requests are sent
 * up to `backlogPropagations` propagation delays, the most urgent up to `mostUrgentFactor` times as much;
 * latency-critical streams are sent at once. Instances share no queue, so these bounds order requests between them: a
 * request that is sent at a longer backlog goes first everywhere, since the least urgent are sent only where almost
 * nothing waits.
 *
 * Below a lower bound of one and a half propagation delays, engines would idle between two placements. Above an upper
 * bound of four times that, an urgent stream would wait for one or two prompts that were sent before it. Backlogs
 * change by more than the lower bound before all instances have received the reports, so a smaller factor between the
 * bounds would have no effect on the order.
 */
export const backlogPropagations = 1.5;
const mostUrgentFactor = 4;
/**
 * An outranked request may take an endpoint that has been idle for this many propagation delays: by then an instance
 * with more urgent requests has received the report that the endpoint is idle and has scanned its queue, so they can't
 * use it.
 */
const outrankedPropagations = 2;
/**
 * Share of the slots of an endpoint, rounded up, that outranked requests leave to the more urgent ones of other
 * instances.
 */
const reservedSlotShare = 1 / 8;
/**
 * Latency-critical streams may exceed the slots of an endpoint by this many: it admits urgent requests first and
 * preempts others for them.
 */
const extraSlots = 4;
/**
 * Where latency-critical streams run, the backlog of other requests stays below this share of their pause limit,
 * however long the propagation delay is. Without this bound the next prompt arrives before the last one is prefilled,
 * so that the engine prefills without a break and every event of a latency-critical stream waits for as many prompt
 * chunks as it has tokens.
 */
const besideCriticalPauseShare = 0.25;
/** Cost of each position in the fill order to a latency-critical stream; less than the advantage of an idle engine. */
const fillPositionMilliseconds = 6;
/**
 * An engine with this share of its slots in use gets no more latency-critical streams while others have less in use.
 */
const crowdedSlotShare = 0.75;
/**
 * Cost of a millisecond of prefill for each latency-critical stream beside it, counted for at most this many streams.
 */
const criticalDelayWeight = 1.5;
const maxCountedCriticalRuns = 4;
/** Cost of an engine's prefill time share to a latency-critical stream, which is affected for its whole duration. */
const prefillTimeShareMilliseconds = 150;
/** Uninterrupted prefill above this share of the pause limit is assumed to exceed the limit. */
const safePauseShare = 0.5;
const exceededPauseWeight = 4;
/**
 * Expected time beyond this share of the target counts as lateness; with its weight, a late first event costs more than
 * an equally early one gains.
 */
const latenessTargetShare = 0.7;
const latenessWeight = 3;
/**
 * Weight of a fetched token, on the scale of the prefill weight of an idle service: a transfer takes no engine time.
 */
const fetchWeight = 5;

/** Cost of a candidate, the wait until the request may be sent to it, and what the request needs there. */
export type CostEstimate = {
	readonly cost: number; readonly waitMilliseconds: number; readonly prefillTokens: number; readonly fetch: Fetch | undefined; readonly expectedMilliseconds: number; readonly kept: KeptTerms | undefined;
	/** The room that the request lacks in the engine's memory. */
	readonly memory?: MemoryShortage | undefined;
};

/** Totals over all candidates, computed once for each choice. */
export type CandidateSummary = {
	readonly loads: readonly EndpointLoad[];
	/** Tokens of the prompt and the expected output of the request. */
	readonly requestTokens: number;
	readonly prefillWeight: number;
	/** Number of candidates, from the first on, that are reserved for latency-critical streams. */
	readonly reservedCount: number;
	/**
	 * Number of candidates at one of which a latency-critical stream starts: the reserved ones, or a few more where few
	 * of the fleet's requests are visible.
	 */
	readonly startRange: number;
	/** Share of the fleet's requests that is visible to this instance, 0 to 1. */
	readonly visibleShare: number;
	/** Random draw, from a hash of the request, that selects the engine at which a latency-critical stream starts. */
	readonly startOffset: number;
	/**
	 * The engines with the largest cached part of the prompt, one for each availability zone; computed for the first
	 * engine that would have to prefill much.
	 */
	readonly holders: () => readonly CacheHolder[];
};

/** One engine and the conditions under which its cost is estimated. */
export type EngineContext = {
	readonly load: EndpointLoad;
	/** Position in the order in which latency-critical streams fill engines. */
	readonly position: number;
	/** True if the prompt's prefix is preferably kept there. */
	readonly isPreferred: boolean;
	readonly summary: CandidateSummary;
	readonly context: PlacementContext;
};

export function estimateEngineCost(tracker: LoadTracker, demand: Demand, candidate: Candidate, {load, position, isPreferred, summary, context}: EngineContext): CostEstimate {
	const {tuning} = context;
	const speed = tracker.engineSpeed(candidate.id, demand.service, context.now);
	const kept = keptTerms(tracker, demand, candidate, {speed, isPreferred, visibleShare: summary.visibleShare, holders: summary.holders, context});
	const {prefillTokens, fetch, prefillMilliseconds: ownPrefillMilliseconds} = kept;
	const expectedMilliseconds = load.backlogMilliseconds + (fetch?.milliseconds ?? 0) + ownPrefillMilliseconds + speed.baseMilliseconds;
	const slots = usableSlots(candidate, demand) + (demand.isLatencyCritical ? extraSlots : 0);
	const backlogAfterMilliseconds = load.backlogMilliseconds + ownPrefillMilliseconds;
	const {requestTokens, visibleShare} = summary;
	const memory = tuning.heedsMemory ? memoryShortage(tracker, demand, candidate, {load, requestTokens, visibleShare, now: context.now}) : undefined;
	const waitMilliseconds = Math.max(memory?.milliseconds ?? 0, load.running >= slots ? speed.baseMilliseconds : millisecondsUntilEligible(demand, load, context));
	const streamCost = demand.isLatencyCritical
		? criticalStreamCost(demand, candidate, {load, position, backlogAfterMilliseconds, eventMilliseconds: unevenEventMilliseconds(tracker, demand, candidate, {load, now: context.now}), summary, tuning})
		: costToRunningStreams(demand, {load, position, backlogAfterMilliseconds, ownPrefillMilliseconds, summary, tuning});
	const fetchCost = fetch === undefined ? 0 : fetch.milliseconds + (prefillMilliseconds(speed, fetch.tokens) * tuning.fetchShare * fetchWeight);
	// The weight stands for the work of the service, which is the same at a fast and a slow engine: only the request itself gains by a fast one.
	const servicePrefillMilliseconds = prefillMilliseconds(tracker.prefillSpeed(demand.service), prefillTokens);
	const cost = load.backlogMilliseconds + ownPrefillMilliseconds + (servicePrefillMilliseconds * (summary.prefillWeight - 1)) + (kept.displacedMilliseconds * summary.prefillWeight) + fetchCost + latenessCost(waitMilliseconds + expectedMilliseconds, demand) + streamCost
		+ (load.running / candidate.slots * speed.baseMilliseconds);
	return {cost, waitMilliseconds, prefillTokens, fetch, expectedMilliseconds, kept, memory};
}

/** Slots of an endpoint that a request may use. */
export function usableSlots({slots}: Candidate, {isOutranked}: Demand): number {
	return isOutranked ? Math.max(1, Math.floor(slots * (1 - reservedSlotShare))) : slots;
}

/** Time until a request may be sent to an engine that has a slot for it. */
function millisecondsUntilEligible(demand: Demand, {backlogMilliseconds, idleMilliseconds, latencyCriticalRuns}: EndpointLoad, context: PlacementContext): number {
	return demand.isOutranked
		? Math.max(0, backlogMilliseconds + (context.propagationMilliseconds * outrankedPropagations) - idleMilliseconds)
		: Math.max(0, backlogMilliseconds - maxBacklogMilliseconds(demand, latencyCriticalRuns, context));
}

function maxBacklogMilliseconds({urgency, urgencies, strictestPauseMilliseconds, isLatencyCritical}: Demand, latencyCriticalRuns: number, {propagationMilliseconds, tuning}: PlacementContext): number {
	if (isLatencyCritical) {
		return Infinity;
	}

	const leastUrgentMilliseconds = propagationMilliseconds * backlogPropagations;
	const rank = tuning.ordersBacklogs ? relativeUrgency(urgency, urgencies) : 0;
	const mostUrgentMilliseconds = leastUrgentMilliseconds * mostUrgentFactor;
	const ownMilliseconds = mostUrgentMilliseconds * ((leastUrgentMilliseconds / mostUrgentMilliseconds) ** rank);
	return latencyCriticalRuns === 0 ? ownMilliseconds : Math.min(ownMilliseconds, strictestPauseMilliseconds * besideCriticalPauseShare);
}

/** Position in the range of urgencies: 0 for the most urgent, 1 for the least urgent. */
function relativeUrgency(urgency: number, {most, least}: Demand['urgencies']): number {
	return least === most ? 1 : Math.min(1, Math.max(0, (urgency - most) / (least - most)));
}

type StreamCostInput = {
	readonly load: EndpointLoad;
	readonly position: number;
	/** Backlog of the engine if the request is sent there. */
	readonly backlogAfterMilliseconds: number;
	readonly summary: CandidateSummary;
	readonly tuning: PlacementContext['tuning'];
};

/** Time between two events of one more stream on an engine; undefined where engines are alike, since it is the same on all of them. */
function unevenEventMilliseconds({paces}: LoadTracker, {service}: Demand, {id}: Candidate, {load, now}: {load: EndpointLoad; now: number}): number | undefined {
	return paces.isUneven(service) ? paces.eventIntervalMilliseconds(id, service, {running: load.running + 1, now}) : undefined;
}

/** The longest pause that a stream is expected to have there is the time between two events, and what is read in between. */
function criticalStreamCost(demand: Demand, candidate: Candidate, {load, position, backlogAfterMilliseconds, eventMilliseconds, summary, tuning}: StreamCostInput & {eventMilliseconds: number | undefined}): number {
	const safePauseMilliseconds = (demand.maxPauseMilliseconds ?? Infinity) * safePauseShare;
	const crowdedCost = load.running >= candidate.slots * crowdedSlotShare ? demand.targetMilliseconds : 0;
	const isOutside = position >= Math.max(1, summary.startRange);
	// Where engines are uneven, a stream that stayed on a usual engine because fast ones still read prompts would keep these reading.
	const outsideCost = isOutside ? tuning.outsideMilliseconds + (eventMilliseconds === undefined ? 0 : demand.targetMilliseconds) : 0;
	return (effectivePosition(position, summary) * fillPositionMilliseconds) + (load.prefillTimeShare * prefillTimeShareMilliseconds)
		+ crowdedCost + outsideCost + (Math.max(0, (eventMilliseconds ?? 0) + backlogAfterMilliseconds - safePauseMilliseconds) * exceededPauseWeight);
}

/**
 * Position in the fill order, mixed with a random starting position that counts the more, the less of the fleet is
 * visible. Without it, many instances that each know of few latency-critical streams fill the same first engine at one
 * moment; streams queue there while the next engines idle, and are late from their first event.
 */
function effectivePosition(position: number, {startRange, visibleShare, startOffset}: CandidateSummary): number {
	return visibleShare === 1 || position >= startRange ? position : (position * (visibleShare ** 2)) + (((position + startOffset) % startRange) * (1 - (visibleShare ** 2)));
}

/**
 * Cost of a prefill to the streams that run on the engine: each one delays them a little, a long one exceeds their
 * pause limit.
 */
function costToRunningStreams({strictestPauseMilliseconds}: Demand, {load, position, backlogAfterMilliseconds, ownPrefillMilliseconds, summary, tuning}: StreamCostInput & {
	ownPrefillMilliseconds: number;
}): number {
	const delayCost = Math.min(load.latencyCriticalRuns, maxCountedCriticalRuns) * ownPrefillMilliseconds * criticalDelayWeight;
	const usesReservedEngine = position < summary.reservedCount && backlogAfterMilliseconds > strictestPauseMilliseconds * besideCriticalPauseShare;
	return delayCost + (usesReservedEngine ? tuning.roomMilliseconds : 0);
}

function latenessCost(expected: number, {targetMilliseconds, elapsedMilliseconds}: Demand): number {
	return Math.max(0, elapsedMilliseconds + expected - (targetMilliseconds * latenessTargetShare)) * latenessWeight;
}
