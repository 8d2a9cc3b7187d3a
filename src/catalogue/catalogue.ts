import {type Snapshot} from './change.js';
import {
	entryKey, type ClassEntry, type Entry, type ModelEntry, type ServiceEntry, type WorkspaceEntry,
} from './entry.js';

/** An entry and the offset of the change that set it. */
export type RevisedEntry = {readonly entry: Entry; readonly revision: number};

/** The offset of a catalogue that has seen no record. */
export const noOffset = -1;

/**
 * The catalogue after a prefix of its stream. A value: it never changes, and a later one is made
 * from it. Two catalogues with the same offset are equal, whoever folded them.
 */
export class Catalogue {
	/** The catalogue before the first record. */
	static empty(): Catalogue {
		return new Catalogue(noOffset, noOffset, new Map());
	}

	/** The catalogue that a snapshot holds. */
	static restore(snapshot: Snapshot): Catalogue {
		return new Catalogue(snapshot.through, snapshot.changed, new Map(snapshot.entries.map(item => [entryKey(item.entry), item])));
	}

	/** The last record that this catalogue has seen. */
	readonly offset: number;
	/** The last change that was accepted. */
	readonly changed: number;
	/** Every entry, by `entryKey`. */
	readonly entries: ReadonlyMap<string, RevisedEntry>;
	#byKey: ReadonlyMap<string, WorkspaceEntry> | undefined;
	#models: readonly ModelEntry[] | undefined;

	private constructor(offset: number, changed: number, entries: ReadonlyMap<string, RevisedEntry>) {
		this.offset = offset;
		this.changed = changed;
		this.entries = entries;
	}

	/**
	 * The catalogue after the record at `offset`; with `entries` if that record changed them.
	 *
	 * Failure: a late or repeated record is applied once more. Symptom: an accepted change reverts.
	 * Offsets that only rise make every catalogue a prefix of the one stream, which can't revert.
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

	/** The snapshot record that carries this catalogue. */
	snapshot(instance: string): Snapshot {
		return {type: 'snapshot', instance, through: this.offset, changed: this.changed, entries: [...this.entries.values()]};
	}

	/** The workspace that a bearer key with this SHA-256 opens. */
	findWorkspaceByKey(sha256Hex: string): WorkspaceEntry | undefined {
		this.#byKey ??= indexKeys(this.entries);
		return this.#byKey.get(sha256Hex);
	}

	workspace(name: string): WorkspaceEntry | undefined {
		return this.#find('workspace', name) as WorkspaceEntry | undefined;
	}

	/** A class of the workspace; without a name, the workspace's default class. */
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

	/** Every model, by name. */
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
