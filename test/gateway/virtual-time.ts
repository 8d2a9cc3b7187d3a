/** A processor of its own: what it runs takes time, in which nothing else of it runs. */
export type Processor = {freeAt: number};

type Timer = {at: number; readonly every: number | undefined; readonly order: number; readonly processor: Processor | undefined; readonly act: () => void};

/**
 * Timers and the monotonic clock of this process, moved by hand. Real time comes back when it is disposed. Whatever is timed
 * by code of a processor belongs to it, and comes late while that is busy.
 */
export class VirtualTime implements Disposable {
	static install(): VirtualTime {
		return new VirtualTime();
	}

	#now = 1000;
	#order = 0;
	#processor: Processor | undefined;
	readonly #timers = new Map<number, Timer>();
	/** All timers, the first due at the root. */
	readonly #heap: Timer[] = [];
	readonly #real = {
		setTimeout: globalThis.setTimeout, clearTimeout: globalThis.clearTimeout, setInterval: globalThis.setInterval, clearInterval: globalThis.clearInterval,
	};

	private constructor() {
		Object.defineProperty(performance, 'now', {configurable: true, value: () => this.#now});
		const clear = (timer: unknown): void => {
			this.#timers.delete(timer as number);
		};

		Object.assign(globalThis, {
			// As Node's, which knows no part of a millisecond: a wait for the rest of one would come to nothing by rounding.
			setTimeout: (act: () => void, milliseconds = 0) => this.#add(act, {milliseconds: milliseconds > 0 ? Math.max(1, milliseconds) : 0, processor: this.#processor}),
			setInterval: (act: () => void, milliseconds = 1) => this.#add(act, {milliseconds, every: Math.max(1, milliseconds), processor: this.#processor}),
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
		this.#runUntil(this.#now + milliseconds);
	}

	/** As `runFor`, for code that goes on by promises and channels: whatever a timer has set off is done before the next one is due. */
	async settleFor(milliseconds: number): Promise<void> {
		const end = this.#now + milliseconds;
		await settled();
		for (let next = this.#next(); next !== undefined && next.at <= end; next = this.#next()) {
			this.#runUntil(next.at);
			await settled();
		}

		this.#runUntil(end);
	}

	/** Acts on a processor, as soon as that is free. */
	on(processor: Processor, act: () => void): void {
		this.#add(act, {milliseconds: 0, processor});
	}

	/** Acts now on no processor, whoever asks. */
	outside(act: () => void): void {
		this.#add(act, {milliseconds: 0, processor: undefined});
	}

	/** What runs now takes so long. */
	spend(milliseconds: number): void {
		this.#now += milliseconds;
	}

	/** Acts after so long. */
	after(milliseconds: number, act: () => void): void {
		this.#add(act, {milliseconds, processor: this.#processor});
	}

	#runUntil(end: number): void {
		for (let next = this.#next(); next !== undefined && next.at <= end; next = this.#next()) {
			this.#pop();
			const {processor, every} = next;
			if (processor !== undefined && processor.freeAt > next.at) {
				next.at = processor.freeAt;
				this.#push(next);
				continue;
			}

			this.#now = next.at;
			if (every === undefined) {
				this.#timers.delete(next.order);
			}

			this.#run(next);
			if (every !== undefined) {
				next.at = Math.max(next.at, processor?.freeAt ?? 0) + every;
				this.#push(next);
			}
		}

		this.#now = end;
	}

	/** Runs a timer; the clock goes back to where it was for the other processors. */
	#run({processor, act}: Timer): void {
		const before = this.#now;
		this.#processor = processor;
		act();
		this.#processor = undefined;
		if (processor !== undefined) {
			processor.freeAt = this.#now;
			this.#now = before;
		}
	}

	#add(act: () => void, {milliseconds, every, processor}: {milliseconds: number; every?: number; processor: Processor | undefined}): number {
		this.#order += 1;
		const timer = {at: this.#now + Math.max(0, milliseconds), every, order: this.#order, processor, act};
		this.#timers.set(this.#order, timer);
		this.#push(timer);
		return this.#order;
	}

	/** The first timer that is due; those that were cleared are passed over. */
	#next(): Timer | undefined {
		for (let first = this.#heap[0]; first !== undefined; first = this.#heap[0]) {
			if (this.#timers.get(first.order) === first) {
				return first;
			}

			this.#pop();
		}

		return undefined;
	}

	#push(timer: Timer): void {
		const heap = this.#heap;
		let index = heap.push(timer) - 1;
		for (let parent = (index - 1) >> 1; index > 0 && isBefore(timer, heap[parent]!); parent = (index - 1) >> 1) { // eslint-disable-line no-bitwise
			heap[index] = heap[parent]!;
			index = parent;
		}

		heap[index] = timer;
	}

	#pop(): void {
		const heap = this.#heap;
		const last = heap.pop();
		if (last === undefined || heap.length === 0) {
			return;
		}

		let index = 0;
		for (let child = 1; child < heap.length; child = (2 * index) + 1) {
			child += child + 1 < heap.length && isBefore(heap[child + 1]!, heap[child]!) ? 1 : 0;
			if (!isBefore(heap[child]!, last)) {
				break;
			}

			heap[index] = heap[child]!;
			index = child;
		}

		heap[index] = last;
	}
}

/** Turns of the loop in which promises and channels pass on what they hold; a chain of them takes a few. */
const turns = 4;

async function settled(): Promise<void> {
	for (let turn = 0; turn < turns; turn++) {
		await new Promise<void>(resolve => {
			setImmediate(resolve);
		});
	}
}

function isBefore(left: Timer, right: Timer): boolean {
	return left.at === right.at ? left.order < right.order : left.at < right.at;
}
