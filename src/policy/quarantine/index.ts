/**
 * Load pattern: a single request crashes every endpoint that runs it (a poison request), and its caller
 * sends it again, through other entries and under other ids. Without this fold one such caller takes
 * down the fleet, one endpoint at a time.
 *
 * All requests that ran when an endpoint crashed become suspects, by fingerprint. A suspect may run once more, on one
 * endpoint at a time; a second crash within the period quarantines it. Unrelated requests that ran on the same endpoint
 * are cleared when they complete elsewhere, or as soon as the crash is explained by a quarantined request.
 *
 * The state is a set of records, and every status is computed from this set. Records may therefore arrive
 * by frame and by log, late, repeated and in any order, and all readers of the same records agree.
 */
import {type EndpointId, type InstanceId} from '../../model/index.js';
import {type ClearedRecord, type CrashRecord, maxNamed, type QuarantineRecord, type ReleasedRecord} from './records.js';

export {type CrashIndex, crashesAgainst, crashThresholdOf, explainCrashes, type Explanation, indexCrashes, type NamedCrash} from './blame.js';
export {addCompletion, type Completions, countRunsBeside, hasRunBefore} from './completions.js';
export {fingerprintOf} from './fingerprint.js';
export {isForwarder} from './forwarding.js';
export {foldPending, noPendingCrashes, pendingCrashes, pendingMilliseconds, pendingRecordsOf, type PendingCrashes, type PendingRecord, pendingRecordSchema, prunePending} from './pending.js';
export {fingerprintOfPart, isPart} from './prompt-part.js';
export {countRun, countRuns, type CountedRuns, foldInstanceRuns, foldRuns, type InstanceRuns, isWorthTelling, noCountedRuns, pruneRuns, type RunRecord, runRecordSchema, weighCrashes} from './runs.js';
export {maxNamed, quarantineRecordSchema, type ClearedRecord, type CrashRecord, type QuarantineRecord, type ReleasedRecord} from './records.js';

/** How long a crash counts. A caller that sends the request again does so within minutes. */
export const quarantineMilliseconds = 10 * 60_000;
/** Number of crashes within the period that quarantines a fingerprint: the first may have been caused by another request or by hardware. */
export const quarantineThreshold = 2;
/** Number of crash records kept: a hundred a minute for the whole period, far more than the 18 instances that fail on an ordinary day in a full-size fleet. */
export const maxCrashRecords = 1000;

const computedNames = new WeakMap<CrashRecord, ReadonlySet<string>>();

/** The crash records, and which fingerprints were cleared of them. */
export type Quarantine = {
	readonly crashes: ReadonlyMap<string, CrashRecord>;
	/** The ids of crashes of which a fingerprint was cleared, by a complete run or by an operator. */
	readonly cleared: ReadonlyMap<string, ReadonlySet<string>>;
};

/** The status of a fingerprint: `suspect` requests run one at a time, `quarantined` ones are refused. */
export const Suspicion = {none: 'none', suspect: 'suspect', quarantined: 'quarantined'} as const;
export type Suspicion = (typeof Suspicion)[keyof typeof Suspicion];

export function createQuarantine(): Quarantine {
	return {crashes: new Map(), cleared: new Map()};
}

/** Creates the record that a side (the sidecar process of one endpoint) writes when its endpoint crashes. */
export function createCrashRecord(side: InstanceId, endpoint: EndpointId, fingerprints: Iterable<string>, now: number): CrashRecord {
	return {type: 'crashed', crash: `${side}@${Math.floor(now)}`, endpoint, fingerprints: [...new Set(fingerprints)].toSorted(), time: now};
}

/** Adds a record; the same state if nothing is added. The operation is idempotent and commutative: neither repetition nor the order of records matters. */
export function foldQuarantine(state: Quarantine, record: QuarantineRecord): Quarantine {
	switch (record.type) {
		case 'crashed': {
			const known = state.crashes.get(record.crash);
			const merged = known === undefined ? record : mergeCrash(known, record);
			return merged === known ? state : {...state, crashes: new Map(state.crashes).set(record.crash, merged)};
		}

		case 'cleared':
		case 'released': {
			const before = state.cleared.get(record.fingerprint);
			const crashes = new Set([...before ?? [], ...record.crashes]);
			return crashes.size === before?.size ? state : {...state, cleared: new Map(state.cleared).set(record.fingerprint, crashes)};
		}
	}
}

/**
 * Several writers may see one crash, each with the requests that it had sent there. Their times differ by less than matters, so the first one
 * known stays; a record whose time alone is new would otherwise be passed on again and again.
 */
function mergeCrash(known: CrashRecord, added: CrashRecord): CrashRecord {
	const names = namesOf(known);
	if (added.fingerprints.every(fingerprint => names.has(fingerprint))) {
		return known;
	}

	const fingerprints = [...new Set([...known.fingerprints, ...added.fingerprints])].slice(0, maxNamed).toSorted();
	return fingerprints.length === known.fingerprints.length ? known : {...known, fingerprints};
}

/** Names of a record. Each instance tells, stores and reads of a crash what most others know. */
function namesOf(record: CrashRecord): ReadonlySet<string> {
	const names = computedNames.get(record) ?? new Set(record.fingerprints);
	computedNames.set(record, names);
	return names;
}

/** Drops records that no longer count, and the oldest crashes beyond `maxCrashRecords`. */
export function pruneQuarantine(state: Quarantine, now: number): Quarantine {
	const recent = [...state.crashes.values()]
		.filter(crash => now - crash.time < quarantineMilliseconds)
		.toSorted((left, right) => right.time - left.time || (left.crash < right.crash ? -1 : 1))
		.slice(0, maxCrashRecords);
	if (recent.length === state.crashes.size) {
		return state;
	}

	const crashes = new Map(recent.map(crash => [crash.crash, crash]));
	const cleared = new Map([...state.cleared].filter(([, ids]) => [...ids].some(id => crashes.has(id))));
	return {crashes, cleared};
}

/** The suspicion against a fingerprint, and the crashes on which it is based. */
export type FingerprintStatus = {readonly suspicion: Suspicion; readonly crashes: readonly CrashRecord[]};

/** The status of a fingerprint at a time, from all records that still count. */
export function evaluateFingerprint(state: Quarantine, fingerprint: string, now: number): FingerprintStatus {
	const counted = countedCrashes(state, fingerprint, now);
	if (counted.length >= quarantineThreshold) {
		return {suspicion: Suspicion.quarantined, crashes: counted};
	}

	const unexplained = counted.filter(crash => !isExplained(state, crash, fingerprint, now));
	return {suspicion: unexplained.length > 0 ? Suspicion.suspect : Suspicion.none, crashes: unexplained};
}

/** The crashes that count against a fingerprint at a time. */
export function countedCrashes(state: Quarantine, fingerprint: string, now: number): CrashRecord[] {
	const cleared = state.cleared.get(fingerprint);
	return [...state.crashes.values()].filter(crash => crash.fingerprints.includes(fingerprint)
		&& now - crash.time < quarantineMilliseconds
		&& !cleared?.has(crash.crash));
}

/**
 * A crash whose cause has been found is no evidence against the other requests that it hit. Without this rule an
 * unrelated request that ran beside a poison request remains a suspect and has to wait until no other suspect runs, so that
 * one caller's poison request slows down the requests of others.
 */
function isExplained(state: Quarantine, crash: CrashRecord, fingerprint: string, now: number): boolean {
	return crash.fingerprints.some(other => other !== fingerprint && countedCrashes(state, other, now).length >= quarantineThreshold);
}

/** The newest crashes that still count, at most this many, without the requests that were cleared of them. */
export function openCrashes(state: Quarantine, {now, most}: {now: number; most: number}): readonly CrashRecord[] {
	return [...state.crashes.values()]
		.map(crash => ({...crash, fingerprints: crash.fingerprints.filter(fingerprint => state.cleared.get(fingerprint)?.has(crash.crash) !== true)}))
		.filter(crash => now - crash.time < quarantineMilliseconds && crash.fingerprints.length > 0)
		.toSorted((left, right) => right.time - left.time)
		.slice(0, most);
}

/** All quarantined fingerprints, for operators. */
export function listQuarantined(state: Quarantine, now: number): ReadonlyArray<{readonly fingerprint: string; readonly crashes: readonly CrashRecord[]}> {
	const fingerprints = new Set([...state.crashes.values()].flatMap(crash => crash.fingerprints));
	return [...fingerprints].toSorted()
		.map(fingerprint => ({fingerprint, ...evaluateFingerprint(state, fingerprint, now)}))
		.filter(({suspicion}) => suspicion === Suspicion.quarantined)
		.map(({fingerprint, crashes}) => ({fingerprint, crashes}));
}

/** Creates the record that clears a suspect after a complete run, of the crashes that counted against it when it started. */
export function createClearedRecord(fingerprint: string, statusAtStart: Pick<FingerprintStatus, 'crashes'>, now: number): ClearedRecord {
	return {type: 'cleared', fingerprint, crashes: statusAtStart.crashes.map(({crash}) => crash), time: now};
}

/** Creates the record by which an operator releases a fingerprint, from the crashes known now, so that a later crash counts again. */
export function createReleasedRecord(state: Quarantine, fingerprint: string, operator: string, now: number): ReleasedRecord {
	const crashes = [...state.crashes.values()].filter(crash => crash.fingerprints.includes(fingerprint)).map(({crash}) => crash);
	return {type: 'released', fingerprint, crashes, operator, time: now};
}
