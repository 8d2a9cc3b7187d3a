import {rankByRendezvous} from '../../policy/hashing/index.js';
import {originMilliseconds} from '../../policy/streams/index.js';
import {buildOf} from '../../routing/index.js';
import {type PartLogger} from '../../telemetry/index.js';
import {type RoutingState} from '../table/index.js';

/** Builds that serve a service, or did until lately, as instances store them for those that start. */
export type StoredBuilds = {readonly service: string; readonly builds: readonly string[]};

export type BuildMemoryOptions = {
	readonly instance: string;
	/** Names of the known instances, with or without this one. */
	readonly instances: () => readonly string[];
	readonly routingState: RoutingState;
	readonly read: () => Promise<readonly StoredBuilds[]>;
	readonly write: (stored: StoredBuilds) => Promise<void>;
	readonly logger: PartLogger;
};

/** Instances that store the builds of a service: one of them may be lost just then. */
const writers = 2;
/** Changes within this time are stored together; builds that left long ago are noticed within the second one. */
const lookMilliseconds = {change: 100, rest: 10_000};
const retryMilliseconds = 500;
const maxRetryFactor = 8;

/**
 * Which builds serve each service, or did until lately, also before this instance started. The store keeps it: where all instances are lost at once,
 * no other memory says that a build that has left began streams that callers take up now.
 */
export class BuildMemory implements Disposable {
	static create(options: BuildMemoryOptions): BuildMemory {
		return new BuildMemory(options);
	}

	/** Resolves once what was stored has been read; never where the store does not answer. */
	readonly whenRead: Promise<void>;
	readonly #options: BuildMemoryOptions;
	readonly #startedAt = performance.now();
	readonly #stored = new Map<string, string>();
	#earlier: ReadonlyMap<string, readonly string[]> | undefined;
	#isDisposed = false;
	#timer: NodeJS.Timeout | undefined;
	readonly #restTimer: NodeJS.Timeout;

	private constructor(options: BuildMemoryOptions) {
		this.#options = options;
		this.whenRead = this.#read();
		options.routingState.onChange(() => {
			this.#timer ??= setTimeout(() => {
				this.#timer = undefined;
				this.#look();
			}, lookMilliseconds.change);
		});
		this.#restTimer = setInterval(() => {
			this.#look();
		}, lookMilliseconds.rest).unref();
	}

	[Symbol.dispose](): void {
		this.#isDisposed = true;
		clearTimeout(this.#timer);
		clearInterval(this.#restTimer);
	}

	/** Builds that may have begun streams of a service that callers still take up; undefined while that is not known. */
	buildsOf(service: string): ReadonlySet<string> | undefined {
		const isRecent = performance.now() - this.#startedAt < originMilliseconds;
		if (isRecent && this.#earlier === undefined) {
			return undefined;
		}

		return new Set([...this.#registeredBuilds(service), ...(isRecent ? this.#earlier?.get(service) ?? [] : [])]);
	}

	#registeredBuilds(service: string): string[] {
		const now = performance.now();
		const entries = [...this.#options.routingState.directory.entries.values()];
		return entries.filter(({record, endedAt = Infinity}) => record.service === service && now - endedAt < originMilliseconds).map(({record}) => buildOf(record));
	}

	/** Stores what has changed, if that is for this instance to do. */
	#look(): void {
		const {instance, instances, routingState} = this.#options;
		const names = [...new Set([instance, ...instances()])];
		for (const service of new Set(Array.from(routingState.directory.entries.values(), ({record}) => record.service))) {
			const builds = this.buildsOf(service);
			if (builds !== undefined && rankByRendezvous(service, names).slice(0, writers).includes(instance)) {
				void this.#store({service, builds: [...builds].toSorted((left, right) => left < right ? -1 : 1)});
			}
		}
	}

	async #store(stored: StoredBuilds): Promise<void> {
		const {write, logger} = this.#options;
		const {service, builds} = stored;
		const text = JSON.stringify(builds);
		const before = this.#stored.get(service);
		// One build alone is what an instance that reads nothing takes for granted.
		if (before === text || (before === undefined && builds.length < 2)) {
			return;
		}

		this.#stored.set(service, text);
		try {
			await write(stored);
			logger.info('Builds stored.', {service, builds});
		} catch (error) {
			this.#stored.delete(service);
			logger.warn('Builds not stored, trying again.', {service, reason: String(error), milliseconds: lookMilliseconds.rest});
		}
	}

	async #read(): Promise<void> {
		const {read, logger} = this.#options;
		for (let tries = 1; !this.#isDisposed; tries++) {
			try {
				const stored = await read();
				this.#earlier = new Map(stored.map(({service, builds}) => [service, builds]));
				for (const {service, builds} of stored) {
					this.#stored.set(service, JSON.stringify(builds));
				}

				logger.info('Builds read from the store.', {services: stored.length});
				return;
			} catch (error) {
				if (tries === 1) {
					logger.warn('Builds not read, trying again.', {reason: String(error)});
				}

				await sleep(retryMilliseconds * Math.min(tries, maxRetryFactor));
			}
		}
	}
}

async function sleep(milliseconds: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, milliseconds).unref();
	});
}
