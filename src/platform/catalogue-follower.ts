import {
	applyRecord, Catalogue, catalogueStream, defaultSnapshotSettings, describeRejection, isSnapshotDue, snapshotSchema,
	type RecordVerdict, type SnapshotSettings, type SnapshotState, type StreamRecord,
} from '../catalogue/index.js';
import {channel, receiveWithin, spawn, wait, type Body, type Channel} from '../concurrency/index.js';
import {type AuditEntry, defaultFollowerTimes, type FollowerOptions, type FollowerTimes, type RecordsResponse} from './catalogue-follower-options.js';
import {locateSnapshot} from './catalogue-stream.js';
import {RecordHistory, type TextRecord} from './record-history.js';
import {type LogClient, type ReadResult} from './types.js';

const readLimit = 500;
const auditLimit = 200;
/** Pause after a read without new records, so that a log that does not wait is not polled in a busy loop. */
const emptyReadPauseMilliseconds = 20;

/**
 * Keeps a process's catalogue current: it tails the log, applies records from peers, and writes a
 * snapshot when a reader that starts later would need one. The catalogue's offset never decreases.
 */
export class CatalogueFollower implements AsyncDisposable {
	static create(options: FollowerOptions): CatalogueFollower {
		const follower = new CatalogueFollower(options);
		follower.#tasks = [
			spawn('catalogue-tail', () => follower.#tail()),
			spawn('catalogue-snapshots', () => follower.#writeSnapshots()),
		];
		return follower;
	}

	/** Resolves once this process has a catalogue, from the log or from a peer. */
	readonly ready: Promise<void>;
	readonly #options: FollowerOptions;
	readonly #times: FollowerTimes;
	readonly #abort = new AbortController();
	readonly #stop: Channel<never> = channel<never>(1);
	readonly #history = RecordHistory.create();
	#tasks: ReadonlyArray<Promise<void>> = [];
	#catalogue = Catalogue.empty();
	#snapshots: SnapshotState = {first: 0};
	#snapshotSeenAt = Number.NEGATIVE_INFINITY;
	#audit: AuditEntry[] = [];
	#resolveReady!: () => void;
	#isReady = false;
	/**
	 * True after a failed read, until one succeeds. Reads then don't wait for new records: a long poll sent to an unresponsive log
	 * would hang for its whole wait after the log is available again.
	 */
	#isLogUnavailable = false;

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

	/** The catalogue after the last record that this process has applied. */
	current(): Catalogue {
		return this.#catalogue;
	}

	/** The newest records with their results, oldest first. */
	recentAudit(): readonly AuditEntry[] {
		return this.#audit;
	}

	/** Response to a peer that pulls records from `offset` on: the records, or a snapshot if that offset is no longer in the history. */
	recordsFrom(offset: number): RecordsResponse {
		const records = this.#history.from(offset);
		if (records) {
			return {snapshot: false, records};
		}

		const value = JSON.stringify(this.#catalogue.snapshot(this.#options.instance));
		return {snapshot: true, records: [{offset: this.#catalogue.offset, time: this.#now(), value}]};
	}

	/** Applies a peer's response to `pull`. Returns true if the catalogue advanced; records already applied have no effect. */
	applyPeerRecords(response: RecordsResponse): boolean {
		const before = this.#catalogue.offset;
		for (const record of response.records) {
			const parsed = {offset: record.offset, time: record.time, value: parseJson(record.value)};
			if (response.snapshot) {
				this.#restoreFromPeer(parsed);
			} else {
				this.#apply(parsed);
			}
		}

		if (this.#catalogue.offset > before) {
			this.#notifyAdvance();
			return true;
		}

		return false;
	}

	async [Symbol.asyncDispose](): Promise<void> {
		this.#abort.abort();
		this.#stop.close();
		await Promise.all(this.#tasks);
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
				if (!this.#applyRecords(result)) {
					yield * receiveWithin(this.#stop, emptyReadPauseMilliseconds);
				}

				continue;
			}

			if (yield * this.#restoreFromLog(result.first)) {
				continue;
			}

			this.#log(`catalogue: The log starts at ${result.first} and has no usable snapshot; waiting for a peer or a snapshot.`);
			yield * receiveWithin(this.#stop, this.#times.longestRetryMilliseconds);
		}
	}

	/** Reads a page; undefined if the read failed. */
	* #read(from: number): Body<ReadResult | undefined> {
		const {log} = this.#options;
		const waitMilliseconds = this.#isLogUnavailable ? 0 : this.#times.pollMilliseconds;
		try {
			const result = yield * wait(log.read(catalogueStream, from, {limit: readLimit, waitMilliseconds, signal: this.#abort.signal}));
			this.#isLogUnavailable = false;
			return result;
		} catch (error) {
			this.#isLogUnavailable = true;
			if (!this.#abort.signal.aborted) {
				this.#log(`catalogue: Reading the log failed: ${String(error)}`);
			}

			return undefined;
		}
	}

	/** Returns true if the catalogue advanced. */
	#applyRecords(result: Extract<ReadResult, {type: 'records'}>): boolean {
		this.#snapshots = {...this.#snapshots, first: result.first};
		const before = this.#catalogue.offset;
		for (const record of result.records) {
			this.#apply(record);
		}

		const isComplete = this.#catalogue.offset + 1 >= result.next;
		if (isComplete) {
			this.#becomeReady();
		}

		if (this.#catalogue.offset > before) {
			this.#notifyAdvance(isComplete);
		}

		return this.#catalogue.offset > before;
	}

	* #restoreFromLog(first: number): Body<boolean> {
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

	#restoreFromPeer(record: StreamRecord): void {
		const parsed = snapshotSchema.safeParse(record.value);
		if (!parsed.success || parsed.data.through <= this.#catalogue.offset) {
			return;
		}

		this.#catalogue = Catalogue.restore(parsed.data);
		this.#history.clear();
		this.#log(`catalogue: Restored from a peer's snapshot through ${parsed.data.through}.`);
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

	/**
	 * Notifies the listener that the catalogue advanced. `isComplete` makes the process ready; records from a peer suffice for that,
	 * so that a process can start while the log is unavailable.
	 */
	#notifyAdvance(isComplete = true): void {
		if (isComplete) {
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
			if (!this.#isSnapshotDue()) {
				continue;
			}

			yield * receiveWithin(this.#stop, this.#random() * this.#times.snapshotSpreadMilliseconds);
			if (this.#isSnapshotDue() && !this.#abort.signal.aborted) {
				yield * this.#appendSnapshot();
			}
		}
	}

	/**
	 * A quarter of the interval must have passed by the monotonic clock since this instance last read or wrote
	 * a snapshot, which leaves it several attempts within the log's retention. Without this bound it would flood the log if its
	 * clock is hours ahead, so that every snapshot looks old, or if the log is slow, so that its own is not read back.
	 */
	#isSnapshotDue(): boolean {
		const settings = this.#options.snapshots ?? defaultSnapshotSettings;
		const isSeenRecently = performance.now() - this.#snapshotSeenAt < settings.intervalMilliseconds / 4;
		return this.#isReady && !isSeenRecently && isSnapshotDue(this.#catalogue, this.#snapshots, this.#now(), settings);
	}

	/** Appends a snapshot to the log. A lost response needs no retry: the snapshot is either read back or becomes due again. */
	* #appendSnapshot(): Body<void> {
		const {log, instance} = this.#options;
		this.#snapshotSeenAt = performance.now();
		try {
			const result = yield * wait(log.append(catalogueStream, this.#catalogue.snapshot(instance)));
			this.#log(`catalogue: Snapshot through ${this.#catalogue.offset}: ${result.type}.`);
		} catch (error) {
			this.#log(`catalogue: Writing the snapshot failed: ${String(error)}`);
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

/** Returns undefined for text that is not JSON; the fold rejects that value, as in every other reader. */
function parseJson(text: string): unknown {
	try {
		return JSON.parse(text);
	} catch {
		return undefined;
	}
}
