import {sleep, spawn, wait, type Body} from '../concurrency/index.js';
import {type EndpointId, type InstanceId} from '../model/index.js';
import {type QuarantineLedger} from '../platform/index.js';
import {createCrashRecord} from '../policy/quarantine/index.js';

/** Delays before each health check: the first catches an engine that restarts at once, the last an engine that goes down slowly. */
const checkDelaysMilliseconds: readonly number[] = [0, 40, 80];

export type CrashDetectorSettings = {
	readonly ledger: QuarantineLedger;
	readonly instance: InstanceId;
	readonly endpoint: EndpointId;
	readonly isHealthy: () => Promise<boolean>;
	/** Fingerprints of the requests that run at the endpoint. */
	readonly runningFingerprints: () => readonly string[];
	/** Called before any entry is notified of the failed runs, so that no entry sends a request to this endpoint again. */
	readonly onEndpointCrashed: () => void;
};

/**
 * Distinguishes a broken connection from a crashed endpoint, and records which requests ran when it crashed.
 *
 * A run that ended by a broken connection is reported to its entry only after the health checks, and after
 * the crash record was sent on the same connection. Otherwise the entry would learn of the failure before it
 * is known that the request may have crashed the endpoint, send it elsewhere at once and crash the next one.
 */
export class CrashDetector {
	static create(settings: CrashDetectorSettings): CrashDetector {
		return new CrashDetector(settings);
	}

	readonly #settings: CrashDetectorSettings;
	#runningCheck: Promise<void> | undefined;

	private constructor(settings: CrashDetectorSettings) {
		this.#settings = settings;
	}

	/** Resolves once it is known whether the endpoint crashed; runs that break at the same time share one check. */
	async connectionBroke(): Promise<void> {
		this.#runningCheck ??= spawn('crash-watch', () => this.#check()).finally(() => {
			this.#runningCheck = undefined;
		});
		return this.#runningCheck;
	}

	* #check(): Body<void> {
		const {ledger, instance, endpoint, isHealthy, runningFingerprints} = this.#settings;
		const suspects = runningFingerprints();
		for (const milliseconds of checkDelaysMilliseconds) {
			yield * sleep(milliseconds);
			if (!(yield * wait(isHealthy()))) {
				ledger.addRecord(createCrashRecord(instance, endpoint, suspects, Date.now()));
				this.#settings.onEndpointCrashed();
				return;
			}
		}
	}
}
