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
	 * True if the last `hasCredit` had to wait. Failure: a caller's slowness is counted as time
	 * between the engine's tokens. Symptom: one slow caller takes slots from everybody. Whoever
	 * measures the engine starts its clock anew after such a wait.
	 */
	hasWaited = false;
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
		this.hasWaited = this.#available <= 0;
		for (;;) {
			const message = this.#available > 0 ? tryReceive(this.#input) : yield * receive(this.#input);
			if (message === undefined) {
				return this.#available > 0;
			}

			if (message.type === 'cancel') {
				return false;
			}

			if (message.type === 'credit') {
				this.#available += message.events;
			}
		}
	}
}
