import {Buffer} from 'node:buffer';
import {sha256} from '../model/index.js';
import {
	countedCrashes, type CrashRecord, createClearedRecord, createQuarantine, foldQuarantine, maxNamed, openCrashes, pruneQuarantine, quarantineMilliseconds, type QuarantineRecord,
} from '../policy/quarantine/index.js';
import {type EndpointRecord} from '../routing/index.js';
import {type PartLogger} from '../telemetry/index.js';

/** The parts of a request that stay the same when its caller sends it again. */
export type RepeatableRequest = {readonly workspace: string | undefined; readonly method: string; readonly path: string; readonly body: Uint8Array | undefined};

/** A request is refused, and for how long. */
export type QuarantineStatus = {readonly fingerprint: string; readonly crashes: number; readonly remainingMilliseconds: number};

export type CrashLedgerOptions = {
	readonly logger: PartLogger;
	/** Called with records that the other instances need. */
	readonly onRecords: (records: readonly QuarantineRecord[]) => void;
	/** Called with what became of the evidence of a crash. */
	readonly onEvidence: (verdict: EvidenceVerdict) => void;
};

/** What became of the evidence that a request crashed an endpoint. */
export type EvidenceVerdict = 'pending' | 'refuted' | 'confirmed';

/**
 * Crashes that quarantine a request. Requests run beside each other, and a request that is sent again after a crash may meet a second one by
 * chance; with each further crash and no complete run in between chance explains it less.
 */
const crashThreshold = 3;
/**
 * A broken connection counts as a crash unless the endpoint responds to a request that was sent after the break within this time. An
 * endpoint that loses a response, or whose connection was reset, goes on responding; one that crashed starts again under another id.
 */
const refutationMilliseconds = 1000;
/** Limit of the crashes that a new peer is sent: more than happen in the time for which they count. */
const maxSentCrashes = 100;

/** Broken connections of one incarnation of an endpoint that no response has refuted yet. */
type PendingCrash = {readonly record: EndpointRecord; breaks: Array<{readonly fingerprint: string; readonly at: number}>};

/** Which requests crash the endpoints that run them, as this instance and its peers have seen. Times are milliseconds of the monotonic clock. */
export class CrashLedger implements Disposable {
	static create(options: CrashLedgerOptions): CrashLedger {
		return new CrashLedger(options);
	}

	readonly #options: CrashLedgerOptions;
	readonly #pending = new Map<string, PendingCrash>();
	readonly #timers = new Set<NodeJS.Timeout>();
	#state = createQuarantine();

	private constructor(options: CrashLedgerOptions) {
		this.#options = options;
	}

	/** Number of crashes that are known and still count. */
	get crashCount(): number {
		return this.#state.crashes.size;
	}

	[Symbol.dispose](): void {
		for (const timer of this.#timers) {
			clearTimeout(timer);
		}
	}

	/** Whether a request must not be sent to any endpoint. Without known crashes this costs nothing. */
	quarantineOf(request: RepeatableRequest, now: number): QuarantineStatus | undefined {
		if (this.#state.crashes.size === 0) {
			return undefined;
		}

		const fingerprint = fingerprintOf(request);
		const crashes = countedCrashes(this.#state, fingerprint, now);
		if (crashes.length < crashThreshold) {
			return undefined;
		}

		const times = crashes.map(({time}) => time).toSorted((left, right) => right - left);
		return {fingerprint, crashes: crashes.length, remainingMilliseconds: times[crashThreshold - 1]! + quarantineMilliseconds - now};
	}

	/** Records that the connection to an endpoint broke while it may have been running the request. */
	recordBreak(record: EndpointRecord, request: RepeatableRequest, now: number): void {
		const key = incarnationOf(record);
		const pending = this.#pending.get(key) ?? this.#startPending(key, record);
		const fingerprint = fingerprintOf(request);
		pending.breaks.push({fingerprint, at: now});
		this.#options.onEvidence('pending');
		this.#options.logger.info('Connection to an endpoint broke under a request.', {endpoint: record.id, service: record.service, fingerprint});
	}

	/** Records a response of an endpoint to a request that was sent at this time. */
	recordResponse(record: EndpointRecord, sentAt: number): void {
		const pending = this.#pending.get(incarnationOf(record));
		if (pending === undefined) {
			return;
		}

		const before = pending.breaks.length;
		pending.breaks = pending.breaks.filter(({at}) => at >= sentAt);
		if (pending.breaks.length < before) {
			this.#options.onEvidence('refuted');
			this.#options.logger.info('Endpoint has not crashed, it responds.', {endpoint: record.id, service: record.service, breaks: before - pending.breaks.length});
		}
	}

	/** Records that a request ran to its end; this clears it of all crashes that are known. */
	recordCompleted(request: RepeatableRequest, now: number): void {
		if (this.#state.crashes.size === 0) {
			return;
		}

		const fingerprint = fingerprintOf(request);
		const crashes = countedCrashes(this.#state, fingerprint, now);
		if (crashes.length > 0) {
			this.#add([createClearedRecord(fingerprint, {crashes}, now)], 'response');
		}
	}

	/** Applies records of another instance, whose times are on the clock of this one. */
	applyRecords(records: readonly QuarantineRecord[], source: string): void {
		this.#add(records, source);
	}

	/** The crashes that a new peer needs. */
	openCrashes(now: number): readonly CrashRecord[] {
		return openCrashes(this.#state, {now, most: maxSentCrashes});
	}

	prune(now: number): void {
		this.#state = pruneQuarantine(this.#state, now);
	}

	#startPending(key: string, record: EndpointRecord): PendingCrash {
		const pending: PendingCrash = {record, breaks: []};
		this.#pending.set(key, pending);
		const timer = setTimeout(() => {
			this.#timers.delete(timer);
			this.#pending.delete(key);
			this.#confirm(key, pending);
		}, refutationMilliseconds);
		this.#timers.add(timer);
		return pending;
	}

	#confirm(key: string, {record, breaks}: PendingCrash): void {
		const fingerprints = [...new Set(breaks.map(({fingerprint}) => fingerprint))].slice(0, maxNamed);
		if (fingerprints.length === 0) {
			return;
		}

		this.#options.onEvidence('confirmed');
		this.#options.logger.info('Endpoint crashed.', {endpoint: record.id, service: record.service, requests: fingerprints.length});
		this.#add([{type: 'crashed', crash: key, endpoint: record.id, fingerprints, time: Math.min(...breaks.map(({at}) => at))}], 'own connection');
	}

	/** Adds records and passes on those that say something new, so that they reach instances without a link to their writer. */
	#add(records: readonly QuarantineRecord[], source: string): void {
		const added = records.filter(record => {
			const next = foldQuarantine(this.#state, record);
			const isNew = next !== this.#state;
			this.#state = next;
			return isNew;
		});
		if (added.length === 0) {
			return;
		}

		this.#options.onRecords(added);
		for (const record of added) {
			this.#log(record, source);
		}
	}

	#log(record: QuarantineRecord, source: string): void {
		const {logger} = this.#options;
		if (record.type !== 'crashed') {
			logger.info('Request cleared of crashes.', {fingerprint: record.fingerprint, crashes: record.crashes, source});
			return;
		}

		const {endpoint, time} = record;
		for (const fingerprint of record.fingerprints) {
			const crashes = countedCrashes(this.#state, fingerprint, time);
			if (crashes.length >= crashThreshold) {
				logger.warn('Request quarantined.', {fingerprint, endpoint, crashes: crashes.map(({crash}) => crash), source});
			}
		}
	}
}

/** Each start of an endpoint is another incarnation, also under the same id. */
function incarnationOf({id, bornAt}: EndpointRecord): string {
	return bornAt === undefined ? id : `${id}@${bornAt}`;
}

/** Hash of the parts that stay the same when a caller sends a request again. The body is opaque, so any change of it makes another request. */
function fingerprintOf({workspace = '', method, path, body = new Uint8Array()}: RepeatableRequest): string {
	return sha256(Buffer.concat([Buffer.from(`${workspace}\n${method}\n${path}\n`), body])).slice(0, 32);
}
