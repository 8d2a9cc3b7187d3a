import {type Body, sleep, spawn, wait} from '../concurrency/index.js';
import {type PartLogger} from '../telemetry/index.js';
import {type ReadingPause} from './reading-pause.js';
import {type Feed, type FeedPage} from './types.js';

export type FeedFollowerOptions<Item> = {
	readonly feed: Feed<Item>;
	readonly logger: PartLogger;
	/** How long one reading may wait for the first change; 0 reads what is there. */
	readonly waitMilliseconds: number;
	/** From the end of one reading to the start of the next, after so many readings. */
	readonly pauseMilliseconds: (pause: ReadingPause) => number;
	/** Everything, when `isWhole`; else changes in their order. */
	readonly onItems: (items: readonly Item[], isWhole: boolean) => void;
};

/** After a failure: soon, since a lost reading costs little, then at a pace that a busy store bears. */
const firstRetryMilliseconds = 100;
const longestRetryMilliseconds = 1500;

/** A longer pause is looked at again so often: the shortest pause among several instances. */
const lookMilliseconds = 1400;

/**
 * Keeps up with one feed for as long as the process lives. Failures: history dropped under us, a store
 * that is down, slow, refuses this instance or answers from an older state. Each of them ends in a
 * reading of the newest values, and what was believed before stands until then.
 */
export class FeedFollower<Item> implements AsyncDisposable {
	static start<Item>(options: FeedFollowerOptions<Item>): FeedFollower<Item> {
		const follower = new FeedFollower(options);
		void spawn(`feed ${options.feed.name}`, () => follower.#run());
		return follower;
	}

	readonly #options: FeedFollowerOptions<Item>;
	#next: number | undefined;
	#failures = 0;
	#readings = 0;
	#isStopped = false;
	#lastReadAt = -Infinity;

	private constructor(options: FeedFollowerOptions<Item>) {
		this.#options = options;
	}

	/** Milliseconds since the store last answered. */
	age(now: number): number {
		return now - this.#lastReadAt;
	}

	get isConnected(): boolean {
		return this.#failures === 0 && this.#next !== undefined;
	}

	async [Symbol.asyncDispose](): Promise<void> {
		this.#isStopped = true;
	}

	* #run(): Body<void> {
		while (!this.#isStopped) {
			try {
				yield * this.#readOnce();
				this.#regained();
			} catch (error) {
				yield * this.#failed(error);
			}
		}
	}

	* #readOnce(): Body<void> {
		const {feed, waitMilliseconds} = this.#options;
		if (this.#next === undefined) {
			this.#take(yield * wait(feed.readNewest()), true);
		} else {
			const page = yield * wait(feed.readChanges(this.#next, waitMilliseconds));
			if (page === undefined) {
				this.#options.logger.warn('History is gone, reading the newest values.', {feed: feed.name, from: this.#next});
				this.#next = undefined;
				return;
			}

			this.#take(page, false);
		}

		this.#readings += 1;
		yield * this.#pause();
	}

	/** What the pause depends on may change while it lasts. */
	* #pause(): Body<void> {
		const {pauseMilliseconds} = this.#options;
		const from = performance.now();
		const pause = {readings: this.#readings, draw: Math.random()};
		for (;;) {
			const left = pauseMilliseconds(pause) - (performance.now() - from);
			if (left <= 0 || this.#isStopped) {
				return;
			}

			yield * sleep(Math.min(left, lookMilliseconds));
		}
	}

	#take({items, next}: FeedPage<Item>, isWhole: boolean): void {
		this.#lastReadAt = performance.now();
		if (this.#isStopped) {
			return;
		}

		if (items.length > 0 || isWhole) {
			this.#options.onItems(items, isWhole);
		}

		this.#next = next;
	}

	#regained(): void {
		if (this.#failures > 0) {
			this.#options.logger.info('Store regained.', {feed: this.#options.feed.name, failures: this.#failures});
		}

		this.#failures = 0;
	}

	* #failed(error: unknown): Body<void> {
		this.#failures += 1;
		if (this.#failures === 1) {
			this.#options.logger.warn('Store lost.', {feed: this.#options.feed.name, reason: String(error), offset: this.#next});
		}

		yield * sleep(Math.min(longestRetryMilliseconds, firstRetryMilliseconds * (2 ** (this.#failures - 1))));
	}
}
