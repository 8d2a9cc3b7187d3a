import {Catalogue} from './catalogue.js';
import {snapshotSchema} from './change.js';
import {type StreamRecord} from './fold.js';

/**
 * Restores the catalogue if this record is a usable snapshot: all records after `through`, the last one that
 * the snapshot covers, must still be in the log, whose oldest offset is `first`.
 */
export function restoreFrom(record: StreamRecord, first: number): Catalogue | undefined {
	const parsed = snapshotSchema.safeParse(record.value);
	if (!parsed.success || parsed.data.through >= record.offset || parsed.data.through < first - 1) {
		return undefined;
	}

	return Catalogue.restore(parsed.data);
}

/** The newest snapshot and the log's retention as known to a reader. */
export type SnapshotState = {
	/** The newest snapshot in the stream: the last offset that it covers, and when the log stored it. */
	readonly latest?: {readonly through: number; readonly time: number};
	/** The oldest offset that the log retains. */
	readonly first: number;
};

/** When a snapshot is due. The interval must be less than a quarter of the log's retention. */
export type SnapshotSettings = {readonly intervalMilliseconds: number; readonly intervalRecords: number};

/**
 * With an interval of ten minutes a log that retains records for an hour holds several usable snapshots;
 * 500 records fit into one response of the log.
 */
export const defaultSnapshotSettings: SnapshotSettings = {intervalMilliseconds: 600_000, intervalRecords: 500};

/** True if a reader that starts soon might find no usable snapshot, or would have to read too many records after it. */
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
