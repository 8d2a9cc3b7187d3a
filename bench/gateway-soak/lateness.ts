/** How late the bench itself is. */
const samplePauseMilliseconds = 20;

/** How late the bench's own event loop was: what it sees as late may have come in time. */
export class Lateness implements Disposable {
	static create(): Lateness {
		return new Lateness();
	}

	readonly #samples: Array<{readonly at: number; readonly milliseconds: number}> = [];
	#lastAt = performance.now();
	readonly #timer = setInterval(() => {
		const at = performance.now();
		this.#samples.push({at, milliseconds: Math.max(0, at - this.#lastAt - samplePauseMilliseconds)});
		this.#lastAt = at;
	}, samplePauseMilliseconds);

	private constructor() {
		this.#timer.unref();
	}

	/** The largest lateness of a span, or of the first sample after it. */
	between(from: number, until: number): number {
		const next = this.#samples.find(({at}) => at >= until);
		return Math.max(next?.milliseconds ?? 0, ...this.#samples.filter(({at}) => at >= from && at < until).map(({milliseconds}) => milliseconds));
	}

	/** All lateness of a span, with that of the first sample after it. */
	totalBetween(from: number, until: number): number {
		const next = this.#samples.find(({at}) => at >= until);
		return this.#samples.filter(({at}) => at >= from && at < until).reduce((sum, {milliseconds}) => sum + milliseconds, next?.milliseconds ?? 0);
	}

	[Symbol.dispose](): void {
		clearInterval(this.#timer);
	}
}
