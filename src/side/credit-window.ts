import {type Body, type Channel, receive, tryReceive} from '../concurrency/index.js';
import {type RunInput} from './reservation.js';

/**
 * Credit-based flow control: how many more events the entry is ready to receive. A run that has used up its credit
 * stops reading from the engine, so the backpressure affects that stream only. Without this, the responses of
 * callers that read slowly would accumulate at the entry, and its memory would grow with each slow caller.
 */
export class CreditWindow {
	static create(events: number, input: Channel<RunInput>): CreditWindow {
		return new CreditWindow(events, input);
	}

	/**
	 * How long the last `hasCredit` waited, in milliseconds. It must be subtracted from measured times
	 * between tokens: otherwise the slowness of one caller would be attributed to the engine, and the
	 * endpoint's slots would be reduced for all callers.
	 */
	waitedMilliseconds = 0;
	#available: number;
	readonly #input: Channel<RunInput>;

	private constructor(events: number, input: Channel<RunInput>) {
		this.#available = events;
		this.#input = input;
	}

	/**
	 * Deducts events that were sent. The events of one turn of the event loop are sent together, so they may exceed
	 * the window by up to their number.
	 */
	spend(events: number): void {
		this.#available -= events;
	}

	/** Applies received credit and waits for more if none is left; false if the entry cancelled. */
	* hasCredit(): Body<boolean> {
		this.waitedMilliseconds = 0;
		while (this.#available <= 0) {
			const waitStartedAt = performance.now();
			const message = yield * receive(this.#input);
			this.waitedMilliseconds += performance.now() - waitStartedAt;
			if (!this.#applyMessage(message)) {
				return false;
			}
		}

		for (let message = tryReceive(this.#input); message !== undefined; message = tryReceive(this.#input)) {
			if (!this.#applyMessage(message)) {
				return false;
			}
		}

		return true;
	}

	/** Applies one message; false if the run is over: cancelled, or its input closed. */
	#applyMessage(message: RunInput | undefined): boolean {
		if (message === undefined || message.type === 'cancel') {
			return false;
		}

		if (message.type === 'credit') {
			this.#available += message.events;
		}

		return true;
	}
}
