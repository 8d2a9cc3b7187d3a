import {
	applyRecord, Catalogue, catalogueStream, restoreFrom, type RecordVerdict, type StreamRecord,
} from '../catalogue/index.js';
import {wait, type Body} from '../concurrency/index.js';
import {type LogClient, type ReadResult} from './types.js';

/** Reads a page of the catalogue stream; undefined if it can't be had now. */
export type PageReader = (from: number) => Body<ReadResult | undefined>;

/** A snapshot to go on from, and the record that carried it. */
export type LocatedSnapshot = {readonly catalogue: Catalogue; readonly record: StreamRecord};

/**
 * Failure: retention dropped records that this reader has not seen. Symptom: it could never move
 * on. The first snapshot whose following records are all still there is enough to start from.
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

/** A record of the stream and what became of it. */
export type AppliedRecord = StreamRecord & {readonly verdict: RecordVerdict};

/** The whole stream as far as the log has it, folded. */
export type FoldedStream = {readonly catalogue: Catalogue; readonly records: readonly AppliedRecord[]};

/** Reads and folds the catalogue stream to its end, once; throws `PlatformError` while the log is down. */
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
				throw new Error(`The log starts at ${page.first} and holds no snapshot to start from.`);
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
