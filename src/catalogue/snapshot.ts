import {Catalogue} from './catalogue.js';
import {snapshotSchema} from './change.js';
import {type StreamRecord} from './fold.js';

/**
 * The catalogue to go on from, if this record is a snapshot that a reader can use: the records
 * after the one it covers must still be in the log, whose oldest is `first`.
 */
export function restoreFrom(record: StreamRecord, first: number): Catalogue | undefined {
	const parsed = snapshotSchema.safeParse(record.value);
	if (!parsed.success || parsed.data.through >= record.offset || parsed.data.through < first - 1) {
		return undefined;
	}

	return Catalogue.restore(parsed.data);
}

/** What a reader has seen of snapshots and of the log's retention. */
export type SnapshotState = {
	/** The newest snapshot in the stream: what it covers, and when the log kept it. */
	readonly latest?: {readonly through: number; readonly time: number};
	/** The oldest offset that the log still has. */
	readonly first: number;
};

/** When a snapshot has to be written. The interval must be under a quarter of the log's retention. */
export type SnapshotSettings = {readonly intervalMilliseconds: number; readonly intervalRecords: number};

/**
 * Ten minutes leave a log that keeps records for an hour with several usable snapshots; 500
 * records are read back in one answer of the log.
 */
export const defaultSnapshotSettings: SnapshotSettings = {intervalMilliseconds: 600_000, intervalRecords: 500};

/** True if a reader that starts soon could find nothing to start from, or too much to read. */
export function isSnapshotDue(catalogue: Catalogue, state: SnapshotState, now: number, settings = defaultSnapshotSettings): boolean {
	if (catalogue.offset < 0) {
		return false;
	}

	if (!state.latest) {
		return state.first > 0 || catalogue.offset + 1 >= settings.intervalRecords / 2;
	}

	return state.latest.through < state.first - 1
		|| now - state.latest.time >= settings.intervalMilliseconds
		|| catalogue.changed - state.latest.through >= settings.intervalRecords;
}
