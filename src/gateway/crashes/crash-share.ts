import {type CrashRecord, isForwarder, type QuarantineRecord} from '../../policy/quarantine/index.js';

/** Names of requests and prompt parts, by the crash that they were there at. */
type NamesByCrash = Map<string, Set<string>>;

/**
 * Which part of all that is known of crashes this instance stores: what it has noticed itself, before its last restart too, and whole the crashes that it
 * forwards. Where each instance stored all that it knew, what all of them read grew with the square of their number, and small instances were late
 * while endpoints crashed. A name is now stored by the few that noticed it and by three others, so that no single loss forgets it.
 */
export class CrashShare {
	static create(): CrashShare {
		return new CrashShare();
	}

	readonly #own: NamesByCrash = new Map();
	readonly #stored: NamesByCrash = new Map();

	/** Records what this instance has noticed. */
	recordOwn(records: readonly QuarantineRecord[]): void {
		addNames(this.#own, records);
	}

	/** Records what any instance has stored. */
	recordStored(records: readonly QuarantineRecord[]): void {
		addNames(this.#stored, records);
	}

	/** What this instance stores of the crashes that it knows. */
	select(known: readonly CrashRecord[], instance: string, instances: readonly string[]): readonly CrashRecord[] {
		return known.flatMap(record => isForwarder(record.crash, instance, instances) ? [record] : withNames(record, name => this.#own.get(record.crash)?.has(name) === true));
	}

	/** What no instance is known to have stored. */
	unstoredOf(known: readonly CrashRecord[]): readonly CrashRecord[] {
		return known.flatMap(record => withNames(record, name => this.#stored.get(record.crash)?.has(name) !== true));
	}

	/** Forgets crashes that no longer count. */
	prune(isCounted: (crash: string) => boolean): void {
		for (const names of [this.#own, this.#stored]) {
			for (const crash of [...names.keys()].filter(one => !isCounted(one))) {
				names.delete(crash);
			}
		}
	}
}

function addNames(names: NamesByCrash, records: readonly QuarantineRecord[]): void {
	for (const record of records) {
		if (record.type === 'crashed') {
			const known = names.get(record.crash) ?? new Set();
			for (const name of record.fingerprints) {
				known.add(name);
			}

			names.set(record.crash, known);
		}
	}
}

/** The record with the selected names alone; nothing if there is none. */
function withNames(record: CrashRecord, isSelected: (name: string) => boolean): readonly CrashRecord[] {
	const fingerprints = record.fingerprints.filter(name => isSelected(name));
	return fingerprints.length === 0 ? [] : [{...record, fingerprints}];
}
