/**
 * Number of steps in which a timeout passes. A call takes up to three turns of the event loop in which sockets are read: for its connection, its
 * response, and the rest of a long response.
 */
const steps = 4;

/**
 * A timeout on something that arrives through this process's sockets. It passes in steps, with a turn of the event loop in each, and a last
 * turn at its end. Timers run before the sockets are read: in a loop whose turn takes longer than the timeout, a single timer would
 * fire while the response waits in the kernel, and a busy process would take everything that it waits for as silent.
 */
export class Timeout implements Disposable {
	/** Calls back once, after at least `milliseconds`, with how many milliseconds later that is. */
	static start(milliseconds: number, onTimeout: (lateMilliseconds: number) => void): Timeout {
		return new Timeout(milliseconds, onTimeout);
	}

	readonly #startedAt = performance.now();
	readonly #milliseconds: number;
	readonly #onTimeout: (lateMilliseconds: number) => void;
	#timer: NodeJS.Timeout | undefined;

	private constructor(milliseconds: number, onTimeout: (lateMilliseconds: number) => void) {
		this.#milliseconds = milliseconds;
		this.#onTimeout = onTimeout;
		this.#schedule(1);
	}

	[Symbol.dispose](): void {
		clearTimeout(this.#timer);
	}

	#schedule(step: number): void {
		const at = this.#startedAt + (this.#milliseconds * step / steps);
		this.#timer = setTimeout(() => {
			if (step < steps) {
				this.#schedule(step + 1);
			} else {
				this.#awaitLastTurn();
			}
		}, Math.max(0, at - performance.now()));
	}

	/** What arrived while the last step passed is read before this timer fires. */
	#awaitLastTurn(): void {
		this.#timer = setTimeout(() => {
			this.#onTimeout(performance.now() - this.#startedAt - this.#milliseconds);
		}, 0);
	}
}
