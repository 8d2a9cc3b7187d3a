/** The catalogue: the configuration that operators publish, and the deterministic fold of its stream of changes. */
export {
	entryKey, entrySchema,
	type ClassEntry, type Entry, type ModelEntry, type ServiceEntry, type WorkspaceEntry,
} from './entry.js';
export {
	catalogueStream, changeSchema, maximumOperations, snapshotSchema, subjectOf,
	type Change, type Operation, type Snapshot,
} from './change.js';
export {Catalogue, noOffset, type RevisedEntry} from './catalogue.js';
export {findFaults, type Fault} from './validity.js';
export {
	applyChange, applyRecord, describeRejection,
	type ApplyResult, type Difference, type RecordVerdict, type Rejection, type StreamRecord,
} from './fold.js';
export {
	defaultSnapshotSettings, isSnapshotDue, restoreFrom, type SnapshotSettings, type SnapshotState,
} from './snapshot.js';
export {catalogueFileSchema, catalogueJsonSchema, type CatalogueFile} from './file.js';
