import {type UsageCounts, windowAt} from '../../policy/duties/index.js';

/** A request that was sent to an endpoint and whose start is not known yet. */
export type OpenRun = {
	/** Ends the uncertainty: `hasBegun` says whether the endpoint began to run the request when it was sent. */
	end(hasBegun: boolean): void;
};

/** A window's counts, and a number that rises with each change of any window. */
export type CountedWindow = {readonly window: number; readonly counts: UsageCounts; readonly revision: number};

/** Windows that are kept for a holder that has not read their counts yet. */
const keptWindows = 8;

/** Counts the requests that endpoints began to run, by window and workspace, for this incarnation. */
export class UsageCounter {
	/** `now` returns the estimate of Unix time in milliseconds. */
	static create(windowMilliseconds: number, now: () => number): UsageCounter {
		return new UsageCounter(windowMilliseconds, now);
	}

	readonly #windowMilliseconds: number;
	readonly #now: () => number;
	readonly #windows = new Map<number, {counts: Record<string, number>; revision: number}>();
	readonly #open = new Map<OpenRun, number>();
	#revision = 0;

	private constructor(windowMilliseconds: number, now: () => number) {
		this.#windowMilliseconds = windowMilliseconds;
		this.#now = now;
	}

	/** All requests that began before this time are counted. */
	get completeThrough(): number {
		// Runs are opened in the order of time, so the first one is the oldest.
		const [oldest] = this.#open.values();
		return Math.min(this.#now(), oldest ?? Infinity);
	}

	/** Counts a request that begins to run now. */
	count(workspace: string): void {
		this.#countAt(workspace, this.#now());
	}

	/** Records that a request is sent now. */
	open(workspace: string): OpenRun {
		const sentAt = this.#now();
		const run: OpenRun = {
			end: hasBegun => {
				if (this.#open.delete(run) && hasBegun) {
					this.#countAt(workspace, sentAt);
				}
			},
		};
		this.#open.set(run, sentAt);
		return run;
	}

	/** Windows that changed after a revision. */
	changedSince(revision: number): CountedWindow[] {
		return [...this.#windows].filter(([, entry]) => entry.revision > revision).map(([window, entry]) => ({window, counts: {...entry.counts}, revision: entry.revision}));
	}

	get revision(): number {
		return this.#revision;
	}

	#countAt(workspace: string, time: number): void {
		const window = windowAt(time, this.#windowMilliseconds);
		const entry = this.#windows.get(window) ?? {counts: {}, revision: 0};
		this.#revision += 1;
		entry.counts[workspace] = (entry.counts[workspace] ?? 0) + 1;
		entry.revision = this.#revision;
		this.#windows.set(window, entry);
		// The first key is the window that was counted first.
		const [first] = this.#windows.keys();
		if (first !== undefined && this.#windows.size > keptWindows) {
			this.#windows.delete(first);
		}
	}
}
