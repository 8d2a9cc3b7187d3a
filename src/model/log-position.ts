/**
 * A position in a log of the platform's store. An era is a generation of the store and ends when the store is restored from a backup:
 * what was written since the backup is lost, and its offsets are assigned again. Offsets of different eras can't be compared.
 */
export type LogPosition = {readonly era: number; readonly offset: number};

/** Compares by era, then by offset; negative if the left position is before the right one. */
export function comparePositions(left: LogPosition, right: LogPosition): number {
	return left.era - right.era || left.offset - right.offset;
}

/** True if the left position is after the right one. */
export function isAfterPosition(left: LogPosition, right: LogPosition): boolean {
	return comparePositions(left, right) > 0;
}
