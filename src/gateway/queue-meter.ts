/** What an instance did for its line in a time. */
export type LineActivity = {
	/** Requests that wait now. */
	readonly waiting: number;
	/** Tries of the whole line, and the milliseconds that they took together. */
	readonly tries: number;
	readonly triesMilliseconds: number;
	/** The longest time from one try to the next, in milliseconds. */
	readonly longestRest: number;
	/** Looks at endpoints for one request each. */
	readonly looks: number;
	/** Requests that got a place out of the line, and as they came. */
	readonly placed: number;
	readonly placedAtOnce: number;
};

const nothing = {tries: 0, triesMilliseconds: 0, longestRest: 0, looks: 0, placed: 0, placedAtOnce: 0};

/** Counts what is done for the line, so that a line which is tried too rarely shows in the logs. */
export class LineMeter {
	static create(): LineMeter {
		return new LineMeter();
	}

	#counts = {...nothing};
	#lastTryAt: number | undefined;

	/** The line was tried, from one moment to another. */
	tried(from: number, to: number): void {
		this.#counts.tries += 1;
		this.#counts.triesMilliseconds += to - from;
		this.#counts.longestRest = Math.max(this.#counts.longestRest, from - (this.#lastTryAt ?? from));
		this.#lastTryAt = to;
	}

	looked(): void {
		this.#counts.looks += 1;
	}

	placed(hasWaited: boolean): void {
		this.#counts.placed += hasWaited ? 1 : 0;
		this.#counts.placedAtOnce += hasWaited ? 0 : 1;
	}

	/** What was counted since it was asked last. */
	take(waiting: number): LineActivity {
		const activity = {waiting, ...this.#counts, triesMilliseconds: Math.round(this.#counts.triesMilliseconds), longestRest: Math.round(this.#counts.longestRest)};
		this.#counts = {...nothing};
		this.#lastTryAt = waiting === 0 ? undefined : this.#lastTryAt;
		return activity;
	}
}
