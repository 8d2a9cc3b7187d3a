type Entry = {readonly at: number; readonly action: () => void};

/** Virtual time: actions run in the order of their times. */
export class Timeline {
	static create(): Timeline {
		return new Timeline();
	}

	now = 0;
	/** Sorted by time, the next one last. */
	readonly #entries: Entry[] = [];

	at(at: number, action: () => void): void {
		let low = 0;
		let high = this.#entries.length;
		while (low < high) {
			const middle = Math.floor((low + high) / 2);
			if (this.#entries[middle]!.at > at) {
				low = middle + 1;
			} else {
				high = middle;
			}
		}

		this.#entries.splice(low, 0, {at, action});
	}

	after(milliseconds: number, action: () => void): void {
		this.at(this.now + milliseconds, action);
	}

	run(): void {
		for (let entry = this.#entries.pop(); entry !== undefined; entry = this.#entries.pop()) {
			this.now = entry.at;
			entry.action();
		}
	}
}
