import {type Snapshot} from './change.js';
import {
	entryKey, type ClassEntry, type Entry, type ModelEntry, type ServiceEntry, type WorkspaceEntry,
} from './entry.js';

/** An entry and the offset of the change that set it. */
export type RevisedEntry = {readonly entry: Entry; readonly revision: number};

/** The offset of a catalogue to which no record has been applied. */
export const noOffset = -1;

/**
 * All entries that are in force after a prefix of the stream's records. Immutable: `advance` returns a new catalogue. Two catalogues
 * with the same offset are equal in all processes.
 */
export class Catalogue {
	/** The catalogue before the first record. */
	static empty(): Catalogue {
		return new Catalogue(noOffset, noOffset, new Map());
	}

	/** Restores the catalogue from a snapshot. */
	static restore(snapshot: Snapshot): Catalogue {
		return new Catalogue(snapshot.through, snapshot.changed, new Map(snapshot.entries.map(item => [entryKey(item.entry), item])));
	}

	/** Offset of the last record that was applied. */
	readonly offset: number;
	/** Offset of the last change that was accepted. */
	readonly changed: number;
	/** All entries, by `entryKey`. */
	readonly entries: ReadonlyMap<string, RevisedEntry>;
	#byKey: ReadonlyMap<string, WorkspaceEntry> | undefined;
	#models: readonly ModelEntry[] | undefined;

	private constructor(offset: number, changed: number, entries: ReadonlyMap<string, RevisedEntry>) {
		this.offset = offset;
		this.changed = changed;
		this.entries = entries;
	}

	/**
	 * Returns the catalogue after the record at `offset`; `entries` is given if that record changed them.
	 *
	 * Throws `RangeError` unless the offset increases. Applying a late or repeated record again would revert an
	 * accepted change. With increasing offsets every catalogue corresponds to a prefix of the one stream, so that no change is reverted.
	 */
	advance(offset: number, entries?: ReadonlyMap<string, RevisedEntry>): Catalogue {
		if (offset <= this.offset) {
			throw new RangeError(`Catalogue offset ${offset} does not follow ${this.offset}.`);
		}

		if (entries) {
			return new Catalogue(offset, offset, entries);
		}

		const next = new Catalogue(offset, this.changed, this.entries);
		next.#byKey = this.#byKey;
		next.#models = this.#models;
		return next;
	}

	/** The snapshot record of this catalogue; `instance` is the process that writes it. */
	snapshot(instance: string): Snapshot {
		return {type: 'snapshot', instance, through: this.offset, changed: this.changed, entries: [...this.entries.values()]};
	}

	/** The workspace whose bearer keys include the one with this SHA-256. */
	findWorkspaceByKey(sha256Hex: string): WorkspaceEntry | undefined {
		this.#byKey ??= indexKeys(this.entries);
		return this.#byKey.get(sha256Hex);
	}

	workspace(name: string): WorkspaceEntry | undefined {
		return this.#find('workspace', name) as WorkspaceEntry | undefined;
	}

	/** A class of the workspace; the default class if no name is given. */
	classOf(workspace: string, className?: string): ClassEntry | undefined {
		const name = className ?? this.workspace(workspace)?.defaultClass;
		return name === undefined ? undefined : this.#find('class', `${workspace}/${name}`) as ClassEntry | undefined;
	}

	model(name: string): ModelEntry | undefined {
		return this.#find('model', name) as ModelEntry | undefined;
	}

	service(name: string): ServiceEntry | undefined {
		return this.#find('service', name) as ServiceEntry | undefined;
	}

	/** All models, sorted by name. */
	models(): readonly ModelEntry[] {
		this.#models ??= [...this.entries.values()].map(item => item.entry).filter(entry => entry.kind === 'model')
			.toSorted((first, second) => first.name < second.name ? -1 : 1);
		return this.#models;
	}

	#find(kind: Entry['kind'], name: string): Entry | undefined {
		return this.entries.get(entryKey({kind, name}))?.entry;
	}
}

function indexKeys(entries: ReadonlyMap<string, RevisedEntry>): ReadonlyMap<string, WorkspaceEntry> {
	const index = new Map<string, WorkspaceEntry>();
	for (const {entry} of entries.values()) {
		if (entry.kind !== 'workspace') {
			continue;
		}

		for (const key of entry.keySha256) {
			index.set(key, entry);
		}
	}

	return index;
}
