import {channel, receive, receiveWithin, spawn, tryDeliver, wait, type Body, type Channel} from '../concurrency/index.js';
import {
	createQuarantine, createReleasedRecord, foldQuarantine, evaluateFingerprint, listQuarantined, pruneQuarantine, quarantineRecordSchema, Suspicion,
	type FingerprintStatus, type Quarantine, type QuarantineRecord,
} from '../policy/quarantine/index.js';
import {type LogClient} from './types.js';

/** The quarantine's stream in the log. Every process reads all of it, since crashes and releases are rare. */
export const quarantineStream = 'quarantine';

const pollMilliseconds = 10_000;
const retryMilliseconds = 1000;
/** Pause after a read, so that a log that does not wait is not polled in a busy loop. */
const readPauseMilliseconds = 20;
/** Largest number of records queued for the log while it is unavailable; peers have already received them in wire messages. */
const outboxCapacity = 500;

/**
 * Called with records that were new to this process. `process` means that they come from this process or a peer; records from the log
 * need not be forwarded, because all processes read it.
 */
export type RecordListener = (records: readonly QuarantineRecord[], from: 'process' | 'log') => void;

export type QuarantineLedgerSettings = {
	readonly log: LogClient;
	readonly onLog?: (message: string) => void;
	/** Returns the time in milliseconds since 1970. */
	readonly now?: () => number;
};

/**
 * The records of requests that crash endpoints. They come from this process, from peers in wire messages,
 * which is fast, and from the log, which also reaches processes that received no such message.
 */
export class QuarantineLedger implements AsyncDisposable {
	static create(settings: QuarantineLedgerSettings): QuarantineLedger {
		const ledger = new QuarantineLedger(settings);
		ledger.#tasks = [spawn('quarantine-tail', () => ledger.#tail()), spawn('quarantine-append', () => ledger.#appendAll())];
		return ledger;
	}

	readonly #settings: QuarantineLedgerSettings;
	readonly #listeners = new Set<RecordListener>();
	readonly #abort = new AbortController();
	readonly #stop: Channel<never> = channel<never>(1);
	readonly #outbox: Channel<QuarantineRecord> = channel<QuarantineRecord>(outboxCapacity);
	#state: Quarantine = createQuarantine();
	#records: QuarantineRecord[] = [];
	#tasks: ReadonlyArray<Promise<void>> = [];
	/** True after a failed read, until one succeeds. Reads then don't wait for new records: a long poll sent to an unresponsive log would hang after the log is available again. */
	#isLogUnavailable = false;

	private constructor(settings: QuarantineLedgerSettings) {
		this.#settings = settings;
	}

	/** The current status of a fingerprint. */
	evaluate(fingerprint: string): FingerprintStatus {
		return evaluateFingerprint(this.#state, fingerprint, this.#now());
	}

	/** The state after all known records. */
	get state(): Quarantine {
		return this.#state;
	}

	/** All quarantined fingerprints, for operators. */
	quarantined(): ReturnType<typeof listQuarantined> {
		return listQuarantined(this.#state, this.#now());
	}

	/** Releases a quarantined fingerprint, so that its requests run again; false if it is not quarantined. */
	release(fingerprint: string, operator: string): boolean {
		if (this.evaluate(fingerprint).suspicion !== Suspicion.quarantined) {
			return false;
		}

		this.addRecord(createReleasedRecord(this.#state, fingerprint, operator, this.#now()));
		return true;
	}

	/** All records that are still in effect, for a peer that has just connected. */
	records(): readonly QuarantineRecord[] {
		return this.#records;
	}

	/** Adds a record of this process, notifies the listeners, and writes it to the log. */
	addRecord(record: QuarantineRecord): void {
		if (this.#fold([record], 'process') > 0) {
			tryDeliver(this.#outbox, record);
		}
	}

	/** Adds records from a peer; the listeners are notified of the new ones. */
	receiveRecords(records: readonly unknown[]): void {
		this.#fold(records, 'process');
	}

	/** Calls the listener with every new record from now on. */
	addListener(listener: RecordListener): void {
		this.#listeners.add(listener);
	}

	async [Symbol.asyncDispose](): Promise<void> {
		this.#abort.abort();
		this.#stop.close();
		this.#outbox.close();
		await Promise.all(this.#tasks);
	}

	#now(): number {
		return (this.#settings.now ?? Date.now)();
	}

	#fold(values: readonly unknown[], from: 'process' | 'log'): number {
		const newRecords: QuarantineRecord[] = [];
		for (const value of values) {
			const parsed = quarantineRecordSchema.safeParse(value);
			if (parsed.success && !this.#isKnown(parsed.data)) {
				this.#state = foldQuarantine(this.#state, parsed.data);
				newRecords.push(parsed.data);
			}
		}

		if (newRecords.length > 0) {
			this.#records = [...this.#records, ...newRecords];
			this.#prune();
			for (const listener of this.#listeners) {
				listener(newRecords, from);
			}
		}

		return newRecords.length;
	}

	#isKnown(record: QuarantineRecord): boolean {
		if (record.type === 'crashed') {
			return this.#state.crashes.has(record.crash);
		}

		const cleared = this.#state.cleared.get(record.fingerprint);
		return record.crashes.every(crash => cleared?.has(crash));
	}

	#prune(): void {
		this.#state = pruneQuarantine(this.#state, this.#now());
		const {crashes} = this.#state;
		this.#records = this.#records.filter(record => record.type === 'crashed' ? crashes.has(record.crash) : record.crashes.some(crash => crashes.has(crash)));
	}

	* #tail(): Body<void> {
		let next = 0;
		while (!this.#abort.signal.aborted) {
			const result = yield * this.#readPage(next);
			next = result.next;
			yield * receiveWithin(this.#stop, result.milliseconds);
		}
	}

	* #readPage(from: number): Body<{next: number; milliseconds: number}> {
		try {
			const page = yield * wait(this.#settings.log.read(quarantineStream, from, {waitMilliseconds: this.#isLogUnavailable ? 0 : pollMilliseconds, signal: this.#abort.signal}));
			this.#isLogUnavailable = false;
			if (page.type === 'gone') {
				return {next: page.first, milliseconds: 0};
			}

			this.#fold(page.records.map(({value}) => value), 'log');
			return {next: (page.records.at(-1)?.offset ?? (from - 1)) + 1, milliseconds: readPauseMilliseconds};
		} catch (error) {
			if (!this.#isLogUnavailable && !this.#abort.signal.aborted) {
				this.#settings.onLog?.(`quarantine: Reading the log failed: ${String(error)}`);
			}

			this.#isLogUnavailable = true;
			return {next: from, milliseconds: retryMilliseconds};
		}
	}

	/** Duplicate records in the log are harmless, so an append is retried until it is confirmed. */
	* #appendAll(): Body<void> {
		for (;;) {
			const record = yield * receive(this.#outbox);
			if (record === undefined) {
				return;
			}

			yield * this.#append(record);
		}
	}

	* #append(record: QuarantineRecord): Body<void> {
		while (!this.#abort.signal.aborted) {
			const result = yield * wait(this.#settings.log.append(quarantineStream, record));
			if (result.type === 'appended') {
				return;
			}

			yield * receiveWithin(this.#stop, retryMilliseconds);
		}
	}
}
