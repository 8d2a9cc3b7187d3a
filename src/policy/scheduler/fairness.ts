import {type RequestSummary, type Tier, tiers, type WorkspaceName} from '../../model/index.js';
import {type Reservations, type SlotHolder, waitingInTier} from './reservations.js';
import {type SchedulerSettings} from './settings.js';

/**
 * Weighted fair queuing between the workspaces of a tier: each workspace has a virtual counter of tokens
 * served, divided by its weight, and the one with the lowest counter is served next.
 *
 * This guards against a workspace that floods its tier, sends long outputs or opens many connections. Without
 * it, such a workspace gets service in proportion to what it sends. Tokens are counted instead of requests,
 * since one long output costs as much as a hundred confirmations.
 *
 * The cost of a request counts from the moment it gets its slot, with its expected length, so that one
 * workspace does not take every slot that comes free before its first tokens are produced.
 */
export type Fairness = {
	/** Weighted cost of ended requests, by tier and workspace. */
	readonly endedCosts: ReadonlyArray<ReadonlyMap<WorkspaceName, number>>;
	/** By tier, the highest counter that a workspace had when it was served; it never falls. */
	readonly virtualTimes: readonly number[];
	/** Moving average of the response length in tokens, by tier. */
	readonly averageTokens: readonly number[];
	/** The highest weighted cost of one request so far. */
	readonly maximumCost: number;
	/** The lowest weight of a workspace so far. */
	readonly minimumWeight: number;
};

export const initialFairness: Fairness = {
	endedCosts: tiers.map(() => new Map<WorkspaceName, number>()), virtualTimes: tiers.map(() => 0), averageTokens: tiers.map(() => 0), maximumCost: 0, minimumWeight: 1,
};

/** Counters of a tier's workspaces, including the expected cost of the requests that hold slots. */
export function countersOf(fairness: Fairness, reservations: Reservations, tier: Tier, settings: SchedulerSettings): ReadonlyMap<WorkspaceName, number> {
	const counters = new Map(fairness.endedCosts[tier]);
	for (const holder of reservations.holders.values()) {
		const {summary} = holder;
		if (summary.tier === tier) {
			counters.set(summary.workspace, (counters.get(summary.workspace) ?? 0) + expectedCost(fairness, holder, settings));
		}
	}

	return counters;
}

/**
 * Raises the counter of a returning workspace, one without waiting requests, to the tier's virtual time.
 * Without this, a workspace that was idle for hours keeps a credit that lets it take every slot, and the
 * other workspaces wait until the credit is spent. A workspace gets a claim to service only while its
 * requests wait, not while it is idle.
 */
export function raiseToVirtualTime(fairness: Fairness, reservations: Reservations, summary: RequestSummary, settings: SchedulerSettings): Fairness {
	const {tier, workspace} = summary;
	const isReturning = waitingInTier(reservations, tier).every(waiting => waiting.summary.workspace !== workspace);
	if (!isReturning) {
		return fairness;
	}

	const counter = countersOf(fairness, reservations, tier, settings).get(workspace) ?? 0;
	const behind = fairness.virtualTimes[tier]! - counter;
	return behind > 0 ? addCost(fairness, summary, behind) : fairness;
}

/** Moves the tier's virtual time up to the counter of the workspace that is served now. */
export function advanceVirtualTime(fairness: Fairness, reservations: Reservations, {tier, workspace}: RequestSummary, settings: SchedulerSettings): Fairness {
	const counter = countersOf(fairness, reservations, tier, settings).get(workspace) ?? 0;
	const costs = [...reservations.holders.values()].map(holder => expectedCost(fairness, holder, settings));
	return {
		...fairness,
		maximumCost: Math.max(fairness.maximumCost, ...costs),
		minimumWeight: Math.min(fairness.minimumWeight, ...[...reservations.waiting.values()].map(({summary}) => summary.weight)),
		virtualTimes: fairness.virtualTimes.with(tier, Math.max(counter, fairness.virtualTimes[tier]!)),
	};
}

/**
 * Weighted tokens by which the counter of a waiting workspace may differ from its tier's virtual time: the
 * requests that it may hold at once when it is served, each at the highest cost that a request has had so
 * far, plus the penalty for being late and the bonus for resuming.
 */
export function lagBound(fairness: Fairness, settings: SchedulerSettings): number {
	return (settings.maximumSlots * fairness.maximumCost) + (2 * settings.latePenaltyTokens / fairness.minimumWeight);
}

/** The largest difference between the virtual time of the tier and the counter of a workspace that waits in it. */
export function maximumLag(fairness: Fairness, reservations: Reservations, tier: Tier, settings: SchedulerSettings): number {
	const counters = countersOf(fairness, reservations, tier, settings);
	const lags = waitingInTier(reservations, tier).map(({summary}) => Math.abs((counters.get(summary.workspace) ?? 0) - fairness.virtualTimes[tier]!));
	return Math.max(0, ...lags);
}

/** Adds the actual cost of an ended request to its workspace's counter. */
export function chargeEnded(fairness: Fairness, holder: SlotHolder, isComplete: boolean, settings: SchedulerSettings): Fairness {
	const {summary, tokens} = holder;
	const cost = costOf(summary, tokens, settings);
	const charged = addCost({...fairness, maximumCost: Math.max(cost, fairness.maximumCost)}, summary, cost);
	if (!isComplete) {
		return charged;
	}

	const average = charged.averageTokens[summary.tier]!;
	const next = average === 0 ? tokens : average + ((tokens - average) * smoothingFactor);
	return {...charged, averageTokens: charged.averageTokens.with(summary.tier, next)};
}

const smoothingFactor = 0.05;

function addCost(fairness: Fairness, {tier, workspace}: RequestSummary, cost: number): Fairness {
	const counters = new Map(fairness.endedCosts[tier]);
	counters.set(workspace, (counters.get(workspace) ?? 0) + cost);
	return {...fairness, endedCosts: fairness.endedCosts.with(tier, counters)};
}

function expectedCost(fairness: Fairness, {summary, tokens}: SlotHolder, settings: SchedulerSettings): number {
	return costOf(summary, Math.max(tokens, fairness.averageTokens[summary.tier]!), settings);
}

function costOf(summary: RequestSummary, tokens: number, settings: SchedulerSettings): number {
	return ((summary.promptTokens * settings.promptTokenCost) + tokens) / summary.weight;
}
