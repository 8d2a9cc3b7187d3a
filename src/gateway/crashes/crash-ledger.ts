import {
	countRun, type CrashRecord, fingerprintOfPart, type PendingRecord, type QuarantineRecord, type RunRecord,
} from '../../policy/quarantine/index.js';
import {type CrashSign} from '../../policy/crashes/index.js';
import {type EndpointRecord} from '../../routing/index.js';
import {CompletedRuns} from './completed-runs.js';
import {type CrashLedgerOptions} from './crash-ledger-options.js';
import {CrashMonitor, type CrashOf} from './crash-monitor.js';
import {CrashLog} from './crash-log.js';
import {type CrashNews, CrashRecords, noCrashNews} from './crash-records.js';
import {CrashShare} from './crash-share.js';
import {forwardedNews, isEmptyNews} from './forwarded-news.js';
import {isSuspectAfterFailure, type QuarantineStatus, quarantineStatusOf} from './quarantine-status.js';
import {fingerprintsOf, keptFingerprintsOf, type RepeatableRequest} from './repeatable-request.js';
import {ToldRuns} from './told-runs.js';
import {ToldSuspicions} from './told-suspicions.js';

/** Instances tell each other of runs of a request that so many crashes count against; with fewer it is not refused after the next one. */
const toldRunsFrom = 2;
/** Limit of the crashes that a new peer is sent: more than happen in the time for which they count. */
const maxSentCrashes = 100;

/** Which requests crash the endpoints that run them, as this instance and its peers have seen. Times are milliseconds of the monotonic clock. */
export class CrashLedger implements Disposable {
	static create(options: CrashLedgerOptions): CrashLedger {
		return new CrashLedger(options);
	}

	/** Notices crashes from the attempts of this instance. */
	readonly monitor: CrashMonitor;
	/** What this instance stores of all that it knows. */
	readonly share = CrashShare.create();
	readonly #options: CrashLedgerOptions;
	readonly #records = CrashRecords.create();
	readonly #completed = CompletedRuns.create();
	readonly #toldRuns = ToldRuns.create();
	readonly #log: CrashLog;
	readonly #told = ToldSuspicions.create();

	private constructor(options: CrashLedgerOptions) {
		this.#options = options;
		this.#log = CrashLog.create(options.logger);
		this.monitor = CrashMonitor.create({
			...options,
			onSuspect: suspicion => {
				this.#suspect(suspicion);
			},
			onDismiss: ({crash, fingerprints}) => {
				this.#dismiss([{type: 'dismissed', crash, fingerprints: [...fingerprints], time: performance.now()}], 'own attempt');
			},
			onCrash: ({crash, record, fingerprints, at}) => {
				this.#addOwn([{type: 'crashed', crash, endpoint: record.id, fingerprints: [...fingerprints], time: at}]);
				options.onOwnNews('crash');
			},
			onRetract: ({crash, fingerprints}) => {
				const records = fingerprints.map((fingerprint): QuarantineRecord => ({type: 'cleared', fingerprint, crashes: [crash], time: performance.now()}));
				this.#addOwn(records);
				options.onOwnNews('crash');
			},
		});
	}

	/** Number of crashes that are known and still count. */
	get crashCount(): number {
		return this.#records.crashCount;
	}

	/** Number of endpoints that may have crashed, as far as this instance and its peers suspect them. */
	get pendingCount(): number {
		return this.#records.pendingCount;
	}

	[Symbol.dispose](): void {
		this.monitor[Symbol.dispose]();
	}

	/** Whether a request must not be sent to any endpoint. Without known crashes this costs nothing. */
	quarantineOf(request: RepeatableRequest, now: number): QuarantineStatus | undefined {
		if (this.#records.isEmpty) {
			return undefined;
		}

		const statuses = keptFingerprintsOf(request).flatMap(fingerprint => this.#statusOf(fingerprint, now) ?? []);
		return statuses.find(({type}) => type === 'quarantined') ?? statuses[0];
	}

	/** Whether a request that has failed must not be sent to another endpoint. */
	isSuspect(request: RepeatableRequest, now: number): boolean {
		if (this.#records.isEmpty) {
			return false;
		}

		const isSuspected = keptFingerprintsOf(request).some(fingerprint => isSuspectAfterFailure(this.#records.weigh(fingerprint, now)));
		return isSuspected || this.quarantineOf(request, now) !== undefined;
	}

	/** Records that an endpoint has left a request unanswered: its connection broke, or it has been silent for longer than usual. */
	recordUnanswered(record: EndpointRecord, request: RepeatableRequest, {sentAt, sign, now}: {sentAt: number; sign: CrashSign; now: number}): void {
		this.monitor.recordUnanswered({record, fingerprints: fingerprintsOf(request), sentAt, sign}, now);
	}

	/** Records that a request ran to its end. This speaks against crashes that are known, and against those that are noticed or told a little later. */
	recordCompleted(request: RepeatableRequest, now: number): void {
		for (const fingerprint of fingerprintsOf(request)) {
			this.#recordCompleted(fingerprint, now);
		}
	}

	/** Records that an endpoint wrote on a request for a while before it ended without a complete response. */
	recordBegun({parts}: RepeatableRequest, now: number): void {
		for (const part of parts) {
			this.#completed.addBegun(fingerprintOfPart(part), now);
		}
	}

	/** Applies what another instance tells, with times on the clock of this one. */
	applyNews(news: Partial<CrashNews>, source: string): void {
		this.#told.add(news.pending ?? []);
		const added = this.#fold({...noCrashNews, ...news}, source);
		const {instance, instances, onOwnNews} = this.#options;
		const forwarded = forwardedNews(added, instance, instances());
		this.#tell(forwarded);
		if (this.share.unstoredOf(crashesOf(forwarded.records)).length > 0) {
			onOwnNews('told');
		}

		this.#completeWith(added);
	}

	/** The crashes that still count. */
	openCrashes(now: number): readonly CrashRecord[] {
		return this.#records.openCrashes(now, maxSentCrashes);
	}

	/** What this instance stores. */
	crashesToStore(now: number): readonly CrashRecord[] {
		return this.share.select(this.openCrashes(now), this.#options.instance, this.#options.instances());
	}

	/** Runs at this instance that speak for requests of several crashes. */
	ownRuns(now: number): readonly RunRecord[] {
		return this.#records.countedRuns(this.openCrashes(now)).filter(({instance}) => instance === this.#options.instance);
	}

	/** What a new peer needs that has read what is stored: what is not, and the runs here, which are stored some time after they are counted. */
	unstoredNews(now: number): CrashNews {
		return {pending: [], records: this.share.unstoredOf(this.openCrashes(now)), runs: this.ownRuns(now)};
	}

	/** What a new peer needs that does not reach the store. */
	openNews(now: number): CrashNews {
		const records = this.openCrashes(now);
		return {records, pending: [], runs: this.#records.countedRuns(records)};
	}

	prune(now: number): void {
		this.#records.prune(now);
		this.monitor.prune(now);
		const counted = new Set(this.openCrashes(now).map(({crash}) => crash));
		this.share.prune(crash => counted.has(crash));
		this.#toldRuns.prune(fingerprint => this.#records.runsAt(fingerprint, this.#options.instance) > 0);
		if (this.#records.isEmpty) {
			this.#log.clear();
		}

		if (this.pendingCount === 0) {
			this.#told.clear();
		}
	}

	#statusOf(fingerprint: string, now: number): QuarantineStatus | undefined {
		const weight = this.#records.weigh(fingerprint, now);
		const status = quarantineStatusOf(fingerprint, weight, now);
		if (status?.type !== 'quarantined') {
			this.#log.logWeight(fingerprint, weight);
		}

		return status;
	}

	#recordCompleted(fingerprint: string, now: number): void {
		this.#completed.add(fingerprint, now);
		if (this.#records.isEmpty) {
			return;
		}

		const pending = this.#records.pendingRecordsOf(fingerprint, now);
		if (pending.length > 0) {
			this.#dismiss(pending.map(record => ({...record, type: 'dismissed', time: now})), 'response');
		}

		if (this.#records.countNamed(fingerprint, now) > 0) {
			const runs = countRun(this.#records.runsAt(fingerprint, this.#options.instance));
			this.#addRuns([{fingerprint, runs}], this.#toldRuns.isWorthTelling(fingerprint, runs));
		}
	}

	/**
	 * Adds a suspicion. Other instances are told only of requests that are suspected of another crash too: under overload many endpoints seem
	 * silent for a moment, and each of these would be a message from every instance to every neighbour.
	 */
	#suspect({crash, fingerprints}: CrashOf): void {
		const now = performance.now();
		const repeated = fingerprints.filter(fingerprint => this.#records.weigh(fingerprint, now).possible > 0);
		this.#dismissCompleted(this.#fold({...noCrashNews, pending: [{type: 'pending', crash, fingerprints: [...fingerprints], time: now}]}, 'own attempt').pending);
		const told = repeated.flatMap(fingerprint => this.#records.pendingRecordsOf(fingerprint, now));
		if (told.length > 0) {
			this.#told.add(told);
			this.#options.onNews({...noCrashNews, pending: told});
		}
	}

	/** Takes suspicions back, at the other instances too if they know them. */
	#dismiss(dismissals: readonly PendingRecord[], source: string): void {
		const told = this.#fold({...noCrashNews, pending: dismissals}, source).pending.filter(record => this.#told.hasAny(record));
		if (told.length > 0) {
			this.#options.onNews({...noCrashNews, pending: told});
		}
	}

	/** Adds what this instance has noticed, and tells all others. */
	#addOwn(records: readonly QuarantineRecord[]): void {
		this.share.recordOwn(records);
		const added = this.#fold({...noCrashNews, records}, 'own attempt');
		this.#tell(added);
		this.#completeWith(added);
	}

	#tell(news: CrashNews): void {
		if (!isEmptyNews(news)) {
			this.#options.onNews(news);
		}
	}

	/** Applies to what was added the runs of shortly before. */
	#completeWith({records, pending}: CrashNews): void {
		this.#dismissCompleted(pending);
		this.#addRunsBeside(records);
	}

	/** Adds what is told; returns what is new. */
	#fold(news: CrashNews, source: string): CrashNews {
		const added = this.#records.fold(news);
		this.#log.logNews(added, source, (fingerprint, now) => this.#records.weigh(fingerprint, now));
		return added;
	}

	/** Runs of shortly before a crash speak for the requests that it names; those of before are told once they may matter. */
	#addRunsBeside(records: readonly QuarantineRecord[]): void {
		for (const record of records) {
			if (record.type === 'crashed') {
				const counted = record.fingerprints.map(fingerprint => ({
					fingerprint, runs: Math.max(this.#records.runsAt(fingerprint, this.#options.instance), this.#completed.countFor(fingerprint, record.time)),
				}));
				this.#addRuns(counted.filter(({runs}) => runs > 0), true);
			}
		}
	}

	/** Counts own runs of requests; the other instances are told, if due, of those against which several crashes count. */
	#addRuns(counted: ReadonlyArray<Pick<RunRecord, 'fingerprint' | 'runs'>>, isDue: boolean): void {
		const {instance, onNews, onOwnNews} = this.#options;
		const runs = counted.map(one => ({...one, instance}));
		this.#records.fold({...noCrashNews, runs});
		const now = performance.now();
		const told = isDue ? runs.filter(record => this.#toldRuns.hasGrown(record) && this.#records.countNamed(record.fingerprint, now) >= toldRunsFrom) : [];
		this.#toldRuns.record(told);
		if (told.length > 0) {
			onNews({...noCrashNews, runs: told});
			onOwnNews('runs');
		}
	}

	/** Takes back suspicions of requests that ran to their end elsewhere just before. */
	#dismissCompleted(pending: readonly PendingRecord[]): void {
		const now = performance.now();
		for (const {crash, fingerprints, time} of pending.filter(({type}) => type === 'pending')) {
			for (const fingerprint of fingerprints.filter(one => this.#completed.countBeside(one, time) > 0)) {
				this.#dismiss([{type: 'dismissed', crash, fingerprints: [fingerprint], time: now}], 'response');
			}
		}
	}
}

function crashesOf(records: readonly QuarantineRecord[]): readonly CrashRecord[] {
	return records.filter(record => record.type === 'crashed');
}
