import {type RequestSummary, type Tier} from '../../model/index.js';
import {type Reservations, type SlotHolder, type WaitingReservation} from './reservations.js';
import {type SchedulerSettings} from './settings.js';

/**
 * Chooses the request that is preempted for one that would miss its target otherwise: of the lowest tier
 * below it, the request with the smallest context, because that costs least to prefill again on resuming. If
 * there is none, a long-running request of the same tier may be preempted if its workspace holds more than
 * its share of the slots while the waiting request's own workspace holds less.
 *
 * This serves a burst of the top tier that finds all slots taken by long responses of lower tiers, and a
 * workspace that finds every slot of its tier taken by another's long responses. Without preemption these
 * requests wait until the responses end, whatever the order of the queue.
 *
 * A request is never preempted for a lower tier, never if it must not run twice, and never if it runs in its
 * tier's floor share, since that would starve the tier. Within a tier each preemption moves both workspaces
 * towards their shares, so two workspaces can't take slots from each other in turn. The number of preemptions
 * of a request is bounded, so that two tiers can't preempt the same response again and again and make the
 * endpoint spend its time on repeated prefill.
 */
export function selectVictim(reservations: Reservations, waiting: WaitingReservation, shares: SlotShares, settings: SchedulerSettings): SlotHolder | undefined {
	let victim: SlotHolder | undefined;
	for (const candidate of reservations.holders.values()) {
		if (mayBePreempted(candidate, waiting, shares, settings) && (victim === undefined || isBetterVictim(candidate, victim))) {
			victim = candidate;
		}
	}

	return victim;
}

/** True if `holder` may lose its slot to `waiting`. */
export function mayBePreempted(holder: SlotHolder, waiting: WaitingReservation, shares: SlotShares, settings: SchedulerSettings): boolean {
	const {summary} = holder;
	if (!isPreemptible(holder, settings)) {
		return false;
	}

	if (summary.tier !== waiting.summary.tier) {
		return summary.tier > waiting.summary.tier;
	}

	const isLongRunning = holder.offeredAt < shares.longRunCutoff;
	return settings.preemptsForShare && isLongRunning && isBelowShare(shares, waiting.summary) && isAboveShare(shares, summary);
}

/** True if any request may preempt this slot holder: it runs outside the floor share, may run twice and has been preempted less often than allowed. */
export function isPreemptible({phase, usesFloorShare, summary}: SlotHolder, settings: SchedulerSettings): boolean {
	return phase === 'running' && !usesFloorShare && summary.idempotent && (summary.preemptions ?? 0) < settings.maximumPreemptions;
}

/** True if a new request of this tier could preempt the slot holder, so that the slot is available to it. */
export function canBePreemptedBy(holder: SlotHolder, tier: Tier, settings: SchedulerSettings): boolean {
	return holder.summary.tier > tier && isPreemptible(holder, settings);
}

/** Counts the slots that will come free by preemptions in progress. */
export function countStopping(reservations: Reservations): number {
	return [...reservations.holders.values()].filter(({phase}) => phase === 'stopping').length;
}

/** Slots held by each workspace of a tier, the slots per unit of weight, and the time of the offer before which a request counts as long-running. */
export type SlotShares = {readonly held: ReadonlyMap<string, number>; readonly slotsPerWeight: number; readonly longRunCutoff: number};

/** Counts the slots that a tier's workspaces hold; slots that are being preempted don't count. */
export function slotShares(reservations: Reservations, {tier}: RequestSummary, slots: number, longRunCutoff: number): SlotShares {
	const held = new Map<string, number>();
	const weights = new Map<string, number>();
	for (const {summary} of reservations.waiting.values()) {
		if (summary.tier === tier) {
			weights.set(summary.workspace, summary.weight);
		}
	}

	let heldByHigherTiers = 0;
	for (const {summary, phase} of reservations.holders.values()) {
		heldByHigherTiers += summary.tier < tier ? 1 : 0;
		if (summary.tier === tier && phase !== 'stopping') {
			weights.set(summary.workspace, summary.weight);
			held.set(summary.workspace, (held.get(summary.workspace) ?? 0) + 1);
		}
	}

	let weight = 0;
	for (const one of weights.values()) {
		weight += one;
	}

	return {held, slotsPerWeight: (slots - heldByHigherTiers) / Math.max(weight, Number.MIN_VALUE), longRunCutoff};
}

function isBelowShare({held, slotsPerWeight}: SlotShares, {workspace, weight}: RequestSummary): boolean {
	return (held.get(workspace) ?? 0) + 1 <= weight * slotsPerWeight;
}

function isAboveShare({held, slotsPerWeight}: SlotShares, {workspace, weight}: RequestSummary): boolean {
	return (held.get(workspace) ?? 0) > weight * slotsPerWeight;
}

function isBetterVictim(one: SlotHolder, other: SlotHolder): boolean {
	if (one.summary.tier !== other.summary.tier) {
		return one.summary.tier > other.summary.tier;
	}

	return one.summary.promptTokens + one.tokens < other.summary.promptTokens + other.tokens;
}
