import {type LogEntry} from './log-entry.js';
import {isInWindow, keyWindowMilliseconds} from './key.js';
import {claimBatchSchema, type ClaimItem} from './records.js';

/** The claim that holds a key. */
export type Holder = {
	readonly claim: string;
	readonly instance: string;
	readonly request: string;
	readonly fingerprint: string;
	readonly finished: boolean;
	/** The endpoint whose side (the sidecar process of one endpoint) may still have the response. */
	readonly endpoint?: string;
};

/** Keys created within one minute: a fold copies only the minutes that its records touch, and expired minutes are dropped as one. */
type MinuteBucket = {
	readonly holders: ReadonlyMap<string, Holder>;
	readonly released: ReadonlySet<string>;
};

/** The claims of one partition after the records of its stream before the offset `next`. */
export type Claims = {
	readonly next: number;
	/** The latest time that the log assigned to a record, in milliseconds. */
	readonly time: number;
	readonly minutes: ReadonlyMap<number, MinuteBucket>;
	/** Number of records that no version of this program could have written. */
	readonly ignored: number;
};

const minuteMilliseconds = 60_000;
const emptyBucket: MinuteBucket = {holders: new Map(), released: new Set()};

/** The state before the first record of a stream. */
export function createClaims(): Claims {
	return {next: 0, time: 0, minutes: new Map(), ignored: 0};
}

/**
 * Applies records in log order. Decisions depend only on the records, including the time that the log assigned,
 * so that all readers agree. Applying a record twice changes nothing.
 */
export function foldClaims(state: Claims, records: readonly LogEntry[]): Claims {
	let {next, time, ignored} = state;
	const changes = createChanges(state.minutes);
	for (const record of records) {
		if (record.offset < next) {
			continue;
		}

		next = record.offset + 1;
		time = Math.max(time, record.time);
		const parsed = claimBatchSchema.safeParse(record.value);
		if (!parsed.success) {
			ignored += 1;
			continue;
		}

		for (const item of parsed.data.items) {
			applyItem(changes, item, parsed.data.instance, time);
		}
	}

	return {next, time, ignored, minutes: dropExpired(changes.minutes, time)};
}

/** The minutes of one fold; those that it changes are copied when first touched. */
type Changes = {
	readonly minutes: Map<number, MinuteBucket>;
	readonly copied: Map<number, {holders: Map<string, Holder>; released: Set<string>}>;
};

function createChanges(minutes: ReadonlyMap<number, MinuteBucket>): Changes {
	return {minutes: new Map(minutes), copied: new Map()};
}

function writableBucket({minutes, copied}: Changes, keyTime: number): {holders: Map<string, Holder>; released: Set<string>} {
	const index = Math.floor(keyTime / minuteMilliseconds);
	const existing = copied.get(index);
	if (existing) {
		return existing;
	}

	const {holders, released} = minutes.get(index) ?? emptyBucket;
	const copy = {holders: new Map(holders), released: new Set(released)};
	copied.set(index, copy);
	minutes.set(index, copy);
	return copy;
}

function applyItem(changes: Changes, item: ClaimItem, instance: string, time: number): void {
	if (!isInWindow(item.keyTime, time)) {
		return;
	}

	const {holders, released} = writableBucket(changes, item.keyTime);
	const holder = holders.get(item.key);
	switch (item.type) {
		case 'claim': {
			// An append may be repeated, or delivered late, after its claim was released. If it were applied, the key
			// would be held by a claim that never runs. A released claim is void for good, in any order of records.
			if (!holder && !released.has(item.claim)) {
				holders.set(item.key, {claim: item.claim, instance, request: item.request, fingerprint: item.fingerprint, finished: false});
			}

			return;
		}

		case 'release': {
			released.add(item.claim);
			if (holder?.claim === item.claim && !holder.finished) {
				holders.delete(item.key);
			}

			return;
		}

		case 'finish': {
			if (holder?.claim === item.claim) {
				holders.set(item.key, {...holder, finished: true, ...(item.endpoint !== undefined && {endpoint: item.endpoint})});
			}
		}
	}
}

function dropExpired(minutes: Map<number, MinuteBucket>, time: number): Map<number, MinuteBucket> {
	const oldest = Math.floor((time - keyWindowMilliseconds) / minuteMilliseconds);
	for (const index of minutes.keys()) {
		if (index < oldest) {
			minutes.delete(index);
		}
	}

	return minutes;
}

/**
 * Continues after the log's retention dropped records that were not read. The known state stays: it may still hold
 * keys that have been released since, but never frees a key that is held.
 */
export function skipToOffset(state: Claims, first: number): Claims {
	return {...state, next: Math.max(state.next, first)};
}

/** The claim that holds a key of this time, if any. */
export function holderOf(state: Claims, key: {readonly id: string; readonly time: number}): Holder | undefined {
	return state.minutes.get(Math.floor(key.time / minuteMilliseconds))?.holders.get(key.id);
}
