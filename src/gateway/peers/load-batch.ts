import {encodeLoad, type LoadEvent, type LoadRow} from '../../policy/dispatch/index.js';

/** Collects load events for a few milliseconds and sends them in one message. */
export class LoadBatch {
	/** `interval` returns how long to wait; it is called at the first event of a batch. */
	static create(interval: () => number, send: (rows: LoadRow[]) => void): LoadBatch {
		return new LoadBatch(interval, send);
	}

	readonly #interval: () => number;
	readonly #send: (rows: LoadRow[]) => void;
	#unsent: LoadEvent[] = [];

	private constructor(interval: () => number, send: (rows: LoadRow[]) => void) {
		this.#interval = interval;
		this.#send = send;
	}

	add(event: LoadEvent): void {
		if (this.#unsent.length === 0) {
			setTimeout(() => {
				const events = this.#unsent;
				this.#unsent = [];
				this.#send(encodeLoad(events));
			}, this.#interval());
		}

		this.#unsent.push(event);
	}
}
