import {type RequestSummary} from '../../model/index.js';
import {type SideRecord} from './fleet.js';

/**
 * Load pattern: load reports lag, and several entries see the same free slot. Without this module a
 * report from before the last few reservations would draw all of them to one side, which then has a
 * queue while its neighbours idle. The estimate therefore corrects the report
 * by what this entry has begun and ended there since, and leaves lower tiers out, since the side serves them later.
 */

/** Older reports say nothing about free slots: a few times the interval at which sides report. */
export const staleReportMilliseconds = 2000;
/** Before anything was measured: a short chat answer. Only the order of candidates depends on it. */
export const defaultAnswerTokens = 128;
/** Before anything was measured: the time between tokens of the engines of today. */
export const defaultTokenMilliseconds = 10;

/**
 * Requests that the side would serve before a new one of this tier: what it reported, corrected by
 * what this entry itself has begun and ended there since.
 */
export function requestsAhead(side: SideRecord, tier: number, now: number): number {
	let reported = side.view.firm?.[tier] ?? side.view.running;
	for (const waiting of side.view.waiting.slice(0, tier + 1)) {
		reported += waiting;
	}

	if (side.view.firm !== undefined) {
		// Which of ours would give way is in the report already; only what came since is not.
		return Math.max(0, side.own.size - side.ownReported) + (reported * trust(side, now));
	}

	const others = Math.max(0, reported - side.ownReported);
	return side.own.size + (others * trust(side, now));
}

/**
 * Failure: a side reports only to entries that have requests there, and its last report to this one
 * told of a full queue. Symptom: it is never asked again, and idles while its peers queue. What a
 * report says of others fades, until a reservation there brings a new one.
 */
function trust(side: SideRecord, now: number): number {
	const age = now - side.seenAt;
	return side.own.size > 0 || age <= staleReportMilliseconds ? 1 : Math.max(0, 2 - (age / staleReportMilliseconds));
}

/** Slots that would be left for a new request of this tier; negative is the queue before it. */
export function freeSlots(side: SideRecord, tier: number, now: number): number {
	return side.view.slots - requestsAhead(side, tier, now);
}

/** How long a new request would wait there for a slot. */
export function estimateWait(side: SideRecord, summary: RequestSummary, speed: {readonly answerTokens: number; readonly tokenMilliseconds: number}, now: number): number {
	const free = freeSlots(side, summary.tier, now);
	if (free > 0) {
		return 0;
	}

	const slots = Math.max(1, side.view.slots);
	return ((1 - free) / slots) * speed.answerTokens * speed.tokenMilliseconds;
}

/** True if the side surely has a slot: a fresh report with room for what other entries may have sent since. */
export function certainlyFree(side: SideRecord, tier: number, now: number): boolean {
	const margin = Math.max(2, Math.ceil(side.view.slots / 4));
	return now - side.seenAt <= staleReportMilliseconds && freeSlots(side, tier, now) >= margin;
}
