import {crashThresholdOf, isPart, type QuarantineRecord} from '../../policy/quarantine/index.js';
import {type PartLogger} from '../../telemetry/index.js';
import {type CrashNews, type CrashWeight} from './crash-records.js';
import {LoggedWeights} from './logged-weights.js';

type Weigh = (fingerprint: string, now: number) => CrashWeight;

/** The log lines of what is learnt of crashes, and of what requests are let through with. */
export class CrashLog {
	static create(logger: PartLogger): CrashLog {
		return new CrashLog(logger);
	}

	readonly #logger: PartLogger;
	/** Of what is let through, and of what is quarantined; the first, of which there may be very much, must not displace the second. */
	readonly #weights = LoggedWeights.create();
	readonly #quarantines = LoggedWeights.create();

	private constructor(logger: PartLogger) {
		this.#logger = logger;
	}

	/** Logs once what a request is let through with, or suspected for, until that changes. */
	logWeight(fingerprint: string, {certain, possible, runs}: CrashWeight): void {
		if (possible > 0 && this.#weights.isNew(fingerprint, `${certain} ${possible}`)) {
			this.#logger.info('Request has met crashes.', {fingerprint, crashes: certain, possible, runs});
		}
	}

	/** Logs what is new to this instance. */
	logNews({records, pending}: CrashNews, source: string, weigh: Weigh): void {
		for (const record of records) {
			this.#logRecord(record, source, weigh);
		}

		for (const {type, crash, fingerprints} of pending) {
			this.#logger.info(type === 'pending' ? 'Crash is pending.' : 'Crash is dismissed.', {crash, requests: fingerprints.length, source});
		}
	}

	/** Forgets what was logged. */
	clear(): void {
		this.#weights.clear();
		this.#quarantines.clear();
	}

	#logRecord(record: QuarantineRecord, source: string, weigh: Weigh): void {
		if (record.type !== 'crashed') {
			this.#logger.info('Request cleared of crashes.', {fingerprint: record.fingerprint, crashes: record.crashes, source});
			return;
		}

		const {endpoint, time} = record;
		for (const fingerprint of record.fingerprints) {
			const {certain, runs, crashes} = weigh(fingerprint, time);
			if (certain >= crashThresholdOf(fingerprint) && this.#quarantines.isNew(fingerprint, String(crashes.length))) {
				this.#logger.warn(isPart(fingerprint) ? 'Prompt part quarantined.' : 'Request quarantined.', {fingerprint, endpoint, crashes: crashes.map(({crash}) => crash), runs, source});
			}
		}
	}
}
