import {type RequestSummary, type Tier} from '../../model/index.js';
import {type Ledger, type Occupied, type Waiting} from './ledger.js';
import {type SchedulerSettings} from './settings.js';

/**
 * Whose slot a request takes that would else miss its target: one of the lowest tier below it, and of
 * those the one with the least context, which costs the least to read again when it resumes. If there is
 * none, one of its own tier may have to go, of a workspace that holds more than its share of the slots
 * while the request's own workspace holds less.
 *
 * Load pattern: a burst of the top tier into slots that long answers of lower tiers hold; or a rival's
 * long answers that hold every slot of a tier. Without preemption the others wait for as long as those
 * answers take, whatever the order of the queue.
 *
 * Never upward, never what must not run twice, never a tier's floor share, which would starve the tier.
 * Within a tier each preemption moves both workspaces towards their shares, so two can't take slots from
 * each other in turn. A request is preempted a bounded number of times, so that two tiers can't throw one
 * answer to and fro and spend the endpoint on reading prompts again.
 */
export function victimFor(ledger: Ledger, waiting: Waiting, shares: SlotShares, settings: SchedulerSettings): Occupied | undefined {
	let victim: Occupied | undefined;
	for (const candidate of ledger.occupied.values()) {
		if (mayBePreempted(candidate, waiting, shares, settings) && (victim === undefined || goesFirst(candidate, victim))) {
			victim = candidate;
		}
	}

	return victim;
}

/** True if `occupied` may lose its slot to `waiting`. */
export function mayBePreempted(occupied: Occupied, waiting: Waiting, shares: SlotShares, settings: SchedulerSettings): boolean {
	const {summary} = occupied;
	if (!isPreemptible(occupied, settings)) {
		return false;
	}

	if (summary.tier !== waiting.summary.tier) {
		return summary.tier > waiting.summary.tier;
	}

	const isLong = occupied.offeredAt < shares.longSince;
	return settings.preemptsForShare && isLong && isBelowShare(shares, waiting.summary) && isAboveShare(shares, summary);
}

/** True if a higher tier may preempt it at all. */
export function isPreemptible({phase, floor, summary}: Occupied, settings: SchedulerSettings): boolean {
	return phase === 'running' && !floor && summary.idempotent && (summary.preemptions ?? 0) < settings.maximumPreemptions;
}

/** True if a new request of this tier finds its slot as good as free. */
export function givesWayTo(occupied: Occupied, tier: Tier, settings: SchedulerSettings): boolean {
	return occupied.summary.tier > tier && isPreemptible(occupied, settings);
}

/** How many slots come free by preemptions that are under way. */
export function stopping(ledger: Ledger): number {
	return [...ledger.occupied.values()].filter(({phase}) => phase === 'stopping').length;
}

/** What the workspaces of one tier hold, the slots that one weight is worth among them, and how long ago a long run began. */
export type SlotShares = {readonly held: ReadonlyMap<string, number>; readonly slotsPerWeight: number; readonly longSince: number};

/** Counts the slots that a tier's workspaces hold; what is being preempted counts no more. */
export function slotShares(ledger: Ledger, {tier}: RequestSummary, slots: number, longSince: number): SlotShares {
	const held = new Map<string, number>();
	const weights = new Map<string, number>();
	for (const {summary} of ledger.waiting.values()) {
		if (summary.tier === tier) {
			weights.set(summary.workspace, summary.weight);
		}
	}

	let above = 0;
	for (const {summary, phase} of ledger.occupied.values()) {
		above += summary.tier < tier ? 1 : 0;
		if (summary.tier === tier && phase !== 'stopping') {
			weights.set(summary.workspace, summary.weight);
			held.set(summary.workspace, (held.get(summary.workspace) ?? 0) + 1);
		}
	}

	let weight = 0;
	for (const one of weights.values()) {
		weight += one;
	}

	return {held, slotsPerWeight: (slots - above) / Math.max(weight, Number.MIN_VALUE), longSince};
}

function isBelowShare({held, slotsPerWeight}: SlotShares, {workspace, weight}: RequestSummary): boolean {
	return (held.get(workspace) ?? 0) + 1 <= weight * slotsPerWeight;
}

function isAboveShare({held, slotsPerWeight}: SlotShares, {workspace, weight}: RequestSummary): boolean {
	return (held.get(workspace) ?? 0) > weight * slotsPerWeight;
}

function goesFirst(one: Occupied, other: Occupied): boolean {
	if (one.summary.tier !== other.summary.tier) {
		return one.summary.tier > other.summary.tier;
	}

	return one.summary.promptTokens + one.tokens < other.summary.promptTokens + other.tokens;
}
