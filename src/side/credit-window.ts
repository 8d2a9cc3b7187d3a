import {type Body, type Channel, receive, tryReceive} from '../concurrency/index.js';
import {type RunInput} from './reservation.js';

/**
 * How many more events the entry is ready to take. Failure: a caller that reads slowly makes its
 * answer pile up at the entry. Symptom: memory grows with each slow caller. A run that has used up
 * its credit stops reading the engine, so the engine's own flow control holds just that stream back.
 */
export class CreditWindow {
	static create(events: number, input: Channel<RunInput>): CreditWindow {
		return new CreditWindow(events, input);
	}

	/**
	 * How long the last `hasCredit` waited. Failure: a caller's slowness is counted as time between
	 * the engine's tokens. Symptom: one slow caller takes slots from everybody. Whoever measures the
	 * engine takes this time off.
	 */
	waitedMilliseconds = 0;
	#available: number;
	readonly #input: Channel<RunInput>;

	private constructor(events: number, input: Channel<RunInput>) {
		this.#available = events;
		this.#input = input;
	}

	/** Counts events that were sent. One turn's events may overdraw the window by that turn. */
	spend(events: number): void {
		this.#available -= events;
	}

	/** Takes the credit that has come and waits for some if there is none; false if the entry cancelled. */
	* hasCredit(): Body<boolean> {
		this.waitedMilliseconds = 0;
		while (this.#available <= 0) {
			const waitsSince = performance.now();
			const message = yield * receive(this.#input);
			this.waitedMilliseconds += performance.now() - waitsSince;
			if (!this.#take(message)) {
				return false;
			}
		}

		for (let message = tryReceive(this.#input); message !== undefined; message = tryReceive(this.#input)) {
			if (!this.#take(message)) {
				return false;
			}
		}

		return true;
	}

	/** False if the run is over: cancelled, or its input closed. */
	#take(message: RunInput | undefined): boolean {
		if (message === undefined || message.type === 'cancel') {
			return false;
		}

		if (message.type === 'credit') {
			this.#available += message.events;
		}

		return true;
	}
}
