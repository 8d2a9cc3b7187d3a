import {rankByRendezvous} from '../../policy/hashing/index.js';
import {type CrashRecord} from '../../policy/quarantine/index.js';
import {type PartLogger} from '../../telemetry/index.js';
import {type CrashLedger} from './crash-ledger.js';
import {type StoredNews} from './crash-ledger-options.js';

/** A crash as it is stored. Its age is stored and not its time: the clocks of instances differ. */
export type StoredCrash = {readonly crash: string; readonly endpoint: string; readonly fingerprints: string[]; readonly ageMilliseconds: number};

/** Complete runs at the storing instance of a request that crashed endpoints. */
export type StoredRuns = {readonly fingerprint: string; readonly runs: number};

/** What one instance has stored. */
export type StoredCrashes = {readonly instance: string; readonly crashes: readonly StoredCrash[]; readonly runs: readonly StoredRuns[]};

export type CrashArchiveOptions = {
	readonly instance: string;
	/** Replaces what an instance has stored; removes it if there is none. What is stored outlives all instances. */
	readonly write: (stored: StoredCrashes) => Promise<void>;
	readonly ledger: CrashLedger;
	/** Names of the known instances, with or without this one. */
	readonly instances: () => readonly string[];
	readonly logger: PartLogger;
};

/** What is noticed within this time is written together. Runs are news for the next start; they wait for more. Whoever tells of a crash stores it in less than the last time. */
const writeDelayMilliseconds: Readonly<Record<StoredNews, number>> = {crash: 200, runs: 3000, told: 3000};
/** Interval at which a write that waits looks whether it is due. */
const dueCheckMilliseconds = 100;
const retryMilliseconds = 1000;
const maxRetryFactor = 8;
/** Limits of the requests, and of the counts of runs, that an instance stores, so that a record stays within what the store accepts. */
const maxStoredFingerprints = 4000;
const maxStoredRuns = 1000;

/**
 * Keeps the crashes that count in the store, each instance its share under its own name, and takes in what the others store. Without the first, a request
 * that crashes endpoints would be forgotten whenever all instances are lost at once; without the second, instances that reach the store but not
 * each other would each have to see its crashes. Written only when this instance has noticed something, was told something that nobody has stored, and when its crashes no longer count.
 */
export class CrashArchive implements Disposable {
	static create(options: CrashArchiveOptions): CrashArchive {
		return new CrashArchive(options);
	}

	readonly #options: CrashArchiveOptions;
	/** Instances that have stored crashes. */
	readonly #storing = new Set<string>();
	#hasStored = false;
	#isWriting = false;
	/** What has come since the last write began. */
	readonly #unwritten = new Set<StoredNews>();
	/** When the next write is due, on the monotonic clock. */
	#dueAt = Infinity;
	#isDisposed = false;

	private constructor(options: CrashArchiveOptions) {
		this.#options = options;
	}

	/** Stores this instance's share of the crashes that it knows. */
	save(kind: StoredNews): void {
		this.#unwritten.add(kind);
		this.#dueAt = Math.min(this.#dueAt, performance.now() + writeDelayMilliseconds[kind]);
		if (!this.#isWriting) {
			this.#isWriting = true;
			void this.#write();
		}
	}

	/** Takes in what instances had stored when it was read; this one may have done so in an earlier life. */
	restore(stored: readonly StoredCrashes[]): void {
		const own = stored.filter(({instance}) => instance === this.#options.instance);
		this.#hasStored ||= own.length > 0;
		this.#options.ledger.share.recordOwn(recordsOf(own, performance.now()));
		this.#apply(stored);
	}

	/** Takes in what other instances store. */
	receive(stored: readonly StoredCrashes[]): void {
		this.#apply(stored.filter(({instance}) => instance !== this.#options.instance));
	}

	/** Removes what no longer counts from the store: its own crashes, and those of instances that are gone. */
	prune(now: number): void {
		if (this.#options.ledger.openCrashes(now).length > 0) {
			return;
		}

		if (this.#hasStored) {
			this.save('crash');
		}

		void this.#removeOrphans();
	}

	[Symbol.dispose](): void {
		this.#isDisposed = true;
	}

	#apply(stored: readonly StoredCrashes[]): void {
		const {ledger, logger} = this.#options;
		const now = performance.now();
		const records = recordsOf(stored, now);
		const runs = stored.flatMap(one => one.runs.map(counted => ({...counted, instance: one.instance})));
		if (records.length === 0) {
			return;
		}

		logger.info('Crashes read from the store.', {instances: stored.map(({instance}) => instance), crashes: records.length, names: countNames(records), runs: runs.length});
		for (const {instance} of stored) {
			this.#storing.add(instance);
		}

		ledger.share.recordStored(records);
		ledger.applyNews({records, runs}, 'store');
	}

	async #write(): Promise<void> {
		const {instance, logger} = this.#options;
		while (this.#unwritten.size > 0 && !this.#isDisposed) {
			await this.#untilDue();
			const isOnlyTold = this.#unwritten.size === 1 && this.#unwritten.has('told');
			this.#unwritten.clear();
			this.#dueAt = Infinity;
			if (isOnlyTold && this.#isShareStored()) {
				continue;
			}

			const stored = await this.#untilSuccess('store', async () => this.#writeShare(instance));
			this.#hasStored = stored !== undefined && stored.crashes.length > 0;
			logger.info('Crashes stored.', {crashes: stored?.crashes.length ?? 0, names: stored === undefined ? 0 : countNames(stored.crashes), runs: stored?.runs.length ?? 0});
		}

		this.#isWriting = false;
	}

	/** Whether others have stored meanwhile what this instance was told. */
	#isShareStored(): boolean {
		const {ledger} = this.#options;
		return ledger.share.unstoredOf(ledger.crashesToStore(performance.now())).length === 0;
	}

	async #writeShare(instance: string): Promise<StoredCrashes> {
		const {write, ledger} = this.#options;
		const now = performance.now();
		const records = ledger.crashesToStore(now);
		const stored = {instance, crashes: toStored(records, now), runs: ledger.ownRuns(now).slice(0, maxStoredRuns)};
		await write(stored);
		ledger.share.recordStored(recordsOf([stored], now));
		return stored;
	}

	async #untilDue(): Promise<void> {
		while (performance.now() < this.#dueAt && !this.#isDisposed) {
			await sleep(dueCheckMilliseconds);
		}
	}

	/** One of the instances removes what instances that are gone have left. */
	async #removeOrphans(): Promise<void> {
		const {instance, instances, write} = this.#options;
		const present = new Set([...instances(), instance]);
		const orphans = [...this.#storing].filter(name => !present.has(name) && rankByRendezvous(name, present)[0] === instance);
		for (const name of orphans) {
			this.#storing.delete(name);
			await this.#untilSuccess('remove', async () => write({instance: name, crashes: [], runs: []}));
		}
	}

	/** Repeats a call until it succeeds; undefined if this instance stops before. */
	async #untilSuccess<Result>(call: 'store' | 'remove', run: () => Promise<Result>): Promise<Result | undefined> {
		for (let tries = 1; !this.#isDisposed; tries++) {
			try {
				return await run();
			} catch (error) {
				if (tries === 1) {
					this.#options.logger.warn('The store did not answer about crashes, trying again.', {call, reason: String(error)});
				}

				await sleep(retryMilliseconds * Math.min(tries, maxRetryFactor));
			}
		}

		return undefined;
	}
}

/** How many requests and parts crashes name: what a record's length grows with. */
function countNames(crashes: ReadonlyArray<Pick<StoredCrash, 'fingerprints'>>): number {
	return crashes.reduce((sum, {fingerprints}) => sum + fingerprints.length, 0);
}

/** The crashes that instances have stored, with times on the clock of this instance. */
function recordsOf(stored: readonly StoredCrashes[], now: number): readonly CrashRecord[] {
	return stored.flatMap(({crashes}) => crashes.map(({ageMilliseconds, ...crash}): CrashRecord => ({type: 'crashed', ...crash, time: now - ageMilliseconds})));
}

/** The newest crashes, without those that would exceed the limit. */
function toStored(crashes: readonly CrashRecord[], now: number): StoredCrash[] {
	let fingerprints = 0;
	return crashes.flatMap(({type: _type, time, ...crash}) => {
		fingerprints += crash.fingerprints.length;
		return fingerprints <= maxStoredFingerprints ? [{...crash, ageMilliseconds: Math.max(0, now - time)}] : [];
	});
}

async function sleep(milliseconds: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, milliseconds).unref();
	});
}
