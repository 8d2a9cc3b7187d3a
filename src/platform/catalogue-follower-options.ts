import {type Catalogue, type RecordVerdict, type SnapshotSettings} from '../catalogue/index.js';
import {type TextRecord} from './record-history.js';
import {type LogClient} from './types.js';

/** Response to `pull`; the fields of the `records` message. */
export type RecordsResponse = {readonly snapshot: boolean; readonly records: readonly TextRecord[]};

/** A record of the audit trail and its result in this process's fold. */
export type AuditEntry = {readonly offset: number; readonly time: number; readonly value: unknown; readonly verdict: RecordVerdict};

/** Waits and retries of a follower. */
export type FollowerTimes = {
	/** Longest wait of a long poll. The log responds as soon as there is a record, so a longer wait only means fewer calls. */
	readonly pollMilliseconds: number;
	readonly firstRetryMilliseconds: number;
	readonly longestRetryMilliseconds: number;
	readonly snapshotCheckMilliseconds: number;
	/** Upper bound of the random delay before a snapshot is written, so that one of a thousand readers writes before the others. */
	readonly snapshotSpreadMilliseconds: number;
};

/**
 * Retries are at most two seconds apart, because a change must be in force within five seconds after
 * the log is available again. Of a thousand readers spread over a minute, one or two write a snapshot
 * before they read another's.
 */
export const defaultFollowerTimes: FollowerTimes = {
	pollMilliseconds: 10_000, firstRetryMilliseconds: 100, longestRetryMilliseconds: 2000, snapshotCheckMilliseconds: 5000, snapshotSpreadMilliseconds: 60_000,
};

/** What a follower reads from, and whom it tells. */
export type FollowerOptions = {
	readonly log: LogClient;
	readonly instance: string;
	readonly onAdvance?: (catalogue: Catalogue) => void;
	readonly onLog?: (message: string) => void;
	/** Returns a number in [0, 1). */
	readonly random?: () => number;
	/** Returns the time in milliseconds since 1970. */
	readonly now?: () => number;
	readonly times?: Partial<FollowerTimes>;
	readonly snapshots?: SnapshotSettings;
};
