type Timer = {at: number; readonly every: number | undefined; readonly order: number; readonly act: () => void};

/** Timers and the monotonic clock of this process, moved by hand. Real time comes back when it is disposed. */
export class VirtualTime implements Disposable {
	static install(): VirtualTime {
		return new VirtualTime();
	}

	#now = 1000;
	#order = 0;
	readonly #timers = new Map<number, Timer>();
	readonly #real = {
		setTimeout: globalThis.setTimeout, clearTimeout: globalThis.clearTimeout, setInterval: globalThis.setInterval, clearInterval: globalThis.clearInterval,
	};

	private constructor() {
		Object.defineProperty(performance, 'now', {configurable: true, value: () => this.#now});
		const clear = (timer: unknown): void => {
			this.#timers.delete(timer as number);
		};

		Object.assign(globalThis, {
			setTimeout: (act: () => void, milliseconds = 0) => this.#add(act, milliseconds, undefined),
			setInterval: (act: () => void, milliseconds = 1) => this.#add(act, milliseconds, Math.max(1, milliseconds)),
			clearTimeout: clear,
			clearInterval: clear,
		});
	}

	get now(): number {
		return this.#now;
	}

	[Symbol.dispose](): void {
		Object.assign(globalThis, this.#real);
		Reflect.deleteProperty(performance, 'now');
	}

	/** Runs all timers that are due until then, in their order. */
	runFor(milliseconds: number): void {
		const end = this.#now + milliseconds;
		for (let next = this.#next(); next !== undefined && next[1].at <= end; next = this.#next()) {
			const [id, timer] = next;
			this.#now = Math.max(this.#now, timer.at);
			if (timer.every === undefined) {
				this.#timers.delete(id);
			} else {
				timer.at = this.#now + timer.every;
			}

			timer.act();
		}

		this.#now = end;
	}

	/** Acts after so long. */
	after(milliseconds: number, act: () => void): void {
		this.#add(act, milliseconds, undefined);
	}

	#add(act: () => void, milliseconds: number, every: number | undefined): number {
		this.#order += 1;
		this.#timers.set(this.#order, {at: this.#now + Math.max(0, milliseconds), every, order: this.#order, act});
		return this.#order;
	}

	#next(): [number, Timer] | undefined {
		let first: [number, Timer] | undefined;
		for (const [id, timer] of this.#timers) {
			if (first === undefined || timer.at < first[1].at || (timer.at === first[1].at && timer.order < first[1].order)) {
				first = [id, timer];
			}
		}

		return first;
	}
}
