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
	/** The newest record of this incarnation, whatever its revision. */
	readonly offset: number;
	/** Set once it left or its record went; an incarnation that said it leaves never comes back. */
	readonly endedAt?: number | undefined;
};

/** The newest removal of an id, and when it was heard of. */
type Removal = {readonly offset: number; readonly at: number};

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
 * the store and from peers; whatever their order, the same changes lead to the same endpoints. Of one id, a
 * younger incarnation goes before an older one, then a higher revision, then a later place in the store.
 *
 * Failure: an endpoint crashes and starts again under its id, counting its revisions anew. Symptom: its records look
 * old and it is never used again; or its load and kept prompts are believed to live on.
 */
export class EndpointDirectory {
	static create(): EndpointDirectory {
		return new EndpointDirectory(new Map(), new Map());
	}

	readonly entries: ReadonlyMap<string, EndpointEntry>;
	readonly #removals: ReadonlyMap<string, Removal>;

	private constructor(entries: ReadonlyMap<string, EndpointEntry>, removals: ReadonlyMap<string, Removal>) {
		this.entries = entries;
		this.#removals = removals;
	}

	/** The directory after some changes; the same object if none of them says anything new. */
	apply(changes: readonly EndpointChange[], now: number): EndpointDirectory {
		const entries = new Map(this.entries);
		const removals = new Map(this.#removals);
		let isChanged = false;
		for (const change of changes) {
			const id = change.type === 'registered' ? change.record.id : change.id;
			const held = entries.get(id);
			if (change.type === 'removed' && change.offset > (removals.get(id)?.offset ?? -Infinity)) {
				removals.set(id, {offset: change.offset, at: now});
				isChanged = true;
			}

			const newest = change.type === 'registered' ? newer(held, change) : held;
			const next = newest === undefined ? undefined : withEnd(newest, removals.get(id), now);
			if (next !== undefined && next !== held) {
				entries.set(id, next);
				isChanged = true;
			}
		}

		return isChanged ? new EndpointDirectory(entries, removals) : this;
	}

	/** Ends every endpoint that a whole reading of the store no longer names. */
	retain(ids: ReadonlySet<string>, now: number): EndpointDirectory {
		const missing = [...this.entries.values()].filter(({record, endedAt}) => endedAt === undefined && !ids.has(record.id));
		return this.apply(missing.map(({record, offset}) => ({type: 'removed', offset, id: record.id})), now);
	}

	/** Forgets what ended long ago. */
	prune(now: number): EndpointDirectory {
		const kept = [...this.entries].filter(([, {endedAt}]) => endedAt === undefined || now - endedAt < memoryMilliseconds);
		const removals = [...this.#removals].filter(([, {at}]) => now - at < memoryMilliseconds);
		return kept.length === this.entries.size && removals.length === this.#removals.size ? this : new EndpointDirectory(new Map(kept), new Map(removals));
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

/** True if one record is of a younger incarnation than another; one that doesn't tell its start is older than any that does. */
export function isYounger({bornAt}: EndpointRecord, {bornAt: other}: EndpointRecord): boolean {
	return (bornAt ?? -Infinity) > (other ?? -Infinity);
}

/** What stands after one more record; the same object if it says nothing new. */
function newer(held: EndpointEntry | undefined, {record, offset}: Extract<EndpointChange, {type: 'registered'}>): EndpointEntry {
	if (held === undefined || isYounger(record, held.record)) {
		return {record, offset};
	}

	if (isYounger(held.record, record)) {
		return held;
	}

	const isNewer = record.revision > held.record.revision || (record.revision === held.record.revision && offset > held.offset);
	const isLeaving = held.record.isLeaving || record.isLeaving;
	if (!isNewer && offset <= held.offset && isLeaving === held.record.isLeaving) {
		return held;
	}

	return {...held, record: {...(isNewer ? record : held.record), isLeaving}, offset: Math.max(offset, held.offset)};
}

/** Ended is what leaves, and what was removed after its newest record. */
function withEnd(entry: EndpointEntry, removal: Removal | undefined, now: number): EndpointEntry {
	const hasEnded = entry.record.isLeaving || (removal !== undefined && removal.offset >= entry.offset);
	if (hasEnded === (entry.endedAt !== undefined)) {
		return entry;
	}

	return {...entry, endedAt: hasEnded ? now : undefined};
}
