import {encodeLoad, type LoadEvent, type LoadRow} from '../policy/dispatch/index.js';

/** Load that waits for what else happens within a few milliseconds, so that it leaves in one message. */
export class LoadBatch {
	/** `interval` says how long to wait, as it is when the first event comes. */
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
