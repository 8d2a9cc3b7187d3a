export type LogLimitSettings = {
	/** Shortest time between two lines of one key. */
	readonly intervalMilliseconds: number;
	/** Keys of which anything is logged; others come from writers who may invent them without end. */
	readonly maxKeys: number;
};

/** Which lines about a key are written while the same thing happens to it again and again: the first, and one for each interval after it. */
export class LogLimit {
	static create(settings: LogLimitSettings): LogLimit {
		return new LogLimit(settings);
	}

	readonly #settings: LogLimitSettings;
	/** When a line was last written, by key. */
	readonly #writtenAt = new Map<string, number>();

	private constructor(settings: LogLimitSettings) {
		this.#settings = settings;
	}

	/** Whether a line about a key may be written at `now`, in milliseconds of the monotonic clock; if so, it counts as written. */
	allows(key: string, now = performance.now()): boolean {
		if (!this.#isDue(key, now)) {
			return false;
		}

		this.#writtenAt.set(key, now);
		return true;
	}

	#isDue(key: string, now: number): boolean {
		const writtenAt = this.#writtenAt.get(key);
		return writtenAt === undefined ? this.#writtenAt.size < this.#settings.maxKeys : now - writtenAt >= this.#settings.intervalMilliseconds;
	}
}
