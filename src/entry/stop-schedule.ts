import {type RequestSummary} from '../model/index.js';
import {lastStartAt, longestRunTime, recordRunTime, type RunTimes, type StopTimes} from '../policy/stopping/index.js';

/** No route of an entry has a timeout: so long a request may take as far as an instance knows that has seen none of its kind end. */
const unknownRunMilliseconds = 20_000;

/** The kind of a request, by which its run time is known, and when it had arrived whole, if its answer is streamed. */
export type ScheduledRequest = {readonly summary: RequestSummary; readonly streamWholeAt?: number | undefined};

/** Until when an entry that stops begins a request, by how long those of its kind take. */
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

	/** When what still runs is cut off at the earliest; infinite until the instance stops. Milliseconds of the monotonic clock. */
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

	/** Records how long a request took, from its sending to the end of its answer. */
	recordRun(summary: RequestSummary, milliseconds: number): void {
		recordRunTime(this.#runTimes, {name: kindOf(summary), timeoutMilliseconds: unknownRunMilliseconds}, milliseconds);
	}

	/** The last moment at which a request may be begun; infinite while the instance does not stop. */
	lastStartAt({summary, streamWholeAt}: ScheduledRequest): number {
		if (this.#times.endsAt === Infinity) {
			return Infinity;
		}

		return lastStartAt({
			deadlineAt: Infinity, timeoutMilliseconds: unknownRunMilliseconds, longestMilliseconds: longestRunTime(this.#runTimes, kindOf(summary)), streamWholeAt,
		}, this.#times);
	}
}

function kindOf({target, className}: RequestSummary): string {
	return `${target} ${className}`;
}
