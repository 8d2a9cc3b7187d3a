import {type RequestSummary, type Tier, tiers, type WorkspaceName} from '../../model/index.js';
import {type Ledger, type Occupied, waitingIn} from './ledger.js';
import {type SchedulerSettings} from './settings.js';

/**
 * Fairness between the workspaces of a tier by a virtual counter of tokens served, divided by the
 * workspace's weight: who has the least is served next.
 *
 * Load pattern: rivals of one tier, one of which floods, sends long outputs or opens many
 * connections. Without it the flood gets service in proportion to what it sends. Tokens are counted
 * and not requests, since one stitch file costs as much as a hundred confirmations.
 *
 * What a request in a slot has cost so far counts at once, its expected length included, so that one
 * workspace does not take every slot that frees up before its first tokens come.
 */
export type Fairness = {
	/** Weighted cost of ended requests, by tier and workspace. */
	readonly settled: ReadonlyArray<ReadonlyMap<WorkspaceName, number>>;
	/** By tier, the highest counter of a workspace at the moment it was served; it never falls. */
	readonly virtualTimes: readonly number[];
	/** Usual length of an answer in tokens, by tier. */
	readonly usualTokens: readonly number[];
	/** The greatest weighted cost of one request so far. */
	readonly greatestCost: number;
	/** The least weight of a workspace so far. */
	readonly leastWeight: number;
};

export const evenFairness: Fairness = {
	settled: tiers.map(() => new Map<WorkspaceName, number>()), virtualTimes: tiers.map(() => 0), usualTokens: tiers.map(() => 0), greatestCost: 0, leastWeight: 1,
};

/** Counters of a tier's workspaces, with what runs now counted in. */
export function countersOf(fairness: Fairness, ledger: Ledger, tier: Tier, settings: SchedulerSettings): ReadonlyMap<WorkspaceName, number> {
	const counters = new Map(fairness.settled[tier]);
	for (const occupied of ledger.occupied.values()) {
		const {summary} = occupied;
		if (summary.tier === tier) {
			counters.set(summary.workspace, (counters.get(summary.workspace) ?? 0) + expectedCost(fairness, occupied, settings));
		}
	}

	return counters;
}

/**
 * Lifts a workspace that comes back to the counter of who is being served. Failure: without it a
 * workspace that was away all morning holds a credit that lets it take every slot, and its rivals
 * wait until the credit is spent. Time away is not owed; only a backlog is.
 */
export function join(fairness: Fairness, ledger: Ledger, summary: RequestSummary, settings: SchedulerSettings): Fairness {
	const {tier, workspace} = summary;
	const returning = waitingIn(ledger, tier).every(waiting => waiting.summary.workspace !== workspace);
	if (!returning) {
		return fairness;
	}

	const counter = countersOf(fairness, ledger, tier, settings).get(workspace) ?? 0;
	const behind = fairness.virtualTimes[tier]! - counter;
	return behind > 0 ? settle(fairness, summary, behind) : fairness;
}

/** Moves the tier's virtual time up to the counter of the workspace that it serves now. */
export function advance(fairness: Fairness, ledger: Ledger, {tier, workspace}: RequestSummary, settings: SchedulerSettings): Fairness {
	const counter = countersOf(fairness, ledger, tier, settings).get(workspace) ?? 0;
	const costs = [...ledger.occupied.values()].map(occupied => expectedCost(fairness, occupied, settings));
	return {
		...fairness,
		greatestCost: Math.max(fairness.greatestCost, ...costs),
		leastWeight: Math.min(fairness.leastWeight, ...[...ledger.waiting.values()].map(({summary}) => summary.weight)),
		virtualTimes: fairness.virtualTimes.with(tier, Math.max(counter, fairness.virtualTimes[tier]!)),
	};
}

/**
 * Weighted tokens that the counter of a waiting workspace may be from its tier's virtual time: all that
 * it held at once when it was last served, at the greatest cost that a request has had so far, and what
 * being late costs and being resumed brings.
 */
export function lagBound(fairness: Fairness, settings: SchedulerSettings): number {
	return (settings.maximumSlots * fairness.greatestCost) + (2 * settings.latePenaltyTokens / fairness.leastWeight);
}

/** How far any waiting workspace of the tier is from the virtual time. */
export function greatestLag(fairness: Fairness, ledger: Ledger, tier: Tier, settings: SchedulerSettings): number {
	const counters = countersOf(fairness, ledger, tier, settings);
	const lags = waitingIn(ledger, tier).map(({summary}) => Math.abs((counters.get(summary.workspace) ?? 0) - fairness.virtualTimes[tier]!));
	return Math.max(0, ...lags);
}

/** Writes off an ended request with what it really cost. */
export function leaveSlot(fairness: Fairness, occupied: Occupied, whole: boolean, settings: SchedulerSettings): Fairness {
	const {summary, tokens} = occupied;
	const cost = costOf(summary, tokens, settings);
	const settled = settle({...fairness, greatestCost: Math.max(cost, fairness.greatestCost)}, summary, cost);
	if (!whole) {
		return settled;
	}

	const usual = settled.usualTokens[summary.tier]!;
	const next = usual === 0 ? tokens : usual + ((tokens - usual) * learningRate);
	return {...settled, usualTokens: settled.usualTokens.with(summary.tier, next)};
}

const learningRate = 0.05;

function settle(fairness: Fairness, {tier, workspace}: RequestSummary, cost: number): Fairness {
	const counters = new Map(fairness.settled[tier]);
	counters.set(workspace, (counters.get(workspace) ?? 0) + cost);
	return {...fairness, settled: fairness.settled.with(tier, counters)};
}

function expectedCost(fairness: Fairness, {summary, tokens}: Occupied, settings: SchedulerSettings): number {
	return costOf(summary, Math.max(tokens, fairness.usualTokens[summary.tier]!), settings);
}

function costOf(summary: RequestSummary, tokens: number, settings: SchedulerSettings): number {
	return ((summary.promptTokens * settings.promptTokenCost) + tokens) / summary.weight;
}
