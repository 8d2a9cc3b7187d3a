import {rankByRendezvous} from '../policy/hashing/index.js';
import {type CrashRecord} from '../policy/quarantine/index.js';
import {type PartLogger} from '../telemetry/index.js';
import {type CrashLedger} from './crash-ledger.js';

/** A crash as it is stored: its age counts from when it was written, since the clocks of instances differ. */
export type StoredCrash = Omit<CrashRecord, 'type' | 'time'> & {readonly ageMilliseconds: number};

/** What one instance has stored. */
export type StoredCrashes = {readonly instance: string; readonly crashes: readonly StoredCrash[]};

/** Where crashes are kept for instances that start when no other one runs. */
export type CrashStore = {
	read(): Promise<readonly StoredCrashes[]>;
	/** Replaces what an instance has stored; removes it if there is none. */
	write(stored: StoredCrashes): Promise<void>;
};

export type CrashArchiveOptions = {
	readonly instance: string;
	readonly store: CrashStore;
	readonly ledger: CrashLedger;
	/** Names of the known instances, with or without this one. */
	readonly instances: () => readonly string[];
	readonly logger: PartLogger;
};

/** Crashes that are noticed within this time are written together. */
const writeDelayMilliseconds = 200;
const retryMilliseconds = 1000;
const maxRetryFactor = 8;
/** Limit of the requests that an instance stores, so that a record stays within what the store accepts. */
const maxStoredFingerprints = 4000;

/**
 * Keeps the crashes that count in the store, each instance under its own name. Without it, a request that crashes endpoints would be forgotten
 * whenever all instances are lost at once, and crash as many endpoints again. Written only when this instance has noticed a crash, and when
 * its crashes no longer count.
 */
export class CrashArchive implements Disposable {
	static start(options: CrashArchiveOptions): CrashArchive {
		const archive = new CrashArchive(options);
		void archive.#restore();
		return archive;
	}

	readonly #options: CrashArchiveOptions;
	/** Instances that had crashes in the store when this one started. */
	#storedBefore: readonly string[] = [];
	#hasStored = false;
	#isWriting = false;
	#isOutdated = false;
	#isDisposed = false;

	private constructor(options: CrashArchiveOptions) {
		this.#options = options;
	}

	/** Stores the crashes that this instance knows. */
	save(): void {
		this.#isOutdated = true;
		if (!this.#isWriting) {
			this.#isWriting = true;
			void this.#write();
		}
	}

	/** Removes what no longer counts from the store: its own crashes, and those of instances that are gone. */
	prune(now: number): void {
		if (this.#options.ledger.openCrashes(now).length > 0) {
			return;
		}

		if (this.#hasStored) {
			this.save();
		}

		void this.#removeOrphans();
	}

	[Symbol.dispose](): void {
		this.#isDisposed = true;
	}

	async #restore(): Promise<void> {
		const {store, ledger, instance, logger} = this.#options;
		const stored = await this.#untilSuccess('read', async () => store.read());
		if (stored === undefined || stored.length === 0) {
			return;
		}

		const now = performance.now();
		const crashes = stored.flatMap(one => one.crashes.map(({ageMilliseconds, ...crash}): CrashRecord => ({type: 'crashed', ...crash, time: now - ageMilliseconds})));
		logger.info('Crashes read from the store.', {instances: stored.length, crashes: crashes.length});
		ledger.applyNews({records: crashes}, 'store');
		this.#hasStored ||= stored.some(one => one.instance === instance);
		this.#storedBefore = stored.map(one => one.instance).filter(name => name !== instance);
	}

	async #write(): Promise<void> {
		const {store, ledger, instance, logger} = this.#options;
		while (this.#isOutdated && !this.#isDisposed) {
			await sleep(writeDelayMilliseconds);
			this.#isOutdated = false;
			const crashes = await this.#untilSuccess('store', async () => {
				const stored = toStored(ledger.openCrashes(performance.now()), performance.now());
				await store.write({instance, crashes: stored});
				return stored;
			});
			this.#hasStored = crashes !== undefined && crashes.length > 0;
			logger.info('Crashes stored.', {crashes: crashes?.length ?? 0});
		}

		this.#isWriting = false;
	}

	/** One of the instances removes what instances that are gone have left. */
	async #removeOrphans(): Promise<void> {
		const {instance, instances, store} = this.#options;
		const present = new Set([...instances(), instance]);
		const orphans = this.#storedBefore.filter(name => !present.has(name) && rankByRendezvous(name, present)[0] === instance);
		this.#storedBefore = this.#storedBefore.filter(name => !orphans.includes(name));
		for (const name of orphans) {
			await this.#untilSuccess('remove', async () => store.write({instance: name, crashes: []}));
		}
	}

	/** Repeats a call until it succeeds; undefined if this instance stops before. */
	async #untilSuccess<Result>(call: 'read' | 'store' | 'remove', run: () => Promise<Result>): Promise<Result | undefined> {
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
