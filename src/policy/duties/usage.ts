/**
 * Counts of requests that began to run, as grow-only counters: one row for each incarnation of an instance and each window. A row
 * is told as often as wanted, and the larger count wins, so a lost, repeated or reordered message changes no total. An incarnation
 * that ends leaves its rows; its successor under the same name starts rows of its own.
 */

/** Number of requests by workspace. */
export type UsageCounts = Readonly<Record<string, number>>;

/** What one incarnation of an instance counted in one window. */
export type UsageRow = {readonly incarnation: string; readonly window: number; readonly counts: UsageCounts};

/** The rows of all incarnations, by incarnation and window. */
export type UsageTotals = ReadonlyMap<string, UsageRow>;

/** The window that a time belongs to. */
export function windowAt(time: number, windowMilliseconds: number): number {
	return Math.floor(time / windowMilliseconds);
}

/** Unix time at which a window ends. */
export function windowEnd(window: number, windowMilliseconds: number): number {
	return (window + 1) * windowMilliseconds;
}

/** Adds rows to totals; of two values of one counter the larger one counts. */
export function mergeUsage(totals: UsageTotals, rows: readonly UsageRow[]): UsageTotals {
	if (rows.length === 0) {
		return totals;
	}

	const merged = new Map(totals);
	for (const row of rows) {
		const key = `${row.window}/${row.incarnation}`;
		const known = merged.get(key);
		merged.set(key, known === undefined ? row : {...row, counts: mergeCounts(known.counts, row.counts)});
	}

	return merged;
}

/** Drops the rows of windows up to and including one. */
export function dropUsageThrough(totals: UsageTotals, window: number): UsageTotals {
	const rows = [...totals].filter(([, row]) => row.window > window);
	return rows.length === totals.size ? totals : new Map(rows);
}

/** A window's counts over all incarnations; workspaces in the order of their names, so that equal counts are equal texts. */
export function countsOf(totals: UsageTotals, window: number): UsageCounts {
	const sums = new Map<string, number>();
	for (const row of totals.values()) {
		for (const [workspace, count] of row.window === window ? Object.entries(row.counts) : []) {
			sums.set(workspace, (sums.get(workspace) ?? 0) + count);
		}
	}

	return Object.fromEntries([...sums].toSorted(([left], [right]) => left < right ? -1 : 1));
}

/** Number of requests of all workspaces. */
export function totalOf(counts: UsageCounts): number {
	return Object.values(counts).reduce((sum, count) => sum + count, 0);
}

function mergeCounts(left: UsageCounts, right: UsageCounts): UsageCounts {
	const merged: Record<string, number> = {...left};
	for (const [workspace, count] of Object.entries(right)) {
		merged[workspace] = Math.max(merged[workspace] ?? 0, count);
	}

	return merged;
}
