import {endAt, type Lateness, nextLookAt, type TimeLimit} from '../../policy/lateness/index.js';
import {type Route} from '../../routing/index.js';
import {type RequestMetadata} from '../adapter/index.js';
import {type ExchangeOptions} from './exchange-options.js';

/** When a request's caller's deadline or its route's timeout ends it. Milliseconds of the monotonic clock. */
export function deadlineOf(arrivedAt: number, route: Route, facts: RequestMetadata): number {
	return arrivedAt + Math.min(route.timeoutMilliseconds, facts.deadlineMilliseconds ?? Infinity);
}

/** When a request is ended: by its caller's deadline, its route's timeout or the instance's stop, and in a late event loop before them, so that its final response leaves in time, if none has begun. */
export class RequestEnd {
	static create(options: ExchangeOptions): RequestEnd {
		return new RequestEnd(options);
	}

	readonly #options: ExchangeOptions;
	/** When its time is over if it arrived as early as it can have, and if it arrived when it was read. In between its caller's time ends. */
	readonly #deadline: {readonly earliestAt: number; readonly latestAt: number};

	private constructor(options: ExchangeOptions) {
		const {arrivedAt, readAt, route, facts} = options;
		this.#options = options;
		this.#deadline = {earliestAt: deadlineOf(arrivedAt, route, facts), latestAt: deadlineOf(readAt, route, facts)};
	}

	get #limit(): TimeLimit {
		const {arrivedAt, caller: {hasResponse}, stop} = this.#options;
		return {arrivedAt, ...this.#deadline, hasBegun: hasResponse, isStopping: stop.endsAt < Infinity};
	}

	get #lateness(): Lateness {
		const {milliseconds, longestMilliseconds} = this.#options.lateness;
		return {lagMilliseconds: milliseconds, longestMilliseconds};
	}

	/** When the request is ended. */
	get at(): number {
		return Math.min(this.#endAt, this.#options.stop.endsAt);
	}

	get #endAt(): number {
		return endAt(this.#limit, this.#lateness);
	}

	/** When the request is ended if its answer has begun by then: so long may an endpoint work on a stream. */
	get onceBegunAt(): number {
		return Math.min(this.#deadline.latestAt, this.#options.stop.endsAt);
	}

	/** Whether the instance's stop, and neither its deadline nor its route's timeout, has ended the request. */
	get isStopped(): boolean {
		const {stop} = this.#options;
		return performance.now() >= stop.endsAt && stop.endsAt < this.#endAt;
	}

	/** Whether its caller's deadline or its route's timeout ends it. */
	get limitedBy(): 'deadline' | 'timeout' {
		const {route, facts} = this.#options;
		return (facts.deadlineMilliseconds ?? Infinity) < route.timeoutMilliseconds ? 'deadline' : 'timeout';
	}

	/** How much of its time the request has left. */
	get leftMilliseconds(): number {
		return this.#deadlineAt - performance.now();
	}

	/**
	 * The last moment at which the request may be sent to an endpoint; infinite while the instance does not stop. One whose answer has begun cannot go to
	 * another instance: it is tried until the end, however long others of its route have taken.
	 */
	get lastStartAt(): number {
		const {route, stop, caller} = this.#options;
		return caller.hasResponse ? stop.endsAt : stop.lastStartAt({route, deadlineAt: this.#deadline.latestAt});
	}

	/** When to look whether the request is ended. */
	get nextLookAt(): number {
		const {lateness: {isMeasured}, stop} = this.#options;
		const lookAt = isMeasured ? nextLookAt(this.#limit, this.#lateness, performance.now()) : this.#deadlineAt;
		return Math.min(lookAt, stop.endsAt);
	}

	/** An answer that has begun may go on until its time is over for certain. */
	get #deadlineAt(): number {
		return this.#options.caller.hasResponse ? this.#deadline.latestAt : this.#deadline.earliestAt;
	}
}
