/**
 * The instances whose counts a holder waits for before it decides a window. An instance that is cut off keeps its counts and tells
 * them once it is back; without a wait its requests would be missing from the report, and with an endless one the report would be late.
 */
import {correctionMilliseconds} from './clock.js';
import {type DutySettings} from './settings.js';
import {windowEnd} from './usage.js';

/** One incarnation of an instance, as the holder knows it. */
export type Contributor = {
	readonly instance: string;
	readonly incarnation: string;
	/** All requests that began before this time are in the rows that it has told. */
	readonly completeThrough: number;
	readonly isConnected: boolean;
	/** When it last told its counts, by the holder's steady clock; for one that is known from the log alone, when the log was read. */
	readonly receivedAt: number;
	/** How far its estimate of the time was ahead of the holder's. */
	readonly aheadMilliseconds: number;
};

export type Contributors = ReadonlyMap<string, Contributor>;

/** A window is decided at the earliest this long after its end: estimates of the time differ by some milliseconds. */
const settleMilliseconds = 250;
/** A new holder waits this long for the others to connect. */
const connectMilliseconds = 1500;
/** The part of the time until a report is late that is spent on waiting for instances; the rest is for calls without an answer. */
const waitingShare = 0.7;

export type DecisionQuery = {readonly window: number; readonly time: number; readonly heldForMilliseconds: number; readonly settings: DutySettings};

/** The contributors whose counts of a window are not known to be complete. */
export function missingContributors(contributors: Contributors, window: number, {windowMilliseconds}: DutySettings): Contributor[] {
	const end = windowEnd(window, windowMilliseconds);
	return [...contributors.values()].filter(({completeThrough}) => completeThrough < end);
}

/** Whether a holder decides a window now. */
export function isDecisionDue(contributors: Contributors, {window, time, heldForMilliseconds, settings}: DecisionQuery): boolean {
	const sinceEnd = time - windowEnd(window, settings.windowMilliseconds);
	if (sinceEnd < settleMilliseconds) {
		return false;
	}

	if (sinceEnd > settings.lateMilliseconds * waitingShare) {
		return true;
	}

	return heldForMilliseconds >= connectMilliseconds && missingContributors(contributors, window, settings).length === 0;
}

/**
 * Drops contributors that are gone. One that is cut off goes on counting in the windows that follow, and is back within seconds; one that
 * was killed is replaced by its next incarnation, or never comes back.
 */
export function dropGoneContributors(contributors: Contributors, steady: number, {lateMilliseconds, windowMilliseconds}: DutySettings): Contributors {
	const kept = [...contributors].filter(([, {isConnected, completeThrough, receivedAt}]) => isConnected
		|| (Number.isFinite(completeThrough) && steady - receivedAt <= lateMilliseconds + windowMilliseconds));
	return kept.length === contributors.size ? contributors : new Map(kept);
}

/** So many instances, the holder included, must agree on the time before it counts as certain; two that agree may both be wrong. */
const leastAgreeing = 3;

/** Whether the holder's time is certain: the others had time to connect, and it agrees with that of most of them, and of a few at least. */
export function isTimeCertain(contributors: Contributors, heldForMilliseconds: number): boolean {
	const connected = [...contributors.values()].filter(({isConnected}) => isConnected);
	const agreeing = connected.filter(({aheadMilliseconds}) => Math.abs(aheadMilliseconds) <= correctionMilliseconds);
	return heldForMilliseconds >= connectMilliseconds && agreeing.length >= leastAgreeing && 2 * agreeing.length > connected.length;
}
