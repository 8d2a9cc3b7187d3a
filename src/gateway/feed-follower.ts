import {type Body, channel, receiveWithin, sleep, spawn, tryDeliver, tryReceive, wait} from '../concurrency/index.js';
import {type LogPosition} from '../model/index.js';
import {type LongPoll, type PollPosition, pollRetryDelay} from '../policy/sharing/index.js';
import {type PartLogger} from '../telemetry/index.js';
import {type Feed, type FeedPage, type FeedReading} from './types.js';

/** Two eras of the store, as one feed has met them. */
export type EraChange = {readonly feed: string; readonly before: LogPosition; readonly after: LogPosition};

export type FeedFollowerOptions<Item> = {
	readonly feed: Feed<Item>;
	readonly logger: PartLogger;
	readonly random: () => number;
	/** Instances that read too and tell this one. */
	readonly others: () => number;
	/** What is read is to be known at every instance within this. */
	readonly applyMilliseconds: number;
	/** How long one reading may wait for the first change; 0 reads what is there. */
	readonly waitMilliseconds: (reading: LongPoll) => number;
	/** From the end of one reading to the start of the next, after so many readings. */
	readonly pauseMilliseconds: (pause: PollPosition) => number;
	/** Changes in their order. */
	readonly onChanges: (items: readonly Item[]) => void;
	/** Everything that the store names, read in an era; returns how much of what it lacks is kept on trust. */
	readonly onWhole: (items: readonly Item[], era: number) => number;
	/** The store answered a call with nothing, or with nothing of use: it may do so with others too. */
	readonly onFailed: () => void;
	/** The store has come back from a copy, and everything was read anew. */
	readonly onEra: (change: EraChange) => void;
};

/** A longer pause is looked at again so often, since others may come and go meanwhile. */
const lookMilliseconds = 1400;

/** All instances notice a new era within moments, and each reads everything anew: spread over so long. */
const eraSpreadMilliseconds = 500;

/**
 * Keeps up with one feed for as long as the process lives. Failures: history dropped under us, a store
 * that is down, slow, refuses this instance, answers from an older state or comes back from a copy. Each of them ends in a
 * reading of the newest values, and what was believed before stands until then.
 */
export class FeedFollower<Item> implements AsyncDisposable {
	static start<Item>(options: FeedFollowerOptions<Item>): FeedFollower<Item> {
		const follower = new FeedFollower(options);
		void spawn(`feed ${options.feed.name}`, () => follower.#run());
		return follower;
	}

	readonly #options: FeedFollowerOptions<Item>;
	/** Where changes go on; undefined before everything was read. */
	#next: LogPosition | undefined;
	/** Where they went on before the store came back from a copy. */
	#lost: LogPosition | undefined;
	readonly #wake = channel<'look'>(1);
	/** The reading that waits for a change, if one does. */
	#waiting: AbortController | undefined;
	#isDoubted = false;
	#failures = 0;
	#readings = 0;
	/** Readings since the last change or failure. */
	#calmReadings = 0;
	#isStopped = false;
	#lastReadAt = -Infinity;

	private constructor(options: FeedFollowerOptions<Item>) {
		this.#options = options;
		options.feed.onEra(() => {
			this.look();
		});
	}

	/** Milliseconds since the store last answered. */
	millisecondsSinceRead(now: number): number {
		return now - this.#lastReadAt;
	}

	get isConnected(): boolean {
		return this.#failures === 0 && this.#next !== undefined;
	}

	/** Ends the pause: there may be something to read. */
	look(): void {
		tryDeliver(this.#wake, 'look');
	}

	/**
	 * Gives up a reading that waits for a change, and asks for what is there. Failure: the connection on which it waits went silent, or the
	 * store did. Symptom: nothing comes on it for as long as its wait lasts, though the store has been back for long.
	 */
	abortLongPoll(): void {
		if (this.#waiting !== undefined) {
			this.#options.logger.info('Waiting reading given up, asking the store at once.', {feed: this.#options.feed.name});
			this.#isDoubted = true;
			this.#waiting.abort();
			this.#waiting = undefined;
		}
	}

	async [Symbol.asyncDispose](): Promise<void> {
		this.#isStopped = true;
		this.#waiting?.abort();
		this.look();
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
		const {feed, logger} = this.#options;
		if (this.#next === undefined) {
			this.#takeWhole(yield * wait(feed.readSnapshot()));
			yield * this.#pause();
			return;
		}

		const reading = yield * this.#readChanges(this.#next);
		switch (reading.type) {
			case 'page': {
				this.#takeChanges(reading.page);
				yield * this.#pause();
				return;
			}

			case 'gone': {
				logger.warn('History is gone, reading the newest values.', {feed: feed.name, era: this.#next.era, from: this.#next.offset});
				this.#next = undefined;
				return;
			}

			case 'given-up': {
				return;
			}

			case 'new-era': {
				this.#lost = this.#next;
				this.#next = undefined;
				this.#readings = 0;
				yield * sleep(this.#options.random() * eraSpreadMilliseconds);
			}
		}
	}

	* #readChanges(from: LogPosition): Body<FeedReading<Item>> {
		const {feed, others, waitMilliseconds} = this.#options;
		const milliseconds = waitMilliseconds({others: others(), polls: this.#calmReadings, isStoreUnresponsive: this.#isDoubted});
		const reading = new AbortController();
		this.#waiting = milliseconds > 0 ? reading : undefined;
		try {
			return yield * wait(feed.readChanges(from, milliseconds, reading.signal));
		} finally {
			this.#waiting = undefined;
		}
	}

	/** What the pause depends on may change while it lasts. */
	* #pause(): Body<void> {
		this.#readings += 1;
		const {pauseMilliseconds, random} = this.#options;
		const from = performance.now();
		const pause = {polls: this.#readings, draw: random()};
		for (;;) {
			const left = pauseMilliseconds(pause) - (performance.now() - from);
			if (left <= 0 || this.#isStopped) {
				return;
			}

			const woken = yield * receiveWithin(this.#wake, Math.min(left, lookMilliseconds));
			if (woken.type === 'value') {
				return;
			}
		}
	}

	#takeChanges({items, next}: FeedPage<Item>): void {
		this.#noteRead();
		this.#calmReadings = items.length > 0 || this.#isDoubted ? 0 : this.#calmReadings + 1;
		this.#isDoubted = false;
		if (items.length > 0 && !this.#isStopped) {
			this.#options.onChanges(items);
		}

		this.#next = next;
	}

	#takeWhole({items, next}: FeedPage<Item>): void {
		this.#noteRead();
		this.#calmReadings = 0;
		this.#isDoubted = false;
		if (this.#isStopped) {
			return;
		}

		const onTrust = this.#options.onWhole(items, next.era);
		this.#next = next;
		if (this.#lost !== undefined) {
			this.#tellEra({feed: this.#options.feed.name, before: this.#lost, after: next}, onTrust);
			this.#lost = undefined;
		}
	}

	#tellEra(change: EraChange, onTrust: number): void {
		const {feed, before, after} = change;
		this.#options.logger.warn('The store came back from a copy.', {feed, eraBefore: before.era, era: after.era, offsetBefore: before.offset, offset: after.offset, onTrust});
		this.#options.onEra(change);
	}

	/** What the reading brings answers whatever asked for a look before it. */
	#noteRead(): void {
		this.#lastReadAt = performance.now();
		tryReceive(this.#wake);
	}

	#regained(): void {
		if (this.#failures > 0) {
			this.#options.logger.info('Store regained.', {feed: this.#options.feed.name, failures: this.#failures});
		}

		this.#failures = 0;
	}

	* #failed(error: unknown): Body<void> {
		this.#failures += 1;
		this.#isDoubted = true;
		if (this.#failures === 1) {
			this.#options.logger.warn('Store lost.', {feed: this.#options.feed.name, reason: String(error), era: this.#next?.era, offset: this.#next?.offset});
		}

		const {others, pauseMilliseconds, random, applyMilliseconds, onFailed} = this.#options;
		onFailed();
		const usual = pauseMilliseconds({polls: this.#readings, draw: random()});
		yield * sleep(pollRetryDelay({failures: this.#failures, others: others(), hasRead: this.#next !== undefined, pollIntervalMilliseconds: usual, applyMilliseconds}, random()));
	}
}
