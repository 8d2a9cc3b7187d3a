import {setTimeout as delay} from 'node:timers/promises';
import {isDeepStrictEqual} from 'node:util';
import {v7 as uuidv7} from 'uuid';
import {
	applyChange, catalogueStream, changeSchema, entryKey, entrySchema, type Catalogue, type CatalogueFile, type Change, type Operation, type RecordVerdict,
} from '../catalogue/index.js';
import {spawn} from '../concurrency/index.js';
import {readCatalogue, type FoldedStream, type LogClient} from '../platform/index.js';

/** Returns the operations that change the catalogue to the content of a file; unchanged entries are omitted. */
export function operationsOf(content: CatalogueFile, catalogue: Catalogue): readonly Operation[] {
	const operations: Operation[] = [];
	for (const {revision, ...fields} of content.entries) {
		const entry = entrySchema.parse(fields);
		const current = catalogue.entries.get(entryKey(entry));
		if (revision === undefined && isDeepStrictEqual(current?.entry, entry)) {
			continue;
		}

		operations.push({type: 'put', ...revisionField(revision ?? current?.revision), entry});
	}

	for (const {kind, name, revision} of content.remove) {
		const current = catalogue.entries.get(entryKey({kind, name}));
		operations.push({type: 'remove', ...revisionField(revision ?? current?.revision), kind, name});
	}

	return operations;
}

function revisionField(revision: number | 'new' | undefined): {revision?: number} {
	return typeof revision === 'number' ? {revision} : {};
}

/** Creates the change that brings the catalogue to the content of a file. */
export function createChange(content: CatalogueFile, catalogue: Catalogue, author: string): Change {
	return {
		type: 'change', id: uuidv7(), author, time: Date.now(), ...(content.note !== undefined && {note: content.note}), operations: [...operationsOf(content, catalogue)],
	};
}

/** Returns the verdict that a change would get if it were published now. */
export function predictVerdict(catalogue: Catalogue, change: Change): RecordVerdict {
	return applyChange(catalogue, catalogue.offset + 1, change).verdict;
}

/** The outcome of a publication. */
export type Publication
	/** The record was read back; `verdict` is its result in the fold. */
	= | {readonly type: 'decided'; readonly offset: number; readonly verdict: RecordVerdict}
	/** The log did not store it. */
		| {readonly type: 'refused'; readonly reason: string}
	/** The response was lost and the record has not been found; it may still be stored. */
		| {readonly type: 'unknown'; readonly reason: string};

const initialPollMilliseconds = 20;
const maximumPollMilliseconds = 500;

/**
 * Appends a change once and waits until it has been read back. The append is never retried: after a lost response
 * it is unknown whether the log stored the change, and only reading the record back resolves that.
 */
export async function publishChange(log: LogClient, change: Change, timeoutMilliseconds: number): Promise<Publication> {
	const appended = await log.append(catalogueStream, change);
	if (appended.type === 'refused') {
		return appended;
	}

	const deadline = performance.now() + timeoutMilliseconds;
	let pollMilliseconds = initialPollMilliseconds;
	let reason = appended.type === 'unknown' ? appended.reason : 'the record could not be read back';
	for (;;) {
		try {
			const found = findChange(await readStream(log), change.id);
			if (found) {
				return found;
			}
		} catch (error) {
			reason = String(error);
		}

		if (performance.now() >= deadline) {
			return {type: 'unknown', reason};
		}

		await delay(pollMilliseconds);
		pollMilliseconds = Math.min(pollMilliseconds * 2, maximumPollMilliseconds);
	}
}

/** Reads the catalogue stream from the log. */
export async function readStream(log: LogClient): Promise<FoldedStream> {
	return spawn('read-catalogue', () => readCatalogue(log), () => {
		// The caller receives the error as the rejection of the promise.
	});
}

/** Finds the first record with this id. The log may have stored the change twice; the verdict of the first record counts. */
function findChange(stream: FoldedStream, id: string): Publication | undefined {
	const record = stream.records.find(candidate => {
		const parsed = changeSchema.safeParse(candidate.value);
		return parsed.success && parsed.data.id === id;
	});
	return record && {type: 'decided', offset: record.offset, verdict: record.verdict};
}
