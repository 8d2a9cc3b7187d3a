import {type RequestSummary} from '../../model/index.js';
import {type SideRecord} from './fleet.js';

/**
 * Estimates the queue at each side. Load reports lag, and several entries see the same free slot. Without
 * the correction here, a report from before the last few reservations would draw all of them to one side,
 * which then has a queue while the others are idle. The estimate therefore corrects the report by what this
 * entry has started and ended there since, and leaves out lower tiers, since the side serves them later.
 */

/** An older report says nothing about free slots; this is a few times the interval at which sides report. */
export const staleReportMilliseconds = 2000;
/** Assumed before anything was measured: a short chat response. Only the order of candidates depends on it. */
export const defaultResponseTokens = 128;
/** Assumed before anything was measured: the time between tokens of current engines. */
export const defaultTokenMilliseconds = 10;

/**
 * Number of requests that the side would serve before a new one of this tier: the reported number, corrected
 * by what this entry itself has started and ended there since.
 */
export function requestsAhead(side: SideRecord, tier: number, now: number): number {
	let reported = side.view.firm?.[tier] ?? side.view.running;
	for (const waiting of side.view.waiting.slice(0, tier + 1)) {
		reported += waiting;
	}

	if (side.view.firm !== undefined) {
		// The reported number of non-preemptible requests includes those of this entry, except the ones it sent since the report.
		return Math.max(0, side.ownRequests.size - side.ownRequestsReported) + (reported * reportWeight(side, now));
	}

	const others = Math.max(0, reported - side.ownRequestsReported);
	return side.ownRequests.size + (others * reportWeight(side, now));
}

/**
 * How much the reported load of other entries counts, from 0 to 1. A side reports only to entries that have
 * requests there. If its last report to this entry showed a full queue and kept its full weight, this entry
 * would never reserve there again, and the side would be idle while others have queues. The weight therefore
 * decreases with the report's age, until a reservation there brings a new report.
 */
function reportWeight(side: SideRecord, now: number): number {
	const age = now - side.reportedAt;
	return side.ownRequests.size > 0 || age <= staleReportMilliseconds ? 1 : Math.max(0, 2 - (age / staleReportMilliseconds));
}

/** Slots left for a new request of this tier; if negative, its absolute value is the length of the queue before that request. */
export function freeSlots(side: SideRecord, tier: number, now: number): number {
	return side.view.slots - requestsAhead(side, tier, now);
}

/** How many milliseconds a new request would wait there for a slot. */
export function estimateWait(side: SideRecord, summary: RequestSummary, speed: {readonly responseTokens: number; readonly tokenMilliseconds: number}, now: number): number {
	const free = freeSlots(side, summary.tier, now);
	if (free > 0) {
		return 0;
	}

	const slots = Math.max(1, side.view.slots);
	return ((1 - free) / slots) * speed.responseTokens * speed.tokenMilliseconds;
}

/** True if the side has a free slot almost certainly: a fresh report with a margin for what other entries may have sent since. */
export function isCertainlyFree(side: SideRecord, tier: number, now: number): boolean {
	const margin = Math.max(2, Math.ceil(side.view.slots / 4));
	return now - side.reportedAt <= staleReportMilliseconds && freeSlots(side, tier, now) >= margin;
}
