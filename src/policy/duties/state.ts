import {type LogPosition} from '../../model/index.js';
import {type Contributors} from './contributors.js';
import {type DutyLog, type Holder} from './records.js';
import {type Candidate, type DutySettings} from './settings.js';
import {type UsageCounts, type UsageTotals} from './usage.js';

/** A period in which this instance holds the duties. */
export type Tenure = {
	readonly token: number;
	/** The era of the store in which the duties were claimed. */
	readonly era: number;
	/** When it began, by the steady clock. */
	readonly since: number;
	/** When the last successful append began, by the lease clock. */
	readonly renewedAt: number;
	/** When the next call to the receiver of reports may be made, by the steady clock. */
	readonly nextCallAt: number;
	/** Calls in a row that were not accepted. */
	readonly failedCalls: number;
	/** When the first of them failed, by the steady clock. */
	readonly failingSince: number | undefined;
	/** The windows up to this one were reported or can't be reported any more. */
	readonly closedThrough: number;
	/** Windows up to this one are reported only if their decision is known: an earlier holder may have reported counts of its own. */
	readonly undecidableThrough: number;
	/** The holder gives its duties up with its next append, and makes no more calls. */
	readonly isEnding: boolean;
};

/** The log as this instance knows it. */
export type KnownLog = {
	readonly log: DutyLog;
	/** When the latest read of it began, by the steady clock. */
	readonly readAt: number;
	/** When it was first known to end here, by the steady clock. */
	readonly changedAt: number;
	/** False after an append without a response, until the next read. */
	readonly isCurrent: boolean;
};

/** The latest message of a holder. */
export type HolderAnnouncement = {readonly holder: Holder; readonly end: LogPosition; readonly at: number};

/** What one instance knows of the duties and of their holder. */
export type DutyState = {
	readonly settings: DutySettings;
	readonly own: Candidate;
	readonly startedAt: number;
	readonly known: KnownLog | undefined;
	readonly announcement: HolderAnnouncement | undefined;
	readonly tenure: Tenure | undefined;
	/** When this instance last held the duties, by the steady clock. */
	readonly lastHeldAt: number;
	/** The last token that this instance has given up; it is never used again. */
	readonly abandonedToken: number;
	/** Decisions that this instance knows of, also of holders before it: they stay in force if the store loses them. */
	readonly decisions: ReadonlyMap<number, UsageCounts>;
	readonly usage: UsageTotals;
	readonly contributors: Contributors;
	/** Calls to the store in a row that failed, and when the next one may be made by the steady clock. */
	readonly failedStoreCalls: number;
	readonly nextStoreCallAt: number;
	/** The process is about to end: it gives up its duties and claims none. */
	readonly isStopping: boolean;
};

export function createDutyState(settings: DutySettings, own: Candidate, steady: number): DutyState {
	return {
		settings, own, startedAt: steady, known: undefined, announcement: undefined, tenure: undefined, lastHeldAt: -Infinity, abandonedToken: 0, decisions: new Map(), usage: new Map(),
		contributors: new Map(), failedStoreCalls: 0, nextStoreCallAt: steady + own.claimDelayMilliseconds, isStopping: false,
	};
}

/** The holder by the newest of what the log and its own messages say; undefined if that is this instance, and it has lost the duties. */
export function knownHolder({known, announcement, own, tenure}: DutyState): Holder | undefined {
	const logged = known?.log.holder;
	const isLogNewer = logged !== undefined && (announcement === undefined || logged.token > announcement.holder.token || (logged.token === announcement.holder.token && logged.isReleased));
	const newest = isLogNewer ? logged : announcement?.holder;
	const hasLapsed = newest?.incarnation === own.incarnation && tenure === undefined && !newest.isReleased;
	return hasLapsed ? undefined : newest;
}
