/** Interval between scans of the queue while requests wait in it. */
export const scanIntervalMilliseconds = 8;
/**
 * Expected interval between two searches for one queued request. A scan may come just before the search is due; the search is
 * then done in the next one.
 */
export const searchIntervalMilliseconds = 2 * scanIntervalMilliseconds;
/** After a scan the queue rests for this many times the scan's duration, so scans take at most a tenth of the process's time. */
const scanRestFactor = 9;

/** When the queue is scanned: at intervals while requests wait in it, and no more often than the process has time for. */
export class ScanSchedule implements Disposable {
	/** `onTurn` is called at each interval. */
	static create(onTurn: () => void): ScanSchedule {
		return new ScanSchedule(onTurn);
	}

	readonly #onTurn: () => void;
	/** Earliest time of the next scan. */
	#nextAt = 0;
	#timer: NodeJS.Timeout | undefined;

	private constructor(onTurn: () => void) {
		this.#onTurn = onTurn;
	}

	isDue(now: number): boolean {
		return now >= this.#nextAt;
	}

	/** Records a scan by its start and end, on the monotonic clock. */
	recordScan(from: number, to: number): void {
		this.#nextAt = to + ((to - from) * scanRestFactor);
	}

	/** Begins the intervals, if they have not begun. */
	begin(): void {
		this.#timer ??= setInterval(this.#onTurn, scanIntervalMilliseconds);
	}

	/** Ends the intervals: nothing waits. */
	end(): void {
		clearInterval(this.#timer);
		this.#timer = undefined;
	}

	[Symbol.dispose](): void {
		this.end();
	}
}
