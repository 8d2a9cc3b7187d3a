import {
	countedCrashes, countRuns, type CrashRecord, createQuarantine, foldPending, foldQuarantine, foldRuns, noCountedRuns, noPendingCrashes, openCrashes, type PendingRecord,
	pendingRecordsOf, type Quarantine, prunePending, pruneQuarantine, pruneRuns, type QuarantineRecord, type RunRecord, weighCrashes,
} from '../policy/quarantine/index.js';

/** What instances tell each other of crashes. */
export type CrashNews = {readonly records: readonly QuarantineRecord[]; readonly pending: readonly PendingRecord[]; readonly runs: readonly RunRecord[]};

export const noCrashNews: CrashNews = {records: [], pending: [], runs: []};

/**
 * Weight of crashes that quarantines a request. Requests run beside each other, and a request that is sent again after a crash may meet a second
 * one by chance; with each further crash chance explains it less.
 */
export const crashThreshold = 3;

/** How much counts against a request: crashes that are certain, and those with others that may have happened. */
export type CrashWeight = {readonly certain: number; readonly possible: number; readonly runs: number; readonly crashes: readonly CrashRecord[]};

/** All that one instance knows of crashes, from itself, its peers and the store. Times are milliseconds of the monotonic clock. */
export class CrashRecords {
	static create(): CrashRecords {
		return new CrashRecords();
	}

	#quarantine = createQuarantine();
	#pending = noPendingCrashes;
	#runs = noCountedRuns;
	/** Crashes by request, for one state of the quarantine. */
	#counts: {readonly state: Quarantine; readonly byRequest: ReadonlyMap<string, number>} | undefined;

	get crashCount(): number {
		return this.#quarantine.crashes.size;
	}

	get pendingCount(): number {
		return this.#pending.size;
	}

	get isEmpty(): boolean {
		return this.crashCount === 0 && this.pendingCount === 0;
	}

	/** Adds what is told; returns what is new. */
	fold({records, pending, runs}: CrashNews): CrashNews {
		return {
			records: records.filter(record => {
				const before = this.#quarantine;
				this.#quarantine = foldQuarantine(before, record);
				return this.#quarantine !== before;
			}),
			pending: pending.filter(record => {
				const before = this.#pending;
				this.#pending = foldPending(before, record);
				return this.#pending !== before;
			}),
			runs: runs.filter(record => {
				const before = this.#runs;
				this.#runs = foldRuns(before, record);
				return this.#runs !== before;
			}),
		};
	}

	/** What counts against a request. */
	weigh(fingerprint: string, now: number): CrashWeight {
		const runs = countRuns(this.#runs, fingerprint);
		const crashes = this.countedCrashes(fingerprint, now).filter(crash => runs === 0 || !this.#isExplained(crash));
		const certainTimes = crashes.map(({time}) => time);
		const known = new Set(crashes.map(({crash}) => crash));
		const pendingTimes = this.pendingRecordsOf(fingerprint, now).filter(({crash}) => !known.has(crash)).map(({time}) => time);
		return {certain: weighCrashes(certainTimes, runs), possible: weighCrashes([...certainTimes, ...pendingTimes], runs), runs, crashes};
	}

	countedCrashes(fingerprint: string, now: number): readonly CrashRecord[] {
		return countedCrashes(this.#quarantine, fingerprint, now);
	}

	pendingRecordsOf(fingerprint: string, now: number): readonly PendingRecord[] {
		return pendingRecordsOf(this.#pending, fingerprint, now);
	}

	/** Runs of a request that an instance has told of. */
	runsAt(fingerprint: string, instance: string): number {
		return this.#runs.get(fingerprint)?.get(instance) ?? 0;
	}

	openCrashes(now: number, most: number): readonly CrashRecord[] {
		return openCrashes(this.#quarantine, {now, most});
	}

	/** Runs of the requests that several crashes name; one crash refuses no request. */
	countedRuns(crashes: readonly CrashRecord[]): readonly RunRecord[] {
		const seen = new Set<string>();
		const repeated = new Set<string>();
		for (const fingerprint of crashes.flatMap(({fingerprints}) => fingerprints)) {
			(seen.has(fingerprint) ? repeated : seen).add(fingerprint);
		}

		return [...repeated].flatMap(fingerprint => Array.from(this.#runs.get(fingerprint) ?? [], ([instance, runs]): RunRecord => ({fingerprint, instance, runs})));
	}

	prune(now: number): void {
		this.#quarantine = pruneQuarantine(this.#quarantine, now);
		this.#pending = prunePending(this.#pending, now);
		this.#runs = pruneRuns(this.#runs, fingerprint => this.countedCrashes(fingerprint, now).length > 0);
	}

	/**
	 * Whether a crash names a request that is quarantined and has never run to its end. It is no evidence against one that does run: while one
	 * request ends all endpoints of a service, a request that many callers send alike is at each of them.
	 */
	#isExplained({fingerprints}: CrashRecord): boolean {
		const counts = this.#crashCounts();
		return fingerprints.some(fingerprint => (counts.get(fingerprint) ?? 0) >= crashThreshold && countRuns(this.#runs, fingerprint) === 0);
	}

	#crashCounts(): ReadonlyMap<string, number> {
		if (this.#counts?.state !== this.#quarantine) {
			const byRequest = new Map<string, number>();
			for (const {crash, fingerprints} of this.#quarantine.crashes.values()) {
				for (const fingerprint of fingerprints.filter(one => this.#quarantine.cleared.get(one)?.has(crash) !== true)) {
					byRequest.set(fingerprint, (byRequest.get(fingerprint) ?? 0) + 1);
				}
			}

			this.#counts = {state: this.#quarantine, byRequest};
		}

		return this.#counts.byRequest;
	}
}
