import {type RoutingTableInput} from '../../routing/index.js';
import {type EntryKind, type FieldChange} from './comparison.js';
import {type FileFinding} from './findings.js';
import {type FilePlace, type TablePlace} from './places.js';

/** A fault for which a file can't be decoded. */
export type FileFault = FilePlace & {readonly message: string};

/** A decoded file, or every fault for which it can't be decoded. */
export type RoutingFile
	= | {
		readonly type: 'decoded';
		readonly table: RoutingTableInput;
		readonly findings: ReadonlyArray<FilePlace & {readonly finding: FileFinding}>;
		/** Where a field of the table is in the file; for an absent field, the line of what would contain it. */
		readonly locate: (place: TablePlace) => FilePlace;
	}
	| {readonly type: 'wrong'; readonly faults: readonly FileFault[]};

/** Reads routing tables as the platform stores them. Implemented by the adapter, which alone knows the names in files. */
export type RoutingReader = {
	/** Decodes as a gateway does. Messages contain no values of the text, which may be keys. */
	readonly decode: (text: string) => RoutingFile;
	/** A change of an entry's field with the name and the values that files have. */
	readonly toFileField: (kind: EntryKind, change: FieldChange) => FieldChange;
	/** The text of the newest version in the store at `HOST:PORT`; undefined if there is none. Only reads; throws `PlatformError`. */
	readonly readInForce: (storeAddress: string) => Promise<string | undefined>;
};
