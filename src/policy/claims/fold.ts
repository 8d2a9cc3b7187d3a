import {type LogEntry} from './log-entry.js';
import {isInWindow, keyWindowMilliseconds} from './key.js';
import {claimBatchSchema, type ClaimItem} from './records.js';

/** Who holds a key. */
export type Holder = {
	readonly claim: string;
	readonly instance: string;
	readonly request: string;
	readonly fingerprint: string;
	readonly finished: boolean;
	/** Whose side may still have the answer. */
	readonly endpoint?: string;
};

/** Keys made in one minute: only the minutes that a record touches are copied, and old ones go whole. */
type Minute = {
	readonly holders: ReadonlyMap<string, Holder>;
	readonly released: ReadonlySet<string>;
};

/** The claims of one partition, as its stream tells them up to `next`. */
export type Claims = {
	readonly next: number;
	/** The latest time that the log gave to a record. */
	readonly time: number;
	readonly minutes: ReadonlyMap<number, Minute>;
	/** Records that no version of this program could have written. */
	readonly ignored: number;
};

const minuteMilliseconds = 60_000;
const emptyMinute: Minute = {holders: new Map(), released: new Set()};

export function createClaims(): Claims {
	return {next: 0, time: 0, minutes: new Map(), ignored: 0};
}

/**
 * Applies records in log order. Everything is judged by what stands in the records, the log's own
 * time included, so that all readers agree; a record that comes twice changes nothing.
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

/** Copies of the minutes that one fold changes, made when first touched. */
type Changes = {
	readonly minutes: Map<number, Minute>;
	readonly copied: Map<number, {holders: Map<string, Holder>; released: Set<string>}>;
};

function createChanges(minutes: ReadonlyMap<number, Minute>): Changes {
	return {minutes: new Map(minutes), copied: new Map()};
}

function openMinute({minutes, copied}: Changes, keyTime: number): {holders: Map<string, Holder>; released: Set<string>} {
	const index = Math.floor(keyTime / minuteMilliseconds);
	const open = copied.get(index);
	if (open) {
		return open;
	}

	const {holders, released} = minutes.get(index) ?? emptyMinute;
	const copy = {holders: new Map(holders), released: new Set(released)};
	copied.set(index, copy);
	minutes.set(index, copy);
	return copy;
}

function applyItem(changes: Changes, item: ClaimItem, instance: string, time: number): void {
	if (!isInWindow(item.keyTime, time)) {
		return;
	}

	const {holders, released} = openMinute(changes, item.keyTime);
	const holder = holders.get(item.key);
	switch (item.type) {
		case 'claim': {
			// Failure: an append is repeated, or kept late, after its claim was released. Symptom: the key
			// is held by a claim that nobody will run. A released claim is void for ever, in any order.
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

function dropExpired(minutes: Map<number, Minute>, time: number): Map<number, Minute> {
	const oldest = Math.floor((time - keyWindowMilliseconds) / minuteMilliseconds);
	for (const index of minutes.keys()) {
		if (index < oldest) {
			minutes.delete(index);
		}
	}

	return minutes;
}

/**
 * Goes on after retention dropped records that were not read. What is known stays: it can only hold
 * keys that are free by now, never free a key that is held.
 */
export function skipToOffset(state: Claims, first: number): Claims {
	return {...state, next: Math.max(state.next, first)};
}

/** Who holds a key of this time, if anyone. */
export function holderOf(state: Claims, key: {readonly id: string; readonly time: number}): Holder | undefined {
	return state.minutes.get(Math.floor(key.time / minuteMilliseconds))?.holders.get(key.id);
}
