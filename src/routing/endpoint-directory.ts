import {isAfterPosition, type LogPosition} from '../model/index.js';
import {addRegistration, newestPosition, isRegisteredAfterRemoval, type Registration, type Registrations} from './registrations.js';
import {type EndpointRecord} from './routing-table.js';

/** A change to the list of endpoints, with its position in the store's log. */
export type EndpointChange
	= | (LogPosition & {readonly type: 'registered'; readonly record: EndpointRecord})
		| (LogPosition & {readonly type: 'removed'; readonly id: string});

/** Whether an endpoint may be used: `ready` without restriction, `lastResort` only if the service has no ready endpoint, `gone` not at all. */
export const EndpointStatus = {ready: 'ready', lastResort: 'last-resort', gone: 'gone'} as const;
export type EndpointStatus = (typeof EndpointStatus)[keyof typeof EndpointStatus];

/** The state of one endpoint. Times are milliseconds of the monotonic clock. */
export type EndpointEntry = {
	readonly record: EndpointRecord;
	/** The log positions at which this incarnation was registered, whatever its revision. */
	readonly registrations: Registrations;
	/** Set once the endpoint shut down or its record was removed; an incarnation that announced its shutdown never becomes usable again. */
	readonly endedAt?: number | undefined;
	/** Set while a store that was restored from a backup doesn't name the endpoint: it counts as registered until this time. */
	readonly unconfirmedUntil?: number | undefined;
};

/** The newest removal of an id, and the time at which this instance learned of it. */
type Tombstone = LogPosition & {readonly at: number};

/**
 * How long an ended endpoint remains a last resort. The store removes endpoints that could not reach it, possibly all endpoints of a
 * service at once; without a last resort each request would then be refused although the endpoints still serve. The time is shorter
 * than the two seconds within which healthy endpoints have registered again.
 */
export const lastResortMilliseconds = 1200;
/**
 * The same for an endpoint that announced its own shutdown: together with the interval between two polls of the store, this is within the
 * shortest drain time, two seconds.
 */
export const leavingLastResortMilliseconds = 300;
/** For how long ended endpoints and tombstones are kept, so that an old record can't restore an endpoint. */
export const tombstoneMilliseconds = 120_000;
/**
 * The grace period of unconfirmed endpoints. After a restore from a backup the store lacks the endpoints that registered since the backup.
 * Without the grace period all endpoints of a service could count as ended although they still serve. Endpoints register again within
 * about two seconds, and one of the instances reads these registrations from the store within three more; the rest allows for a slow
 * store. Whether an unconfirmed endpoint responds is determined by its health, as for any other.
 */
export const unconfirmedMilliseconds = 8000;

type State = {readonly entries: ReadonlyMap<string, EndpointEntry>; readonly tombstones: ReadonlyMap<string, Tombstone>; readonly era: number};

/**
 * The registered endpoints, as an immutable value. Changes may arrive twice and out of order, from
 * the store and from peers; the same changes lead to the same endpoints in whatever order. Of the records of one id,
 * a later incarnation takes precedence, then a higher revision, then a later position in the store's log.
 *
 * An endpoint that crashes and restarts under its id counts its revisions from the start. Without the comparison of incarnations
 * its records would appear old and it would never be used again, or its previous load and cached prompts would count as still present.
 */
export class EndpointDirectory {
	static create(): EndpointDirectory {
		return new EndpointDirectory({entries: new Map(), tombstones: new Map(), era: 0});
	}

	readonly entries: ReadonlyMap<string, EndpointEntry>;
	/** The newest era of the store in any change so far. An era is the store's generation number; it rises with each restore from a backup. */
	readonly era: number;
	readonly #tombstones: ReadonlyMap<string, Tombstone>;

	private constructor({entries, tombstones, era}: State) {
		this.entries = entries;
		this.era = era;
		this.#tombstones = tombstones;
	}

	/** The directory after some changes; the same object if none of them adds anything. */
	apply(changes: readonly EndpointChange[], now: number): EndpointDirectory {
		const entries = new Map(this.entries);
		const tombstones = new Map(this.#tombstones);
		let {era} = this;
		let isChanged = false;
		for (const change of changes) {
			era = Math.max(era, change.era);
			const id = change.type === 'registered' ? change.record.id : change.id;
			const current = entries.get(id);
			const tombstone = tombstones.get(id);
			if (change.type === 'removed' && (tombstone === undefined || isAfterPosition(change, tombstone))) {
				tombstones.set(id, {era: change.era, offset: change.offset, at: now});
				isChanged = true;
			}

			const merged = change.type === 'registered' ? mergeRecord(current, change) : current;
			const next = merged === undefined ? undefined : withEndState(merged, tombstones.get(id), now);
			if (next !== undefined && next !== current) {
				entries.set(id, next);
				isChanged = true;
			}
		}

		return isChanged || era > this.era ? new EndpointDirectory({entries: withGracePeriod(entries, era, now), tombstones, era}) : this;
	}

	/** Applies a snapshot of the store: ends every endpoint that it no longer names, unless the snapshot's era is newer than all registrations of the endpoint. */
	applySnapshot(ids: ReadonlySet<string>, era: number, now: number): EndpointDirectory {
		const missing = [...this.entries.values()].filter(({record, endedAt}) => endedAt === undefined && !ids.has(record.id));
		const ended = missing.filter(({registrations}) => newestPosition(registrations).era >= era);
		const after = this.apply(ended.map(({record, registrations}): EndpointChange => ({type: 'removed', ...positionOf(registrations), id: record.id})), now);
		return era > after.era ? new EndpointDirectory({entries: withGracePeriod(after.entries, era, now), tombstones: after.#tombstones, era}) : after;
	}

	/** Endpoints in their grace period: used although the restored store doesn't name them. */
	unconfirmed(now: number): readonly EndpointEntry[] {
		return [...this.entries.values()].filter(({endedAt, unconfirmedUntil}) => endedAt === undefined && unconfirmedUntil !== undefined && now < unconfirmedUntil);
	}

	/** Drops endpoints that ended, and tombstones that were created, more than `tombstoneMilliseconds` ago. */
	prune(now: number): EndpointDirectory {
		const kept = [...this.entries].filter(([, entry]) => now - (endTimeOf(entry) ?? now) < tombstoneMilliseconds);
		const tombstones = [...this.#tombstones].filter(([, {at}]) => now - at < tombstoneMilliseconds);
		return kept.length === this.entries.size && tombstones.length === this.#tombstones.size
			? this
			: new EndpointDirectory({entries: new Map(kept), tombstones: new Map(tombstones), era: this.era});
	}
}

/** Whether an endpoint may be used now. */
export function endpointStatusOf(entry: EndpointEntry, now: number): EndpointStatus {
	const end = endTimeOf(entry);
	if (end === undefined || now < end) {
		return EndpointStatus.ready;
	}

	const resortMilliseconds = entry.record.isLeaving ? leavingLastResortMilliseconds : lastResortMilliseconds;
	return now - end < resortMilliseconds ? EndpointStatus.lastResort : EndpointStatus.gone;
}

/** True if the first record is of a later incarnation than the second; a record without a start time is older than any with one. */
export function isLaterIncarnation({bornAt}: EndpointRecord, {bornAt: other}: EndpointRecord): boolean {
	return (bornAt ?? -Infinity) > (other ?? -Infinity);
}

/** Whether the endpoint of an earlier record has restarted by the later one; a record that states a start for the first time is no sign of that. */
export function hasRestarted({bornAt}: EndpointRecord, later: EndpointRecord): boolean {
	return bornAt !== undefined && later.bornAt !== bornAt;
}

/** The name of an incarnation: each start of an endpoint is another one, also under the same id. One that has not stated its start has the name of the endpoint. */
export function incarnationOf({id, bornAt}: EndpointRecord): string {
	return bornAt === undefined ? id : `${id}@${bornAt}`;
}

/** The newest position at which an endpoint is known to be registered: `newestPosition` without the revision. */
export function positionOf(registrations: Registrations): LogPosition {
	const {era, offset} = newestPosition(registrations);
	return {era, offset};
}

/** When the endpoint ended, or when its grace period ends if no record confirms it; undefined if neither applies. */
function endTimeOf({endedAt, unconfirmedUntil}: EndpointEntry): number | undefined {
	return endedAt ?? unconfirmedUntil;
}

/** An endpoint's state after one more record; the same object if the record adds nothing. */
function mergeRecord(current: EndpointEntry | undefined, {record, era, offset}: Extract<EndpointChange, {type: 'registered'}>): EndpointEntry {
	const registration: Registration = {era, offset, revision: record.revision};
	if (current === undefined || isLaterIncarnation(record, current.record)) {
		return {record, registrations: [registration]};
	}

	if (isLaterIncarnation(current.record, record)) {
		return current;
	}

	const isNewer = record.revision > current.record.revision || (record.revision === current.record.revision && isAfterPosition(registration, newestPosition(current.registrations)));
	const isLeaving = current.record.isLeaving || record.isLeaving;
	const registrations = addRegistration(current.registrations, registration);
	if (registrations === current.registrations && isLeaving === current.record.isLeaving) {
		return current;
	}

	return {...current, record: {...(isNewer ? record : current.record), isLeaving}, registrations};
}

/** Sets or clears `endedAt`: an endpoint has ended if it is shutting down, or was removed after its newest record. */
function withEndState(entry: EndpointEntry, tombstone: Tombstone | undefined, now: number): EndpointEntry {
	const hasEnded = entry.record.isLeaving || (tombstone !== undefined && !isRegisteredAfterRemoval(entry.registrations, tombstone));
	if (hasEnded === (entry.endedAt !== undefined)) {
		return entry;
	}

	return {...entry, endedAt: hasEnded ? now : undefined};
}

/** Starts the grace period of endpoints without a record in the newest era, counted from when this era was first seen. */
function withGracePeriod(entries: ReadonlyMap<string, EndpointEntry>, era: number, now: number): ReadonlyMap<string, EndpointEntry> {
	return new Map(Array.from(entries, ([id, entry]) => {
		const isNamed = newestPosition(entry.registrations).era >= era;
		const unconfirmedUntil = isNamed ? undefined : entry.unconfirmedUntil ?? now + unconfirmedMilliseconds;
		return [id, unconfirmedUntil === entry.unconfirmedUntil ? entry : {...entry, unconfirmedUntil}];
	}));
}
