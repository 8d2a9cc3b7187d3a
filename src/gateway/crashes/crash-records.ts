import {
	countedCrashes, countRuns, type CrashIndex, crashesAgainst, type CrashRecord, createQuarantine, explainCrashes, type Explanation, foldInstanceRuns, foldPending, foldQuarantine, indexCrashes, type InstanceRuns, isPart, type NamedCrash,
	noPendingCrashes, openCrashes, type PendingCrashes, pendingCrashes, pendingMilliseconds, type PendingRecord, pendingRecordsOf, type Quarantine, prunePending, pruneQuarantine, quarantineMilliseconds, type QuarantineRecord, type RunRecord, weighCrashes,
} from '../../policy/quarantine/index.js';

/** What instances tell each other of crashes. */
export type CrashNews = {readonly records: readonly QuarantineRecord[]; readonly pending: readonly PendingRecord[]; readonly runs: readonly RunRecord[]};

export const noCrashNews: CrashNews = {records: [], pending: [], runs: []};

/** How much counts against a request or a part: crashes that are certain, and those with others that may have happened. */
export type CrashWeight = {readonly certain: number; readonly possible: number; readonly runs: number; readonly crashes: readonly NamedCrash[]};

/** Crashes by what may have caused them, and what explains them; of those that are certain, or with those that are pending. */
type Judgement = {readonly index: CrashIndex; explanation: Explanation; explainedWith: number};

/** The judgements of one state, which hold until the first of its crashes no longer counts. */
type Judgements = {readonly quarantine: Quarantine; readonly pending: PendingCrashes; readonly until: number; readonly certain: Judgement; readonly possible: Judgement};

/** All that one instance knows of crashes, from itself, its peers and the store. Times are milliseconds of the monotonic clock. */
export class CrashRecords {
	static create(): CrashRecords {
		return new CrashRecords();
	}

	#quarantine = createQuarantine();
	#pending = noPendingCrashes;
	readonly #runs = new Map<string, InstanceRuns>();
	/** Rises when something is known to run of which nothing was known; what explains crashes depends on that alone. */
	#firstRuns = 0;
	#judgements: Judgements | undefined;

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
			runs: runs.filter(record => this.#foldRuns(record)),
		};
	}

	/** What counts against a request or a part. */
	weigh(fingerprint: string, now: number): CrashWeight {
		const {certain, possible} = this.#judge(now);
		const runs = countRuns(this.#runs, fingerprint);
		const crashes = this.#crashesAgainst(certain, fingerprint, runs);
		return {certain: weigh(crashes, fingerprint, runs), possible: weigh(this.#crashesAgainst(possible, fingerprint, runs), fingerprint, runs), runs, crashes};
	}

	/** How many crashes name a request or a part, whatever explains them. */
	countNamed(fingerprint: string, now: number): number {
		return this.#judge(now).certain.index.byFingerprint.get(fingerprint)?.length ?? 0;
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
		for (const fingerprint of this.#runs.keys()) {
			if (this.countNamed(fingerprint, now) === 0) {
				this.#runs.delete(fingerprint);
			}
		}

		this.#firstRuns += 1;
	}

	/** Adds runs in place, since every response may add some while crashes count; returns whether they are new. */
	#foldRuns(record: RunRecord): boolean {
		const before = this.#runs.get(record.fingerprint);
		const folded = foldInstanceRuns(before, record);
		if (folded === undefined || folded === before) {
			return false;
		}

		this.#runs.set(record.fingerprint, folded);
		this.#firstRuns += before === undefined && this.#mayExplain(record.fingerprint) ? 1 : 0;
		return true;
	}

	/** Whether enough crashes name a request or a part that it may explain them. */
	#mayExplain(fingerprint: string): boolean {
		return this.#judgements?.possible.index.blamable.has(fingerprint) ?? true;
	}

	/** Judged anew with each crash; what runs show is applied when it is asked for. */
	#judge(now: number): Judgements {
		const known = this.#judgements;
		if (known?.quarantine === this.#quarantine && known.pending === this.#pending && now < known.until) {
			return known;
		}

		const certain = openCrashes(this.#quarantine, {now, most: Infinity});
		const pending = pendingCrashes(this.#pending, now);
		const until = Math.min(...certain.map(({time}) => time + quarantineMilliseconds), ...pending.map(({time}) => time + pendingMilliseconds));
		this.#judgements = {quarantine: this.#quarantine, pending: this.#pending, until, certain: this.#createJudgement(certain), possible: this.#createJudgement(joinCrashes(certain, pending))};
		return this.#judgements;
	}

	#createJudgement(crashes: Iterable<NamedCrash>): Judgement {
		const index = indexCrashes(crashes);
		return {index, explanation: this.#explain(index), explainedWith: this.#firstRuns};
	}

	#explain(index: CrashIndex): Explanation {
		return explainCrashes(index, fingerprint => countRuns(this.#runs, fingerprint));
	}

	#crashesAgainst(judgement: Judgement, fingerprint: string, runs: number): readonly NamedCrash[] {
		if (judgement.explainedWith !== this.#firstRuns) {
			judgement.explanation = this.#explain(judgement.index);
			judgement.explainedWith = this.#firstRuns;
		}

		return crashesAgainst(judgement.index, judgement.explanation, {fingerprint, runs});
	}
}

function weigh(crashes: readonly NamedCrash[], fingerprint: string, runs: number): number {
	return weighCrashes(crashes.map(({time}) => time), runs, isPart(fingerprint) ? 'part' : 'request');
}

/** Crashes that are certain, and those that may have happened; a crash may be certain with some requests and pending with others. */
function joinCrashes(certain: readonly NamedCrash[], pending: readonly NamedCrash[]): Iterable<NamedCrash> {
	const joined = new Map(certain.map(crash => [crash.crash, crash]));
	for (const crash of pending) {
		const known = joined.get(crash.crash);
		joined.set(crash.crash, known === undefined ? crash : {...known, fingerprints: [...new Set([...known.fingerprints, ...crash.fingerprints])]});
	}

	return joined.values();
}
