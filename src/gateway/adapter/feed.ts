import {type LogPosition} from '../../model/index.js';

/** A page of a feed: its items, and the position after them. */
export type FeedPage<Item> = {readonly items: readonly Item[]; readonly next: LogPosition};

/** Result of reading changes. */
export type FeedReadResult<Item>
	= | {readonly type: 'page'; readonly page: FeedPage<Item>}
	/** The history from that position is no longer retained. */
		| {readonly type: 'gone'}
	/** The store was restored from a backup since that position: its era, the generation number of the store's log, has risen. */
		| {readonly type: 'new-era'; readonly era: number}
	/** The read was aborted by the reader. */
		| {readonly type: 'given-up'};

/** A part of the store that is read as a snapshot and then as changes. */
export type Feed<Item> = {
	readonly name: string;
	/** The newest value of each key, and the position from which changes continue. */
	readSnapshot(): Promise<FeedPage<Item>>;
	/** Changes from a position on; waits for the first one until the time is over or `signal` aborts (a long poll). */
	readChanges(from: LogPosition, waitMilliseconds: number, signal?: AbortSignal): Promise<FeedReadResult<Item>>;
	/** Calls the listener at the first response of any call that comes from a newer era. */
	onEra(listener: (era: number) => void): void;
};
