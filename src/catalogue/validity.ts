import {type RevisedEntry} from './catalogue.js';
import {entryKey, type ClassEntry, type Entry, type WorkspaceEntry} from './entry.js';

/** A reference to an entry that does not exist, or a name or key that two entries share. */
export type Fault = {readonly entry: string; readonly field: string; readonly message: string};

type Entries = ReadonlyMap<string, RevisedEntry>;

/**
 * Checks the entries of a catalogue against each other; an empty list means that the catalogue is valid. The
 * order of faults depends only on the entries, so that every reader reports the same.
 */
export function findFaults(entries: Entries): readonly Fault[] {
	const faults: Fault[] = [];
	const keyOwners = new Map<string, string>();
	for (const key of [...entries.keys()].toSorted()) {
		const {entry} = entries.get(key)!;
		switch (entry.kind) {
			case 'workspace': {
				faults.push(...workspaceFaults(entry, entries, keyOwners));
				break;
			}

			case 'class': {
				faults.push(...classFaults(entry, entries));
				break;
			}

			case 'service': {
				if (entries.has(entryKey({kind: 'model', name: entry.name}))) {
					faults.push(fault(entry, 'name', `a model is already named ${entry.name}`));
				}

				break;
			}

			case 'model': {
				break;
			}
		}
	}

	return faults;
}

function workspaceFaults(entry: WorkspaceEntry, entries: Entries, keyOwners: Map<string, string>): Fault[] {
	const faults: Fault[] = [];
	if (!entries.has(entryKey({kind: 'class', name: `${entry.name}/${entry.defaultClass}`}))) {
		faults.push(fault(entry, 'defaultClass', `there is no class ${entry.name}/${entry.defaultClass}`));
	}

	for (const [index, key] of entry.keySha256.entries()) {
		const owner = keyOwners.get(key);
		if (owner !== undefined) {
			faults.push(fault(entry, `keySha256.${index}`, `the same key already belongs to workspace ${owner}`));
		}

		keyOwners.set(key, entry.name);
	}

	return faults;
}

function classFaults(entry: ClassEntry, entries: Entries): Fault[] {
	const faults: Fault[] = [];
	const [workspace = ''] = entry.name.split('/');
	if (!entries.has(entryKey({kind: 'workspace', name: workspace}))) {
		faults.push(fault(entry, 'name', `there is no workspace ${workspace}`));
	}

	for (const [index, target] of entry.targets.entries()) {
		if (!entries.has(entryKey({kind: 'model', name: target})) && !entries.has(entryKey({kind: 'service', name: target}))) {
			faults.push(fault(entry, `targets.${index}`, `there is no model or service ${target}`));
		}
	}

	return faults;
}

function fault(entry: Entry, field: string, message: string): Fault {
	return {entry: entryKey(entry), field, message};
}
