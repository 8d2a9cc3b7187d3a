/** A simulated processor. Its tasks take time and run one after the other. */
export type Processor = {freeAt: number};

type Timer = {at: number; readonly intervalMilliseconds: number | undefined; readonly order: number; readonly processor: Processor | undefined; readonly task: () => void};

/**
 * Replaces the timers and the monotonic clock of this process by virtual ones, until it is disposed. A timer set by a task of a
 * processor runs on that processor, and late if the processor is busy.
 */
export class VirtualTime implements Disposable {
	static install(): VirtualTime {
		return new VirtualTime();
	}

	#now = 1000;
	#order = 0;
	#processor: Processor | undefined;
	readonly #timers = new Map<number, Timer>();
	/** Binary heap of all timers, ordered by due time. */
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
			// Node's timers have a resolution of one millisecond: a shorter delay must not round to zero.
			setTimeout: (task: () => void, milliseconds = 0) => this.#add(task, {milliseconds: milliseconds > 0 ? Math.max(1, milliseconds) : 0, processor: this.#processor}),
			setInterval: (task: () => void, milliseconds = 1) => this.#add(task, {milliseconds, intervalMilliseconds: Math.max(1, milliseconds), processor: this.#processor}),
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

	/** Runs all timers that are due within this time, in order. */
	runFor(milliseconds: number): void {
		this.#runUntil(this.#now + milliseconds);
	}

	/** Like `runFor`, for code that continues by promises and channels: what a timer triggers completes before the next timer runs. */
	async settleFor(milliseconds: number): Promise<void> {
		const end = this.#now + milliseconds;
		await settled();
		for (let next = this.#next(); next !== undefined && next.at <= end; next = this.#next()) {
			this.#runUntil(next.at);
			await settled();
		}

		this.#runUntil(end);
	}

	/** Runs a task on a processor as soon as the processor is free. */
	runOnProcessor(processor: Processor, task: () => void): void {
		this.#add(task, {milliseconds: 0, processor});
	}

	/** Runs a task now that belongs to no processor, even if a processor's task calls this. */
	runOffProcessor(task: () => void): void {
		this.#add(task, {milliseconds: 0, processor: undefined});
	}

	/** Advances the clock by the time that the running task takes. */
	spend(milliseconds: number): void {
		this.#now += milliseconds;
	}

	/** Runs a task after a delay, on the current processor if there is one. */
	after(milliseconds: number, task: () => void): void {
		this.#add(task, {milliseconds, processor: this.#processor});
	}

	#runUntil(end: number): void {
		for (let next = this.#next(); next !== undefined && next.at <= end; next = this.#next()) {
			this.#pop();
			const {processor, intervalMilliseconds} = next;
			if (processor !== undefined && processor.freeAt > next.at) {
				next.at = processor.freeAt;
				this.#push(next);
				continue;
			}

			this.#now = next.at;
			if (intervalMilliseconds === undefined) {
				this.#timers.delete(next.order);
			}

			this.#run(next);
			if (intervalMilliseconds !== undefined) {
				next.at = Math.max(next.at, processor?.freeAt ?? 0) + intervalMilliseconds;
				this.#push(next);
			}
		}

		this.#now = end;
	}

	/** Runs a timer. A processor's timer then resets the clock, since time spent on one processor does not pass on the others. */
	#run({processor, task}: Timer): void {
		const before = this.#now;
		this.#processor = processor;
		task();
		this.#processor = undefined;
		if (processor !== undefined) {
			processor.freeAt = this.#now;
			this.#now = before;
		}
	}

	#add(task: () => void, {milliseconds, intervalMilliseconds, processor}: {milliseconds: number; intervalMilliseconds?: number; processor: Processor | undefined}): number {
		this.#order += 1;
		const timer = {at: this.#now + Math.max(0, milliseconds), intervalMilliseconds, order: this.#order, processor, task};
		this.#timers.set(this.#order, timer);
		this.#push(timer);
		return this.#order;
	}

	/** Returns the next timer that is due, and removes cleared ones from the heap. */
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

/** Turns of the event loop until a chain of promises and channels has settled. */
const settleTurns = 4;

async function settled(): Promise<void> {
	for (let turn = 0; turn < settleTurns; turn++) {
		await new Promise<void>(resolve => {
			setImmediate(resolve);
		});
	}
}

function isBefore(left: Timer, right: Timer): boolean {
	return left.at === right.at ? left.order < right.order : left.at < right.at;
}
