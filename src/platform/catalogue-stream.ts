import {
	applyRecord, Catalogue, catalogueStream, restoreFrom, type RecordVerdict, type StreamRecord,
} from '../catalogue/index.js';
import {wait, type Body} from '../concurrency/index.js';
import {type LogClient, type ReadResult} from './types.js';

/** Reads a page of the catalogue stream; undefined if the read failed. */
export type PageReader = (from: number) => Body<ReadResult | undefined>;

/** A catalogue restored from a snapshot, and the record that held the snapshot. */
export type LocatedSnapshot = {readonly catalogue: Catalogue; readonly record: StreamRecord};

/**
 * Finds the first snapshot whose following records are all still retained. A reader needs it when
 * retention has dropped records that it has not read; without it the reader could not continue.
 */
export function * locateSnapshot(read: PageReader, first: number): Body<LocatedSnapshot | undefined> {
	let from = first;
	for (;;) {
		const page = yield * read(from);
		if (page?.type !== 'records') {
			return undefined;
		}

		for (const record of page.records) {
			const catalogue = restoreFrom(record, page.first);
			if (catalogue) {
				return {catalogue, record};
			}
		}

		const last = page.records.at(-1);
		if (!last || last.offset + 1 >= page.next) {
			return undefined;
		}

		from = last.offset + 1;
	}
}

/** A record of the stream and its result. */
export type AppliedRecord = StreamRecord & {readonly verdict: RecordVerdict};

/** All retained records of the stream, and the catalogue after the last of them. */
export type FoldedStream = {readonly catalogue: Catalogue; readonly records: readonly AppliedRecord[]};

/** Reads and folds the catalogue stream to its end, once; throws `PlatformError` while the log is unavailable. */
export function * readCatalogue(log: LogClient): Body<FoldedStream> {
	const read: PageReader = function * (from) {
		return yield * wait(log.read(catalogueStream, from));
	};

	let catalogue = Catalogue.empty();
	const records: AppliedRecord[] = [];
	for (;;) {
		const page = (yield * read(catalogue.offset + 1))!;
		if (page.type === 'gone') {
			const located = yield * locateSnapshot(read, page.first);
			if (!located || located.catalogue.offset <= catalogue.offset) {
				throw new Error(`The log starts at ${page.first} and has no usable snapshot.`);
			}

			catalogue = located.catalogue;
			continue;
		}

		for (const record of page.records) {
			const applied = applyRecord(catalogue, record);
			catalogue = applied.catalogue;
			records.push({...record, verdict: applied.verdict});
		}

		if (page.records.length === 0 || catalogue.offset + 1 >= page.next) {
			return {catalogue, records};
		}
	}
}
