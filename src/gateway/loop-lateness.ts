import {type ConnectionTimes, lagSampleMilliseconds, LoopLag} from '../policy/lateness/index.js';

/** What the settings say of a late loop; without them nothing is measured and nothing changes. */
export type LatenessSettings = {
	/** The lag of the event loop from which it counts as late. */
	readonly lateMilliseconds: number;
	/** Whether requests are begun by urgency then, and given to other instances; so it is where this is absent. */
	readonly givesAway?: boolean | undefined;
};

/** What the lateness of the loop led to since the previous call; empty if nothing is measured. */
export type LatenessActivity = {readonly longestLag?: number; readonly lateArrivals?: number; readonly givenAway?: number};

/** Measures how late this process's event loop is, by a timer. */
export class LoopLateness implements Disposable {
	static create(settings: LatenessSettings | undefined): LoopLateness {
		return new LoopLateness(settings);
	}

	/** Whether a late instance gives requests to other ones. */
	readonly givesAway: boolean;
	#lag: LoopLag | undefined;
	#timer: NodeJS.Timeout | undefined;
	#longestLag = 0;
	#lateArrivals = 0;
	#refusals = 0;
	readonly #connections = new WeakMap<WeakKey, ConnectionTimes>();

	private constructor(settings: LatenessSettings | undefined) {
		this.givesAway = settings !== undefined && (settings.givesAway ?? true);
		if (settings === undefined) {
			return;
		}

		this.#lag = LoopLag.create(settings.lateMilliseconds, performance.now());
		this.#armTimer();
	}

	[Symbol.dispose](): void {
		clearTimeout(this.#timer);
	}

	get isMeasured(): boolean {
		return this.#lag !== undefined;
	}

	/** The lag of the event loop; 0 while it is in time. */
	get milliseconds(): number {
		return this.#lag?.millisecondsAt(performance.now()) ?? 0;
	}

	/** The longest lag of the last seconds; 0 while the loop was in time. */
	get longestMilliseconds(): number {
		return this.#lag?.longestMillisecondsAt(performance.now()) ?? 0;
	}

	/** The lag of the event loop for the order of its intake; 0 while it is in time, or where that order is not wanted. */
	get intakeMilliseconds(): number {
		return this.givesAway ? this.milliseconds : 0;
	}

	/** The earliest moment at which what is read now can have arrived. */
	get earliestArrival(): number {
		const now = performance.now();
		return this.#lag?.arrivalOf(now) ?? now;
	}

	/** Records that a connection was accepted, and when it can have been opened at the earliest. */
	recordConnection(socket: WeakKey, openedAt: number): void {
		const now = performance.now();
		if (openedAt < now) {
			this.#connections.set(socket, {acceptedAt: now, openedAt});
		}
	}

	/** When a request that is read now arrived, at the earliest. */
	arrivalOf(socket: WeakKey): number {
		const now = performance.now();
		if (this.#lag === undefined) {
			return now;
		}

		const times = this.#connections.get(socket);
		this.#connections.delete(socket);
		const arrivedAt = times === undefined ? this.#lag.arrivalOf(now) : this.#lag.firstArrivalOf(times, now);
		this.#lateArrivals += arrivedAt < now ? 1 : 0;
		return arrivedAt;
	}

	/** Records that a request was refused because of the lag. */
	recordRefusal(): void {
		this.#refusals += 1;
	}

	/** Statistics since the previous call. */
	takeActivity(): LatenessActivity {
		if (this.#lag === undefined) {
			return {};
		}

		const activity = {longestLag: Math.round(this.#longestLag), lateArrivals: this.#lateArrivals, givenAway: this.#refusals};
		this.#longestLag = 0;
		this.#lateArrivals = 0;
		this.#refusals = 0;
		return activity;
	}

	#armTimer(): void {
		this.#timer = setTimeout(() => {
			this.#lag = this.#lag?.tick(performance.now());
			this.#longestLag = Math.max(this.#longestLag, this.milliseconds);
			setImmediate(() => {
				this.#lag = this.#lag?.read();
			});
			this.#armTimer();
		}, lagSampleMilliseconds);
	}
}
