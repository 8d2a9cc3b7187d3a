import {setTimeout as delay} from 'node:timers/promises';
import {isDeepStrictEqual} from 'node:util';
import {v7 as uuidv7} from 'uuid';
import {
	applyChange, catalogueStream, changeSchema, entryKey, entrySchema, type Catalogue, type CatalogueFile, type Change, type Operation, type RecordVerdict,
} from '../catalogue/index.js';
import {spawn} from '../concurrency/index.js';
import {readCatalogue, type FoldedStream, type LogClient} from '../platform/index.js';

/** The operations that bring the catalogue to what a file says; entries that are so already are left out. */
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

/** Makes the change that a file asks for. */
export function createChange(content: CatalogueFile, catalogue: Catalogue, author: string): Change {
	return {
		type: 'change', id: uuidv7(), author, time: Date.now(), ...(content.note !== undefined && {note: content.note}), operations: [...operationsOf(content, catalogue)],
	};
}

/** What would become of a change if it were published now. */
export function foresee(catalogue: Catalogue, change: Change): RecordVerdict {
	return applyChange(catalogue, catalogue.offset + 1, change).verdict;
}

/** What became of a publication. */
export type Publication
	= | {readonly type: 'decided'; readonly offset: number; readonly verdict: RecordVerdict}
	/** The log did not keep it. */
		| {readonly type: 'refused'; readonly reason: string}
	/** The answer was lost and the record has not been seen; it may still come. */
		| {readonly type: 'unknown'; readonly reason: string};

const firstPauseMilliseconds = 20;
const longestPauseMilliseconds = 500;

/**
 * Appends a change once and waits until it has been read back. It is never appended again: a lost
 * answer does not tell whether the first append was kept, and only the record itself does.
 */
export async function publishChange(log: LogClient, change: Change, patienceMilliseconds: number): Promise<Publication> {
	const appended = await log.append(catalogueStream, change);
	if (appended.type === 'refused') {
		return appended;
	}

	const deadline = performance.now() + patienceMilliseconds;
	let pause = firstPauseMilliseconds;
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

		await delay(pause);
		pause = Math.min(pause * 2, longestPauseMilliseconds);
	}
}

/** Reads the catalogue stream as the log has it. */
export async function readStream(log: LogClient): Promise<FoldedStream> {
	return spawn('read-catalogue', () => readCatalogue(log), () => {
		// The rejection of the promise tells the caller.
	});
}

/** The first record with this id decides; the log may have kept it twice. */
function findChange(stream: FoldedStream, id: string): Publication | undefined {
	const record = stream.records.find(candidate => {
		const parsed = changeSchema.safeParse(candidate.value);
		return parsed.success && parsed.data.id === id;
	});
	return record && {type: 'decided', offset: record.offset, verdict: record.verdict};
}
