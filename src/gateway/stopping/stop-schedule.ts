import {lastStartAt, longestRunTime, recordRunTime, type RunTimes, type StopTimes} from '../../policy/stopping/index.js';
import {type Route, RouteKind} from '../../routing/index.js';

/** One request's place in the schedule. */
export type ScheduledRequest = {
	readonly route: Route;
	/** When its caller's deadline or its route's timeout ends it. */
	readonly deadlineAt: number;
	/** When it had arrived whole; infinite while its body is awaited, absent for one that was begun. */
	readonly wholeAt?: number;
};

/** By when an instance that stops has answered every request, and until when it begins one. */
export class StopSchedule {
	static create(): StopSchedule {
		return new StopSchedule();
	}

	#times: StopTimes = {endsAt: Infinity, lastStreamAt: Infinity};
	readonly #listeners = new Set<() => void>();
	readonly #runTimes: RunTimes = new Map();

	private constructor() {
		// Created by `create` alone.
	}

	/** When every request has its final response; infinite until the instance stops. Milliseconds of the monotonic clock. */
	get endsAt(): number {
		return this.#times.endsAt;
	}

	/** Starts the stop, and tells all requests that wait. */
	begin(times: StopTimes): void {
		this.#times = times;
		for (const listener of this.#listeners) {
			listener();
		}
	}

	/** Calls the listener when the stop begins, unless it is disposed before. */
	onBegin(listener: () => void): Disposable {
		this.#listeners.add(listener);
		return {
			[Symbol.dispose]: () => {
				this.#listeners.delete(listener);
			},
		};
	}

	/** Records how long a request took, from its sending to the end of its response. */
	recordRun(route: Route, milliseconds: number): void {
		recordRunTime(this.#runTimes, route, milliseconds);
	}

	/** The last moment at which a request may be begun; infinite while the instance does not stop. */
	lastStartAt({route: {name, kind, timeoutMilliseconds}, deadlineAt, wholeAt}: ScheduledRequest): number {
		const streamWholeAt = kind === RouteKind.stream ? wholeAt : undefined;
		return lastStartAt({deadlineAt, timeoutMilliseconds, longestMilliseconds: longestRunTime(this.#runTimes, name), streamWholeAt}, this.#times);
	}

	/**
	 * Waits for what a request needs before it can be begun; resolves to undefined at the last moment at which it could be. What it waits for is not
	 * ended.
	 */
	async beforeLastStart<Result>(request: ScheduledRequest, work: Promise<Result>): Promise<Result | undefined> {
		let timer: NodeJS.Timeout | undefined;
		let setTimer: () => void = () => undefined;
		const late = new Promise<undefined>(resolve => {
			setTimer = () => {
				const lastAt = this.lastStartAt(request);
				timer = lastAt === Infinity
					? undefined
					: setTimeout(() => {
						resolve(undefined);
					}, lastAt - performance.now());
			};
		});
		using _listener = this.onBegin(() => {
			setTimer();
		});
		setTimer();
		try {
			return await Promise.race([work, late]);
		} finally {
			clearTimeout(timer);
		}
	}
}
