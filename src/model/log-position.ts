/**
 * A place in a log of the platform's store. An era ends when the store comes back from a copy: what was written since the copy
 * is gone, and its offsets are given out again. Offsets of two eras therefore say nothing of each other.
 */
export type LogPosition = {readonly era: number; readonly offset: number};

/** Negative if the left place is before the right one: an era goes before each place in it. */
export function comparePositions(left: LogPosition, right: LogPosition): number {
	return left.era - right.era || left.offset - right.offset;
}

/** True if the left place is after the right one. */
export function isAfterPosition(left: LogPosition, right: LogPosition): boolean {
	return comparePositions(left, right) > 0;
}
