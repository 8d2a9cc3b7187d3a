import {sleep, spawn, wait, type Body} from '../concurrency/index.js';
import {type EndpointId, type InstanceId} from '../model/index.js';
import {type QuarantineLedger} from '../platform/index.js';
import {createCrashRecord} from '../policy/quarantine/index.js';

/** An engine that restarts at once is still caught by the first look; one that dies slowly by the last. */
const looksMilliseconds: readonly number[] = [0, 40, 80];

export type CrashWatchSettings = {
	readonly ledger: QuarantineLedger;
	readonly instance: InstanceId;
	readonly endpoint: EndpointId;
	readonly isHealthy: () => Promise<boolean>;
	/** Fingerprints of what runs at the endpoint. */
	readonly running: () => readonly string[];
	/** Called before any entry hears of the runs that broke, so that none is sent here again. */
	readonly endpointDied: () => void;
};

/**
 * Tells a broken connection from a dead endpoint, and records what ran when it died.
 *
 * Failure: the entry hears that its request failed before anyone knows that it may have killed the
 * endpoint. Symptom: it is sent elsewhere at once, and the next endpoint dies. A run that ended by a
 * broken connection is therefore reported to its entry only after this watch has looked, and after
 * the record went out on the same connection.
 */
export class CrashWatch {
	static create(settings: CrashWatchSettings): CrashWatch {
		return new CrashWatch(settings);
	}

	readonly #settings: CrashWatchSettings;
	#looking: Promise<void> | undefined;

	private constructor(settings: CrashWatchSettings) {
		this.#settings = settings;
	}

	/** Resolves once it is known whether the endpoint died; runs that break at the same time share one look. */
	async connectionBroke(): Promise<void> {
		this.#looking ??= spawn('crash-watch', () => this.#look()).finally(() => {
			this.#looking = undefined;
		});
		return this.#looking;
	}

	* #look(): Body<void> {
		const {ledger, instance, endpoint, isHealthy, running} = this.#settings;
		const suspects = running();
		for (const milliseconds of looksMilliseconds) {
			yield * sleep(milliseconds);
			if (!(yield * wait(isHealthy()))) {
				ledger.addRecord(createCrashRecord(instance, endpoint, suspects, Date.now()));
				this.#settings.endpointDied();
				return;
			}
		}
	}
}
