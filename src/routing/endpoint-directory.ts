import {isAfterPosition, type LogPosition} from '../model/index.js';
import {addRegistered, newestPlace, outlivesRemoval, type Registered, type Registrations} from './registrations.js';
import {type EndpointRecord} from './routing-table.js';

/** One change of the list of endpoints, with its place in the store's log. */
export type EndpointChange
	= | (LogPosition & {readonly type: 'registered'; readonly record: EndpointRecord})
		| (LogPosition & {readonly type: 'removed'; readonly id: string});

/** How far an endpoint may be used. */
export const EndpointStatus = {ready: 'ready', lastResort: 'last-resort', gone: 'gone'} as const;
export type EndpointStatus = (typeof EndpointStatus)[keyof typeof EndpointStatus];

/** What is known of one endpoint. Times are the monotonic clock in milliseconds. */
export type EndpointEntry = {
	readonly record: EndpointRecord;
	/** Where this incarnation was registered, whatever its revision. */
	readonly registrations: Registrations;
	/** Set once it left or its record went; an incarnation that said it leaves never comes back. */
	readonly endedAt?: number | undefined;
	/** Set while the store has come back from a copy that doesn't name it: it counts as registered until then. */
	readonly unconfirmedUntil?: number | undefined;
};

/** The newest removal of an id, and when it was heard of. */
type Removal = LogPosition & {readonly at: number};

/**
 * Failure: the store forgets endpoints that could not reach it, and with them a whole service.
 * Symptom: each request is refused although the endpoints serve. An ended endpoint therefore stays
 * a last resort for a while: shorter than the two seconds in which those that are well are back.
 */
export const lastResortMilliseconds = 1200;
/**
 * One that said itself that it leaves: with the time between two readings of the store that is inside the
 * shortest drain, two seconds.
 */
export const leavingLastResortMilliseconds = 300;
/** An ended endpoint is remembered so long, so that an old record can't bring it back. */
export const memoryMilliseconds = 120_000;
/**
 * Failure: the store comes back from a copy, and the endpoints that registered since are not in it. Symptom: a whole
 * service counts as ended though all of it serves. Endpoints register again within about two seconds, and one of the instances reads them
 * within three more; the rest is for a slow store. Whether it answers is seen meanwhile by its health, like any other's.
 */
export const trustMilliseconds = 8000;

type State = {readonly entries: ReadonlyMap<string, EndpointEntry>; readonly removals: ReadonlyMap<string, Removal>; readonly era: number};

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
		return new EndpointDirectory({entries: new Map(), removals: new Map(), era: 0});
	}

	readonly entries: ReadonlyMap<string, EndpointEntry>;
	/** The newest era of the store that any change came from. */
	readonly era: number;
	readonly #removals: ReadonlyMap<string, Removal>;

	private constructor({entries, removals, era}: State) {
		this.entries = entries;
		this.era = era;
		this.#removals = removals;
	}

	/** The directory after some changes; the same object if none of them says anything new. */
	apply(changes: readonly EndpointChange[], now: number): EndpointDirectory {
		const entries = new Map(this.entries);
		const removals = new Map(this.#removals);
		let {era} = this;
		let isChanged = false;
		for (const change of changes) {
			era = Math.max(era, change.era);
			const id = change.type === 'registered' ? change.record.id : change.id;
			const held = entries.get(id);
			const removal = removals.get(id);
			if (change.type === 'removed' && (removal === undefined || isAfterPosition(change, removal))) {
				removals.set(id, {era: change.era, offset: change.offset, at: now});
				isChanged = true;
			}

			const newest = change.type === 'registered' ? newer(held, change) : held;
			const next = newest === undefined ? undefined : withEnd(newest, removals.get(id), now);
			if (next !== undefined && next !== held) {
				entries.set(id, next);
				isChanged = true;
			}
		}

		return isChanged || era > this.era ? new EndpointDirectory({entries: withTrust(entries, era, now), removals, era}) : this;
	}

	/** Takes a whole reading of the store, made in an era: ends every endpoint that it no longer names, unless the era is newer than all word of it. */
	applySnapshot(ids: ReadonlySet<string>, era: number, now: number): EndpointDirectory {
		const missing = [...this.entries.values()].filter(({record, endedAt}) => endedAt === undefined && !ids.has(record.id));
		const ended = missing.filter(({registrations}) => newestPlace(registrations).era >= era);
		const after = this.apply(ended.map(({record, registrations}): EndpointChange => ({type: 'removed', ...positionOf(registrations), id: record.id})), now);
		return era > after.era ? new EndpointDirectory({entries: withTrust(after.entries, era, now), removals: after.#removals, era}) : after;
	}

	/** Those that are used though the store, come back from a copy, doesn't name them. */
	unconfirmed(now: number): readonly EndpointEntry[] {
		return [...this.entries.values()].filter(({endedAt, unconfirmedUntil}) => endedAt === undefined && unconfirmedUntil !== undefined && now < unconfirmedUntil);
	}

	/** Forgets what ended long ago. */
	prune(now: number): EndpointDirectory {
		const kept = [...this.entries].filter(([, entry]) => now - (endOf(entry) ?? now) < memoryMilliseconds);
		const removals = [...this.#removals].filter(([, {at}]) => now - at < memoryMilliseconds);
		return kept.length === this.entries.size && removals.length === this.#removals.size
			? this
			: new EndpointDirectory({entries: new Map(kept), removals: new Map(removals), era: this.era});
	}
}

/** Whether an endpoint may be used now. */
export function endpointStatusOf(entry: EndpointEntry, now: number): EndpointStatus {
	const end = endOf(entry);
	if (end === undefined || now < end) {
		return EndpointStatus.ready;
	}

	const resortMilliseconds = entry.record.isLeaving ? leavingLastResortMilliseconds : lastResortMilliseconds;
	return now - end < resortMilliseconds ? EndpointStatus.lastResort : EndpointStatus.gone;
}

/** True if one record is of a younger incarnation than another; one that doesn't tell its start is older than any that does. */
export function isLaterIncarnation({bornAt}: EndpointRecord, {bornAt: other}: EndpointRecord): boolean {
	return (bornAt ?? -Infinity) > (other ?? -Infinity);
}

/** The newest place at which an endpoint is known to be registered. */
export function positionOf(registrations: Registrations): LogPosition {
	const {era, offset} = newestPlace(registrations);
	return {era, offset};
}

function endOf({endedAt, unconfirmedUntil}: EndpointEntry): number | undefined {
	return endedAt ?? unconfirmedUntil;
}

/** What stands after one more record; the same object if it says nothing new. */
function newer(held: EndpointEntry | undefined, {record, era, offset}: Extract<EndpointChange, {type: 'registered'}>): EndpointEntry {
	const registered: Registered = {era, offset, revision: record.revision};
	if (held === undefined || isLaterIncarnation(record, held.record)) {
		return {record, registrations: [registered]};
	}

	if (isLaterIncarnation(held.record, record)) {
		return held;
	}

	const isNewer = record.revision > held.record.revision || (record.revision === held.record.revision && isAfterPosition(registered, newestPlace(held.registrations)));
	const isLeaving = held.record.isLeaving || record.isLeaving;
	const registrations = addRegistered(held.registrations, registered);
	if (registrations === held.registrations && isLeaving === held.record.isLeaving) {
		return held;
	}

	return {...held, record: {...(isNewer ? record : held.record), isLeaving}, registrations};
}

/** Ended is what leaves, and what was removed after its newest record. */
function withEnd(entry: EndpointEntry, removal: Removal | undefined, now: number): EndpointEntry {
	const hasEnded = entry.record.isLeaving || (removal !== undefined && !outlivesRemoval(entry.registrations, removal));
	if (hasEnded === (entry.endedAt !== undefined)) {
		return entry;
	}

	return {...entry, endedAt: hasEnded ? now : undefined};
}

/** Whoever has no record in the newest era is trusted for a while, from when that era was first heard of. */
function withTrust(entries: ReadonlyMap<string, EndpointEntry>, era: number, now: number): ReadonlyMap<string, EndpointEntry> {
	return new Map(Array.from(entries, ([id, entry]) => {
		const isNamed = newestPlace(entry.registrations).era >= era;
		const unconfirmedUntil = isNamed ? undefined : entry.unconfirmedUntil ?? now + trustMilliseconds;
		return [id, unconfirmedUntil === entry.unconfirmedUntil ? entry : {...entry, unconfirmedUntil}];
	}));
}
