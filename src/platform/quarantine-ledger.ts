import {channel, receive, receiveWithin, spawn, tryDeliver, wait, type Body, type Channel} from '../concurrency/index.js';
import {
	createQuarantine, createReleasedRecord, foldQuarantine, evaluateFingerprint, listQuarantined, pruneQuarantine, quarantineRecordSchema, Suspicion,
	type FingerprintStatus, type Quarantine, type QuarantineRecord,
} from '../policy/quarantine/index.js';
import {type LogClient} from './types.js';

/** The stream that every process reads: crashes and clearings are rare. */
export const quarantineStream = 'quarantine';

const pollMilliseconds = 10_000;
const retryMilliseconds = 1000;
/** A log that answers at once though it has nothing new must not be asked without a pause. */
const idleMilliseconds = 20;
/** Records that wait for a log that is down; they have been spread by frames already. */
const outboxCapacity = 500;

/** Called with records that this process did not know. Those from the log need no passing on, as all processes read it. */
export type NewsListener = (records: readonly QuarantineRecord[], from: 'process' | 'log') => void;

export type QuarantineLedgerSettings = {
	readonly log: LogClient;
	readonly onLog?: (message: string) => void;
	/** Milliseconds since 1970. */
	readonly now?: () => number;
};

/**
 * What this process knows about requests that crash endpoints. Records come from this process, from
 * peers by frame, which is fast, and from the log, which reaches those that no frame reached.
 */
export class QuarantineLedger implements AsyncDisposable {
	static create(settings: QuarantineLedgerSettings): QuarantineLedger {
		const ledger = new QuarantineLedger(settings);
		ledger.#done = [spawn('quarantine-tail', () => ledger.#tail()), spawn('quarantine-append', () => ledger.#appendAll())];
		return ledger;
	}

	readonly #settings: QuarantineLedgerSettings;
	readonly #listeners = new Set<NewsListener>();
	readonly #abort = new AbortController();
	readonly #stop: Channel<never> = channel<never>(1);
	readonly #outbox: Channel<QuarantineRecord> = channel<QuarantineRecord>(outboxCapacity);
	#state: Quarantine = createQuarantine();
	#records: QuarantineRecord[] = [];
	#done: ReadonlyArray<Promise<void>> = [];
	/** Whether the log has left a reading without an answer since it last gave one: a long wait would hang through its return. */
	#isDoubted = false;

	private constructor(settings: QuarantineLedgerSettings) {
		this.#settings = settings;
	}

	/** What is held against a fingerprint now. */
	evaluate(fingerprint: string): FingerprintStatus {
		return evaluateFingerprint(this.#state, fingerprint, this.#now());
	}

	/** Everything that is known. */
	get state(): Quarantine {
		return this.#state;
	}

	/** Every quarantined fingerprint, for operators. */
	quarantined(): ReturnType<typeof listQuarantined> {
		return listQuarantined(this.#state, this.#now());
	}

	/** Lets a quarantined fingerprint run again; false if nothing is held against it. */
	release(fingerprint: string, operator: string): boolean {
		if (this.evaluate(fingerprint).suspicion !== Suspicion.quarantined) {
			return false;
		}

		this.addRecord(createReleasedRecord(this.#state, fingerprint, operator, this.#now()));
		return true;
	}

	/** Every record that still counts: what a peer needs that has just connected. */
	records(): readonly QuarantineRecord[] {
		return this.#records;
	}

	/** Adds a record of this process, passes it on, and writes it to the log. */
	addRecord(record: QuarantineRecord): void {
		if (this.#fold([record], 'process') > 0) {
			tryDeliver(this.#outbox, record);
		}
	}

	/** Takes records from a peer; those that were not known are passed on once. */
	receiveRecords(records: readonly unknown[]): void {
		this.#fold(records, 'process');
	}

	/** Tells the listener of every record from now on. */
	addListener(listener: NewsListener): void {
		this.#listeners.add(listener);
	}

	async [Symbol.asyncDispose](): Promise<void> {
		this.#abort.abort();
		this.#stop.close();
		this.#outbox.close();
		await Promise.all(this.#done);
	}

	#now(): number {
		return (this.#settings.now ?? Date.now)();
	}

	#fold(values: readonly unknown[], from: 'process' | 'log'): number {
		const news: QuarantineRecord[] = [];
		for (const value of values) {
			const parsed = quarantineRecordSchema.safeParse(value);
			if (parsed.success && !this.#knows(parsed.data)) {
				this.#state = foldQuarantine(this.#state, parsed.data);
				news.push(parsed.data);
			}
		}

		if (news.length > 0) {
			this.#records = [...this.#records, ...news];
			this.#prune();
			for (const listener of this.#listeners) {
				listener(news, from);
			}
		}

		return news.length;
	}

	#knows(record: QuarantineRecord): boolean {
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
			const pause = yield * this.#readPage(next);
			next = pause.next;
			yield * receiveWithin(this.#stop, pause.milliseconds);
		}
	}

	* #readPage(from: number): Body<{next: number; milliseconds: number}> {
		try {
			const page = yield * wait(this.#settings.log.read(quarantineStream, from, {waitMilliseconds: this.#isDoubted ? 0 : pollMilliseconds, signal: this.#abort.signal}));
			this.#isDoubted = false;
			if (page.type === 'gone') {
				return {next: page.first, milliseconds: 0};
			}

			this.#fold(page.records.map(({value}) => value), 'log');
			return {next: (page.records.at(-1)?.offset ?? (from - 1)) + 1, milliseconds: idleMilliseconds};
		} catch (error) {
			if (!this.#isDoubted && !this.#abort.signal.aborted) {
				this.#settings.onLog?.(`quarantine: The log can't be read: ${String(error)}`);
			}

			this.#isDoubted = true;
			return {next: from, milliseconds: retryMilliseconds};
		}
	}

	/** A record that the log may have twice does no harm, so an append is repeated until it is certain. */
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
