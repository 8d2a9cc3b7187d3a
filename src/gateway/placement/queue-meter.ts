/** Queue statistics of an instance over an interval. */
export type QueueActivity = {
	/** Requests queued now. */
	readonly waiting: number;
	/** Scans of the queue and their total duration in milliseconds. */
	readonly tries: number;
	readonly triesMilliseconds: number;
	/** The longest time between two scans, in milliseconds. */
	readonly longestRest: number;
	/** Searches for an endpoint for one request each. */
	readonly looks: number;
	/** Requests placed out of the queue, and on arrival. */
	readonly placed: number;
	readonly placedAtOnce: number;
};

const zeroCounts = {tries: 0, triesMilliseconds: 0, longestRest: 0, looks: 0, placed: 0, placedAtOnce: 0};

/** Counts the work on the queue, so that the logs show a queue that is scanned too rarely. */
export class QueueMeter {
	static create(): QueueMeter {
		return new QueueMeter();
	}

	#counts = {...zeroCounts};
	/** End of the previous scan; undefined before the first one and once `take` has found the queue empty. */
	#lastScanEndedAt: number | undefined;

	/** Records a scan of the queue by its start and end. */
	recordScan(from: number, to: number): void {
		this.#counts.tries += 1;
		this.#counts.triesMilliseconds += to - from;
		this.#counts.longestRest = Math.max(this.#counts.longestRest, from - (this.#lastScanEndedAt ?? from));
		this.#lastScanEndedAt = to;
	}

	recordSearch(): void {
		this.#counts.looks += 1;
	}

	recordPlacement(hasWaited: boolean): void {
		this.#counts.placed += hasWaited ? 1 : 0;
		this.#counts.placedAtOnce += hasWaited ? 0 : 1;
	}

	/** Statistics since the previous call. */
	take(waiting: number): QueueActivity {
		const activity = {waiting, ...this.#counts, triesMilliseconds: Math.round(this.#counts.triesMilliseconds), longestRest: Math.round(this.#counts.longestRest)};
		this.#counts = {...zeroCounts};
		this.#lastScanEndedAt = waiting === 0 ? undefined : this.#lastScanEndedAt;
		return activity;
	}
}
