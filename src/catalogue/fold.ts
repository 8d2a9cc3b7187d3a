import {isDeepStrictEqual} from 'node:util';
import {type Catalogue, type RevisedEntry} from './catalogue.js';
import {
	catalogueRecordSchema, subjectOf, type Change, type Operation, type Snapshot,
} from './change.js';
import {entryKey, type Entry} from './entry.js';
import {findFaults, type Fault} from './validity.js';

/** A record of the catalogue stream as read from the log or received from a peer. */
export type StreamRecord = {readonly offset: number; readonly time: number; readonly value: unknown};

/** Why a record was rejected. */
export type Rejection
	= | {readonly type: 'malformed'; readonly field: string; readonly message: string}
	/** The entry was changed after the revision `madeAgainst`. An undefined revision means that the entry does not exist. */
		| {readonly type: 'outdated'; readonly entry: string; readonly madeAgainst: number | undefined; readonly current: number | undefined}
		| {readonly type: 'duplicate'; readonly entry: string}
		| ({readonly type: 'invalid'} & Fault)
		| {readonly type: 'snapshot-differs'; readonly through: number};

/** The effect of an accepted change on one entry. */
export type Difference = {readonly entry: string; readonly before?: Entry; readonly after?: Entry};

/** The result of applying a record. */
export type RecordVerdict
	/** The change is in force. An accepted snapshot has no differences. */
	= | {readonly type: 'accepted'; readonly differences: readonly Difference[]}
		| {readonly type: 'rejected'; readonly reasons: readonly Rejection[]}
	/** A record at this offset was applied before; this one has no effect. */
		| {readonly type: 'repeated'}
	/** Records before this one are missing; it has no effect until they have been applied. */
		| {readonly type: 'gap'; readonly expected: number};

export type ApplyResult = {readonly catalogue: Catalogue; readonly verdict: RecordVerdict};

/**
 * Applies a record to a catalogue. This function is pure, so all readers of the stream get the same
 * catalogue without coordination. It does not throw for any content of a record: a malformed record is rejected, and
 * the catalogue's offset advances past it.
 */
export function applyRecord(catalogue: Catalogue, record: StreamRecord): ApplyResult {
	if (record.offset <= catalogue.offset) {
		return {catalogue, verdict: {type: 'repeated'}};
	}

	if (record.offset > catalogue.offset + 1) {
		return {catalogue, verdict: {type: 'gap', expected: catalogue.offset + 1}};
	}

	const parsed = catalogueRecordSchema.safeParse(record.value);
	if (!parsed.success) {
		return reject(catalogue, record.offset, parsed.error.issues.map(issue => ({type: 'malformed', field: issue.path.join('.'), message: issue.message})));
	}

	switch (parsed.data.type) {
		case 'change': {
			return applyChange(catalogue, record.offset, parsed.data);
		}

		case 'snapshot': {
			return applySnapshot(catalogue, record.offset, parsed.data);
		}
	}
}

/** Applies a change as the record at `offset`; also used to preview a change. */
export function applyChange(catalogue: Catalogue, offset: number, change: Change): ApplyResult {
	const conflicts = findConflicts(catalogue, change.operations);
	if (conflicts.length > 0) {
		return reject(catalogue, offset, conflicts);
	}

	const entries = new Map(catalogue.entries);
	for (const operation of change.operations) {
		const key = entryKey(subjectOf(operation));
		if (operation.type === 'put') {
			entries.set(key, {entry: operation.entry, revision: offset});
		} else {
			entries.delete(key);
		}
	}

	const faults = findFaults(entries);
	if (faults.length > 0) {
		return reject(catalogue, offset, faults.map(fault => ({type: 'invalid', ...fault})));
	}

	const differences = change.operations.map(operation => findDifference(catalogue, operation));
	return {catalogue: catalogue.advance(offset, entries), verdict: {type: 'accepted', differences}};
}

function findConflicts(catalogue: Catalogue, operations: readonly Operation[]): Rejection[] {
	const conflicts: Rejection[] = [];
	const seen = new Set<string>();
	for (const operation of operations) {
		const entry = entryKey(subjectOf(operation));
		if (seen.has(entry)) {
			conflicts.push({type: 'duplicate', entry});
		}

		seen.add(entry);
		const current = catalogue.entries.get(entry)?.revision;
		if (current !== operation.revision || (operation.type === 'remove' && current === undefined)) {
			conflicts.push({type: 'outdated', entry, madeAgainst: operation.revision, current});
		}
	}

	return conflicts;
}

function findDifference(catalogue: Catalogue, operation: Operation): Difference {
	const entry = entryKey(subjectOf(operation));
	const before = catalogue.entries.get(entry)?.entry;
	return {entry, ...(before && {before}), ...(operation.type === 'put' && {after: operation.entry})};
}

/**
 * A reader that has applied all previous records does not need the snapshot, but verifies it: a snapshot
 * that is not older than the last change must contain exactly the entries of the folded catalogue.
 */
function applySnapshot(catalogue: Catalogue, offset: number, snapshot: Snapshot): ApplyResult {
	const isComparable = snapshot.through < offset && snapshot.through >= catalogue.changed;
	const isDifferent = snapshot.through >= offset
		|| (isComparable && (snapshot.changed !== catalogue.changed || !sameEntries(catalogue.entries, snapshot)));
	if (isDifferent) {
		return reject(catalogue, offset, [{type: 'snapshot-differs', through: snapshot.through}]);
	}

	return {catalogue: catalogue.advance(offset), verdict: {type: 'accepted', differences: []}};
}

function sameEntries(entries: ReadonlyMap<string, RevisedEntry>, snapshot: Snapshot): boolean {
	return entries.size === snapshot.entries.length
		&& snapshot.entries.every(item => isDeepStrictEqual(entries.get(entryKey(item.entry)), item));
}

function reject(catalogue: Catalogue, offset: number, reasons: readonly Rejection[]): ApplyResult {
	return {catalogue: catalogue.advance(offset), verdict: {type: 'rejected', reasons}};
}

/** One rejection as a sentence for an operator. */
export function describeRejection(rejection: Rejection): string {
	switch (rejection.type) {
		case 'malformed': {
			return `${rejection.field || 'record'}: ${rejection.message}`;
		}

		case 'outdated': {
			return `${rejection.entry} was made against ${describeRevision(rejection.madeAgainst)}, but now is ${describeRevision(rejection.current)}`;
		}

		case 'duplicate': {
			return `${rejection.entry} occurs twice in one change`;
		}

		case 'invalid': {
			return `${rejection.entry}: ${rejection.field}: ${rejection.message}`;
		}

		case 'snapshot-differs': {
			return `the snapshot through ${rejection.through} differs from the folded catalogue`;
		}
	}
}

function describeRevision(revision: number | undefined): string {
	return revision === undefined ? 'absent' : `at revision ${revision}`;
}
