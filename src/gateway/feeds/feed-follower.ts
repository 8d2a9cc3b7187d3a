import {type Body, channel, receiveWithin, sleep, spawn, tryDeliver, tryReceive, wait} from '../../concurrency/index.js';
import {type LogPosition} from '../../model/index.js';
import {type LongPoll, type PollPosition, pollRetryDelay} from '../../policy/sharing/index.js';
import {type PartLogger} from '../../telemetry/index.js';
import {type Feed, type FeedPage, type FeedReadResult} from '../adapter/index.js';

/**
 * A change of the store's era as seen by one feed. The era is the generation number of the store's log and rises when the
 * store is restored from a backup.
 */
export type EraChange = {readonly feed: string; readonly before: LogPosition; readonly after: LogPosition};

export type FeedFollowerOptions<Item> = {
	readonly feed: Feed<Item>;
	readonly logger: PartLogger;
	readonly random: () => number;
	/** Number of other instances that poll the store and notify this one. */
	readonly otherInstances: () => number;
	/** Time within which a change must be known at every instance. */
	readonly applyMilliseconds: number;
	/** How long a read may wait at the store for the first change; 0 returns what is there. */
	readonly waitMilliseconds: (longPoll: LongPoll) => number;
	/** Time from the end of one read to the start of the next; depends on the number of reads so far. */
	readonly pauseMilliseconds: (position: PollPosition) => number;
	/** Called with changes in their order. */
	readonly onChanges: (items: readonly Item[]) => void;
	/** Called with a snapshot and its era; returns how many entries that it lacks are kept as unconfirmed. */
	readonly onSnapshot: (items: readonly Item[], era: number) => number;
	/** Called when a call got no response or an unusable one; other calls to the store may be affected too. */
	readonly onFailed: () => void;
	/** Called when a snapshot has been read after the store was restored from a backup. */
	readonly onEra: (change: EraChange) => void;
};

/** During a longer pause its length is computed again at this interval, since the number of instances may change meanwhile. */
const pauseCheckMilliseconds = 1400;

/** All instances notice a new era within moments and read a snapshot; their reads are spread over this time. */
const eraSpreadMilliseconds = 500;

/**
 * Follows one feed for the lifetime of the process. It handles history that the store no longer retains, and a store that is
 * down, slow, refuses this instance, responds from an older state or was restored from a backup: each case ends with a new
 * snapshot, and the previous state stays in force until then.
 */
export class FeedFollower<Item> implements AsyncDisposable {
	static start<Item>(options: FeedFollowerOptions<Item>): FeedFollower<Item> {
		const follower = new FeedFollower(options);
		void spawn(`feed ${options.feed.name}`, () => follower.#run());
		return follower;
	}

	readonly #options: FeedFollowerOptions<Item>;
	/** Position of the next changes; undefined until a snapshot was read. */
	#next: LogPosition | undefined;
	/** Position before the store was restored from a backup. */
	#positionBeforeRestore: LogPosition | undefined;
	readonly #wake = channel<'wake'>(1);
	/** Aborts the long poll that is in progress, if any. */
	#longPoll: AbortController | undefined;
	#isStoreUnresponsive = false;
	#failures = 0;
	#polls = 0;
	/** Reads since the last change or failure. */
	#quietPolls = 0;
	#isStopped = false;
	#lastReadAt = -Infinity;
	/** When the read that is in progress began, or the last one. */
	#readStartedAt = -Infinity;
	/** Calls of `readAgain` that wait for a read. */
	readonly #awaiting = new Set<{readonly since: number; readonly resolve: () => void}>();

	private constructor(options: FeedFollowerOptions<Item>) {
		this.#options = options;
		options.feed.onEra(() => {
			this.pollNow();
		});
	}

	/** Milliseconds since the last response of the store. */
	millisecondsSinceRead(now: number): number {
		return now - this.#lastReadAt;
	}

	get isConnected(): boolean {
		return this.#failures === 0 && this.#next !== undefined;
	}

	/** Ends the pause and reads again. */
	pollNow(): void {
		tryDeliver(this.#wake, 'wake');
	}

	/** Reads again; resolves once a read that began after this call has ended, or to false if none has within the time. */
	async readAgain(milliseconds: number): Promise<boolean> {
		return new Promise(resolve => {
			const timer = setTimeout(() => {
				this.#awaiting.delete(awaited);
				resolve(false);
			}, milliseconds);
			const awaited = {
				since: performance.now(),
				resolve() {
					clearTimeout(timer);
					resolve(true);
				},
			};
			this.#awaiting.add(awaited);
			this.pollNow();
		});
	}

	/**
	 * Aborts a long poll and reads what is there. Without this, a long poll on a connection that delivers nothing any more, or at a
	 * store that stopped responding, would return nothing until its wait is over, long after the store has recovered.
	 */
	abortLongPoll(): void {
		if (this.#longPoll !== undefined) {
			this.#options.logger.info('Long poll aborted, reading from the store at once.', {feed: this.#options.feed.name});
			this.#isStoreUnresponsive = true;
			this.#longPoll.abort();
			this.#longPoll = undefined;
		}
	}

	async [Symbol.asyncDispose](): Promise<void> {
		this.#isStopped = true;
		this.#longPoll?.abort();
		this.pollNow();
	}

	* #run(): Body<void> {
		while (!this.#isStopped) {
			try {
				yield * this.#pollOnce();
				this.#recordSuccess();
			} catch (error) {
				yield * this.#handleFailure(error);
			}
		}
	}

	* #pollOnce(): Body<void> {
		const {feed, logger} = this.#options;
		this.#readStartedAt = performance.now();
		if (this.#next === undefined) {
			this.#applySnapshot(yield * wait(feed.readSnapshot()));
			yield * this.#pause();
			return;
		}

		const reading = yield * this.#readChanges(this.#next);
		switch (reading.type) {
			case 'page': {
				this.#applyChanges(reading.page);
				yield * this.#pause();
				return;
			}

			case 'gone': {
				logger.warn('History is no longer retained, reading a snapshot.', {feed: feed.name, era: this.#next.era, from: this.#next.offset});
				this.#next = undefined;
				return;
			}

			case 'given-up': {
				return;
			}

			case 'new-era': {
				this.#positionBeforeRestore = this.#next;
				this.#next = undefined;
				this.#polls = 0;
				yield * sleep(this.#options.random() * eraSpreadMilliseconds);
			}
		}
	}

	* #readChanges(from: LogPosition): Body<FeedReadResult<Item>> {
		const {feed, otherInstances, waitMilliseconds} = this.#options;
		const milliseconds = waitMilliseconds({others: otherInstances(), polls: this.#quietPolls, isStoreUnresponsive: this.#isStoreUnresponsive});
		const controller = new AbortController();
		this.#longPoll = milliseconds > 0 ? controller : undefined;
		try {
			return yield * wait(feed.readChanges(from, milliseconds, controller.signal));
		} finally {
			this.#longPoll = undefined;
		}
	}

	/** Waits before the next read. The length of the pause may change while it lasts. */
	* #pause(): Body<void> {
		this.#polls += 1;
		const {pauseMilliseconds, random} = this.#options;
		const from = performance.now();
		const pause = {polls: this.#polls, draw: random()};
		for (;;) {
			const remaining = pauseMilliseconds(pause) - (performance.now() - from);
			if (remaining <= 0 || this.#isStopped) {
				return;
			}

			const woken = yield * receiveWithin(this.#wake, Math.min(remaining, pauseCheckMilliseconds));
			if (woken.type === 'value') {
				return;
			}
		}
	}

	#applyChanges({items, next}: FeedPage<Item>): void {
		this.#recordRead();
		this.#quietPolls = items.length > 0 || this.#isStoreUnresponsive ? 0 : this.#quietPolls + 1;
		this.#isStoreUnresponsive = false;
		if (items.length > 0 && !this.#isStopped) {
			this.#options.onChanges(items);
		}

		this.#next = next;
		this.#resolveAwaiting();
	}

	#applySnapshot({items, next}: FeedPage<Item>): void {
		this.#recordRead();
		this.#quietPolls = 0;
		this.#isStoreUnresponsive = false;
		if (this.#isStopped) {
			return;
		}

		const unconfirmed = this.#options.onSnapshot(items, next.era);
		this.#next = next;
		this.#resolveAwaiting();
		if (this.#positionBeforeRestore !== undefined) {
			this.#reportEra({feed: this.#options.feed.name, before: this.#positionBeforeRestore, after: next}, unconfirmed);
			this.#positionBeforeRestore = undefined;
		}
	}

	#reportEra(change: EraChange, unconfirmed: number): void {
		const {feed, before, after} = change;
		this.#options.logger.warn('The store was restored from a backup.', {feed, eraBefore: before.era, era: after.era, offsetBefore: before.offset, offset: after.offset, onTrust: unconfirmed});
		this.#options.onEra(change);
	}

	/** Records a response of the store and clears a pending `pollNow`, which this read has already satisfied. */
	#recordRead(): void {
		this.#lastReadAt = performance.now();
		tryReceive(this.#wake);
	}

	/** Ends the calls that this read was for, once its changes are applied. */
	#resolveAwaiting(): void {
		for (const awaited of this.#awaiting) {
			if (awaited.since <= this.#readStartedAt) {
				this.#awaiting.delete(awaited);
				awaited.resolve();
			}
		}

		if (this.#awaiting.size > 0) {
			this.pollNow();
		}
	}

	#recordSuccess(): void {
		if (this.#failures > 0) {
			this.#options.logger.info('Store available again.', {feed: this.#options.feed.name, failures: this.#failures});
		}

		this.#failures = 0;
	}

	* #handleFailure(error: unknown): Body<void> {
		this.#failures += 1;
		this.#isStoreUnresponsive = true;
		if (this.#failures === 1) {
			this.#options.logger.warn('Store unavailable.', {feed: this.#options.feed.name, reason: String(error), era: this.#next?.era, offset: this.#next?.offset});
		}

		const {otherInstances, pauseMilliseconds, random, applyMilliseconds, onFailed} = this.#options;
		onFailed();
		const usualPause = pauseMilliseconds({polls: this.#polls, draw: random()});
		yield * sleep(pollRetryDelay({failures: this.#failures, others: otherInstances(), hasRead: this.#next !== undefined, pollIntervalMilliseconds: usualPause, applyMilliseconds}, random()));
	}
}
