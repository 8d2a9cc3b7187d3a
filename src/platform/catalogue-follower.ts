import {
	applyRecord, Catalogue, catalogueStream, defaultSnapshotSettings, describeRejection, isSnapshotDue, snapshotSchema,
	type RecordVerdict, type SnapshotSettings, type SnapshotState, type StreamRecord,
} from '../catalogue/index.js';
import {
	channel, receiveWithin, spawn, wait, type Body, type Channel,
} from '../concurrency/index.js';
import {locateSnapshot} from './catalogue-stream.js';
import {RecordHistory, type TextRecord} from './record-history.js';
import {type LogClient, type ReadResult} from './types.js';

/** What `pull` is answered with; the fields of the `records` message. */
export type RecordsAnswer = {readonly snapshot: boolean; readonly records: readonly TextRecord[]};

/** One record of the audit trail, as this process has folded it. */
export type AuditEntry = {readonly offset: number; readonly time: number; readonly value: unknown; readonly verdict: RecordVerdict};

export type FollowerTimes = {
	/** How long the log may hold a read open. Longer costs it less; it answers at once when a record comes. */
	readonly pollMilliseconds: number;
	readonly firstRetryMilliseconds: number;
	readonly longestRetryMilliseconds: number;
	readonly snapshotCheckMilliseconds: number;
	/** The random wait before a snapshot is written: long enough that one of a thousand readers is first. */
	readonly snapshotSpreadMilliseconds: number;
};

/**
 * Retries reach five seconds at most, because a change must be in force within five seconds of the
 * log's return. With a thousand readers spread over a minute, one or two write before they see another's.
 */
export const defaultFollowerTimes: FollowerTimes = {
	pollMilliseconds: 10_000, firstRetryMilliseconds: 100, longestRetryMilliseconds: 2000, snapshotCheckMilliseconds: 5000, snapshotSpreadMilliseconds: 60_000,
};

export type FollowerOptions = {
	readonly log: LogClient;
	readonly instance: string;
	readonly onAdvance?: (catalogue: Catalogue) => void;
	readonly onLog?: (message: string) => void;
	/** A number from 0 up to 1. */
	readonly random?: () => number;
	/** Milliseconds since 1970. */
	readonly now?: () => number;
	readonly times?: Partial<FollowerTimes>;
	readonly snapshots?: SnapshotSettings;
};

const readLimit = 500;
const auditLimit = 200;
/** A log that answers at once though it has nothing new must not be asked without a pause. */
const idleMilliseconds = 20;

/**
 * Keeps a process's catalogue current: it tails the log, takes records from peers, and writes a
 * snapshot when a reader that starts later would need one. The catalogue's offset only rises.
 */
export class CatalogueFollower implements AsyncDisposable {
	static create(options: FollowerOptions): CatalogueFollower {
		const follower = new CatalogueFollower(options);
		follower.#done = [
			spawn('catalogue-tail', () => follower.#tail()),
			spawn('catalogue-snapshots', () => follower.#writeSnapshots()),
		];
		return follower;
	}

	/** Settles once this process has a catalogue, from the log or from a peer. */
	readonly ready: Promise<void>;
	readonly #options: FollowerOptions;
	readonly #times: FollowerTimes;
	readonly #abort = new AbortController();
	readonly #stop: Channel<never> = channel<never>(1);
	readonly #history = RecordHistory.create();
	#done: ReadonlyArray<Promise<void>> = [];
	#catalogue = Catalogue.empty();
	#snapshots: SnapshotState = {first: 0};
	#snapshotSeenAt = Number.NEGATIVE_INFINITY;
	#audit: AuditEntry[] = [];
	#resolveReady!: () => void;
	#isReady = false;
	/**
	 * Failure: a reading with a long wait is sent into a log that says nothing. Symptom: it hangs for its whole wait after the log's return.
	 * In doubt a reading asks for what is there.
	 */
	#isDoubted = false;

	private constructor(options: FollowerOptions) {
		this.#options = options;
		this.#times = {...defaultFollowerTimes, ...options.times};
		this.ready = new Promise(resolve => {
			this.#resolveReady = resolve;
		});
	}

	get isReady(): boolean {
		return this.#isReady;
	}

	/** The catalogue as far as this process has read it. */
	current(): Catalogue {
		return this.#catalogue;
	}

	/** The newest records with their verdicts, oldest first. */
	recentAudit(): readonly AuditEntry[] {
		return this.#audit;
	}

	/** What a peer that asks for records from `offset` on gets: the records, or the whole catalogue if too many are missing. */
	recordsFrom(offset: number): RecordsAnswer {
		const records = this.#history.from(offset);
		if (records) {
			return {snapshot: false, records};
		}

		const value = JSON.stringify(this.#catalogue.snapshot(this.#options.instance));
		return {snapshot: true, records: [{offset: this.#catalogue.offset, time: this.#now(), value}]};
	}

	/** Takes a peer's answer to `pull`. True if the catalogue moved on; records it has seen do nothing. */
	accept(answer: RecordsAnswer): boolean {
		const before = this.#catalogue.offset;
		for (const record of answer.records) {
			const parsed = {offset: record.offset, time: record.time, value: parseText(record.value)};
			if (answer.snapshot) {
				this.#restorePeer(parsed);
			} else {
				this.#apply(parsed);
			}
		}

		if (this.#catalogue.offset > before) {
			this.#advanced();
			return true;
		}

		return false;
	}

	async [Symbol.asyncDispose](): Promise<void> {
		this.#abort.abort();
		this.#stop.close();
		await Promise.all(this.#done);
	}

	* #tail(): Body<void> {
		let retryMilliseconds = this.#times.firstRetryMilliseconds;
		while (!this.#abort.signal.aborted) {
			const result = yield * this.#read(this.#catalogue.offset + 1);
			if (!result) {
				yield * receiveWithin(this.#stop, retryMilliseconds * (0.5 + (this.#random() / 2)));
				retryMilliseconds = Math.min(retryMilliseconds * 2, this.#times.longestRetryMilliseconds);
				continue;
			}

			if (result.type === 'records') {
				retryMilliseconds = this.#times.firstRetryMilliseconds;
				if (!this.#takeRecords(result)) {
					yield * receiveWithin(this.#stop, idleMilliseconds);
				}

				continue;
			}

			if (yield * this.#restart(result.first)) {
				continue;
			}

			this.#log(`catalogue: The log starts at ${result.first} and holds no usable snapshot; waiting for a peer or a snapshot.`);
			yield * receiveWithin(this.#stop, this.#times.longestRetryMilliseconds);
		}
	}

	/** Reads once; undefined if the log can't be reached. */
	* #read(from: number): Body<ReadResult | undefined> {
		const {log} = this.#options;
		const waitMilliseconds = this.#isDoubted ? 0 : this.#times.pollMilliseconds;
		try {
			const result = yield * wait(log.read(catalogueStream, from, {limit: readLimit, waitMilliseconds, signal: this.#abort.signal}));
			this.#isDoubted = false;
			return result;
		} catch (error) {
			this.#isDoubted = true;
			if (!this.#abort.signal.aborted) {
				this.#log(`catalogue: The log can't be read: ${String(error)}`);
			}

			return undefined;
		}
	}

	/** True if the catalogue moved on. */
	#takeRecords(result: Extract<ReadResult, {type: 'records'}>): boolean {
		this.#snapshots = {...this.#snapshots, first: result.first};
		const before = this.#catalogue.offset;
		for (const record of result.records) {
			this.#apply(record);
		}

		const complete = this.#catalogue.offset + 1 >= result.next;
		if (complete) {
			this.#becomeReady();
		}

		if (this.#catalogue.offset > before) {
			this.#advanced(complete);
		}

		return this.#catalogue.offset > before;
	}

	* #restart(first: number): Body<boolean> {
		const located = yield * locateSnapshot(from => this.#read(from), first);
		if (!located || located.catalogue.offset <= this.#catalogue.offset) {
			return false;
		}

		this.#restore(located.catalogue, located.record);
		return true;
	}

	#restore(catalogue: Catalogue, record: StreamRecord): void {
		this.#catalogue = catalogue;
		this.#history.clear();
		this.#snapshots = {...this.#snapshots, latest: {through: catalogue.offset, time: record.time}};
		this.#log(`catalogue: Restored from the snapshot through ${catalogue.offset}.`);
	}

	#restorePeer(record: StreamRecord): void {
		const parsed = snapshotSchema.safeParse(record.value);
		if (!parsed.success || parsed.data.through <= this.#catalogue.offset) {
			return;
		}

		this.#catalogue = Catalogue.restore(parsed.data);
		this.#history.clear();
		this.#log(`catalogue: Took the catalogue through ${parsed.data.through} from a peer.`);
	}

	#apply(record: StreamRecord): void {
		const {catalogue, verdict} = applyRecord(this.#catalogue, record);
		if (verdict.type === 'repeated' || verdict.type === 'gap') {
			return;
		}

		this.#catalogue = catalogue;
		this.#history.add(record);
		this.#audit = [...this.#audit.slice(1 - auditLimit), {...record, verdict}];
		if (verdict.type === 'rejected') {
			this.#log(`catalogue: Record ${record.offset} was rejected: ${verdict.reasons.map(reason => describeRejection(reason)).join('; ')}.`);
			return;
		}

		const snapshot = verdict.differences.length === 0 ? snapshotSchema.safeParse(record.value) : undefined;
		if (snapshot?.success) {
			this.#snapshots = {...this.#snapshots, latest: {through: snapshot.data.through, time: record.time}};
			this.#snapshotSeenAt = performance.now();
		}
	}

	/** A peer's word is a catalogue too: a process that starts while the log is down is ready by it. */
	#advanced(isCatalogue = true): void {
		if (isCatalogue) {
			this.#becomeReady();
		}

		this.#options.onAdvance?.(this.#catalogue);
	}

	#becomeReady(): void {
		if (!this.#isReady) {
			this.#isReady = true;
			this.#resolveReady();
		}
	}

	* #writeSnapshots(): Body<void> {
		while (!this.#abort.signal.aborted) {
			yield * receiveWithin(this.#stop, this.#times.snapshotCheckMilliseconds);
			if (!this.#isDue()) {
				continue;
			}

			yield * receiveWithin(this.#stop, this.#random() * this.#times.snapshotSpreadMilliseconds);
			if (this.#isDue() && !this.#abort.signal.aborted) {
				yield * this.#append();
			}
		}
	}

	/**
	 * Failure: this instance's clock is ahead by hours, so that every snapshot looks old, or the log is
	 * slow, so that its own is not read back. Symptom: it floods the log. A quarter of the interval by
	 * its monotonic clock bounds what it writes, and leaves it several tries before retention.
	 */
	#isDue(): boolean {
		const settings = this.#options.snapshots ?? defaultSnapshotSettings;
		const seenRecently = performance.now() - this.#snapshotSeenAt < settings.intervalMilliseconds / 4;
		return this.#isReady && !seenRecently && isSnapshotDue(this.#catalogue, this.#snapshots, this.#now(), settings);
	}

	/** A lost answer needs no retry of its own: the snapshot is read back, or found due again. */
	* #append(): Body<void> {
		const {log, instance} = this.#options;
		this.#snapshotSeenAt = performance.now();
		try {
			const result = yield * wait(log.append(catalogueStream, this.#catalogue.snapshot(instance)));
			this.#log(`catalogue: Snapshot through ${this.#catalogue.offset}: ${result.type}.`);
		} catch (error) {
			this.#log(`catalogue: The snapshot can't be written: ${String(error)}`);
		}
	}

	#now(): number {
		return this.#options.now?.() ?? Date.now();
	}

	#random(): number {
		return this.#options.random?.() ?? Math.random();
	}

	#log(message: string): void {
		this.#options.onLog?.(message);
	}
}

/** A text that is no JSON counts as an unknown value, which the fold rejects like any other reader does. */
function parseText(text: string): unknown {
	try {
		return JSON.parse(text);
	} catch {
		return undefined;
	}
}
