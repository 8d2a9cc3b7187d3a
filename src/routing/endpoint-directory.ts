import {type EndpointRecord} from './routing-table.js';

/** One change of the list of endpoints, with its place in the store's order. */
export type EndpointChange
	= | {readonly type: 'registered'; readonly offset: number; readonly record: EndpointRecord}
		| {readonly type: 'removed'; readonly offset: number; readonly id: string};

/** How far an endpoint may be used. */
export const Standing = {ready: 'ready', lastResort: 'last-resort', gone: 'gone'} as const;
export type Standing = (typeof Standing)[keyof typeof Standing];

/** What is known of one endpoint. Times are the monotonic clock in milliseconds. */
export type EndpointEntry = {
	readonly record: EndpointRecord;
	readonly offset: number;
	/** Set once it left or its record went; an endpoint that said it leaves never comes back. */
	readonly endedAt?: number | undefined;
};

/**
 * Failure: the store forgets endpoints that could not reach it, and with them a whole service.
 * Symptom: each request is refused although the endpoints serve. An ended endpoint therefore stays
 * a last resort for a while: shorter than the two seconds in which those that are well are back.
 */
export const lastResortMilliseconds = 1200;
/**
 * One that said itself that it leaves: with the 1.4 s between two readings of the store that is inside the
 * shortest drain, two seconds.
 */
export const leavingLastResortMilliseconds = 300;
/** An ended endpoint is remembered so long, so that an old record can't bring it back. */
export const memoryMilliseconds = 120_000;

/**
 * The endpoints that registered, as an immutable value. Changes may come twice and out of order, from
 * the store and from peers: offsets and revisions only move forward.
 */
export class EndpointDirectory {
	static create(): EndpointDirectory {
		return new EndpointDirectory(new Map());
	}

	readonly entries: ReadonlyMap<string, EndpointEntry>;

	private constructor(entries: ReadonlyMap<string, EndpointEntry>) {
		this.entries = entries;
	}

	/** The directory after some changes; the same object if none of them says anything new. */
	apply(changes: readonly EndpointChange[], now: number): EndpointDirectory {
		const entries = new Map(this.entries);
		let isChanged = false;
		for (const change of changes) {
			const id = change.type === 'registered' ? change.record.id : change.id;
			const held = entries.get(id);
			const next = nextEntry(held, change, now);
			if (next !== undefined) {
				entries.set(id, next);
				isChanged = true;
			}
		}

		return isChanged ? new EndpointDirectory(entries) : this;
	}

	/** Ends every endpoint that a whole reading of the store no longer names. */
	retain(ids: ReadonlySet<string>, now: number): EndpointDirectory {
		const missing = [...this.entries.values()].filter(({record, endedAt}) => endedAt === undefined && !ids.has(record.id));
		return this.apply(missing.map(({record, offset}) => ({type: 'removed', offset, id: record.id})), now);
	}

	/** Forgets what ended long ago. */
	prune(now: number): EndpointDirectory {
		const kept = [...this.entries].filter(([, {endedAt}]) => endedAt === undefined || now - endedAt < memoryMilliseconds);
		return kept.length === this.entries.size ? this : new EndpointDirectory(new Map(kept));
	}
}

/** Whether an endpoint may be used now. */
export function standingOf({record, endedAt}: EndpointEntry, now: number): Standing {
	if (endedAt === undefined) {
		return Standing.ready;
	}

	const resortMilliseconds = record.isLeaving ? leavingLastResortMilliseconds : lastResortMilliseconds;
	return now - endedAt < resortMilliseconds ? Standing.lastResort : Standing.gone;
}

function nextEntry(held: EndpointEntry | undefined, change: EndpointChange, now: number): EndpointEntry | undefined {
	switch (change.type) {
		case 'removed': {
			return held === undefined || held.offset > change.offset || held.endedAt !== undefined ? undefined : {...held, offset: change.offset, endedAt: now};
		}

		case 'registered': {
			return registered(held, change, now);
		}
	}
}

function registered(held: EndpointEntry | undefined, {record, offset}: Extract<EndpointChange, {type: 'registered'}>, now: number): EndpointEntry | undefined {
	if (held === undefined) {
		return {record, offset, endedAt: record.isLeaving ? now : undefined};
	}

	const isOld = offset <= held.offset || record.revision < held.record.revision || held.record.isLeaving;
	if (isOld) {
		return undefined;
	}

	return {record, offset, endedAt: record.isLeaving ? now : undefined};
}
