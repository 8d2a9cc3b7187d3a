import {rankByRendezvous} from '../../policy/hashing/index.js';
import {buildsToStore, isWorthStoring, type KnownBuilds, possibleBuilds} from '../../policy/streams/index.js';
import {buildOf} from '../../routing/index.js';
import {type PartLogger} from '../../telemetry/index.js';
import {type RoutingState} from '../table/index.js';

/** Builds that serve a service, or did until lately, as instances store them for those that start. */
export type StoredBuilds = {readonly service: string; readonly builds: readonly string[]};

export type BuildHistoryOptions = {
	readonly instance: string;
	/** Whether the whole system starts for the first time, so that nothing has served before. */
	readonly isFirstStart: boolean;
	readonly random: () => number;
	/** Names of the known instances, with or without this one. */
	readonly instances: () => readonly string[];
	readonly routingState: RoutingState;
	readonly read: () => Promise<readonly StoredBuilds[]>;
	readonly write: (stored: StoredBuilds) => Promise<void>;
	/** Reads the registrations again; false if the store has not answered within the time. */
	readonly readEndpoints: (milliseconds: number) => Promise<boolean>;
	readonly logger: PartLogger;
};

/** A caller that takes a stream up waits so long for the store; a read takes a tenth of it. */
const readMilliseconds = 300;
/** Instances that store the builds of a service: one of them may be lost just then. */
const writers = 2;
/** Changes within the first time are stored together; builds that left long ago, and writes that failed, are noticed within the second. */
const lookMilliseconds = {change: 100, rest: 10_000};
/** An instance that starts stores nothing before the others are known to it; else each of many that start together would take itself for a writer. */
const settleMilliseconds = {least: 2000, spread: 500};
const retryMilliseconds = 500;
const maxRetryFactor = 8;

/** Which builds serve each service, or did until lately, also before this instance started: the store keeps it. */
export class BuildHistory implements Disposable {
	static create(options: BuildHistoryOptions): BuildHistory {
		return new BuildHistory(options);
	}

	/** Resolves once what was stored has been read; never where the store does not answer. */
	readonly whenRead: Promise<void>;
	readonly #options: BuildHistoryOptions;
	readonly #startedAt = performance.now();
	/** What was stored when this instance started, by service; undefined while that is not read. */
	#earlier: ReadonlyMap<string, readonly string[]> | undefined;
	/** What is stored now, as far as this instance has read or written it. */
	readonly #stored = new Map<string, readonly string[]>();
	#isDisposed = false;
	readonly #settledAt: number;
	#changeTimer: NodeJS.Timeout | undefined;
	readonly #restTimer: NodeJS.Timeout;

	private constructor(options: BuildHistoryOptions) {
		this.#options = options;
		this.#settledAt = this.#startedAt + settleMilliseconds.least + (options.random() * settleMilliseconds.spread);
		this.whenRead = this.#read();
		void this.whenRead.then(() => {
			this.#lookSoon();
		});
		options.routingState.onChange(() => {
			this.#lookSoon();
		});
		this.#restTimer = setInterval(() => {
			this.#storeChanges();
		}, lookMilliseconds.rest).unref();
	}

	[Symbol.dispose](): void {
		this.#isDisposed = true;
		clearTimeout(this.#changeTimer);
		clearInterval(this.#restTimer);
	}

	/** Builds that may have begun streams of a service that callers still take up; undefined while that is not known. */
	buildsOf(service: string): ReadonlySet<string> | undefined {
		return possibleBuilds(this.#known(service), performance.now());
	}

	/**
	 * The same by registrations that were read after this call; undefined if the store does not tell. An instance that is cut off, or has stood still,
	 * knows of no build that joined meanwhile: what it knows is not all there is.
	 */
	async currentBuildsOf(service: string): Promise<ReadonlySet<string> | undefined> {
		const isCurrent = await this.#options.readEndpoints(readMilliseconds);
		return isCurrent ? this.buildsOf(service) : undefined;
	}

	#known(service: string): KnownBuilds {
		const {routingState, isFirstStart} = this.#options;
		const entries = [...routingState.directory.entries.values()].filter(({record}) => record.service === service);
		return {
			served: entries.map(({record, endedAt}) => ({build: buildOf(record), endedAt})),
			stored: this.#earlier && (this.#earlier.get(service) ?? (isFirstStart && this.#earlier.size === 0 ? [] : undefined)),
			startedAt: this.#startedAt,
		};
	}

	/** Stores changes in a moment, but not before this instance knows the others. A timer may fire up to a millisecond early. */
	#lookSoon(): void {
		if (this.#isDisposed) {
			return;
		}

		this.#changeTimer ??= setTimeout(() => {
			this.#changeTimer = undefined;
			this.#storeChanges();
		}, Math.max(lookMilliseconds.change, Math.ceil(this.#settledAt - performance.now()) + 1)).unref();
	}

	/** Stores the builds that have changed and that this instance is to store. */
	#storeChanges(): void {
		const {instance, instances, routingState} = this.#options;
		if (this.#earlier === undefined || performance.now() < this.#settledAt) {
			return;
		}

		const names = [...new Set([instance, ...instances()])];
		const services = new Set(Array.from(routingState.directory.entries.values(), ({record}) => record.service));
		for (const service of services) {
			const builds = buildsToStore(this.#known(service), performance.now());
			if (isWorthStoring(builds, this.#stored.get(service)) && rankByRendezvous(service, names).slice(0, writers).includes(instance)) {
				void this.#store({service, builds: [...builds]});
			}
		}
	}

	async #store(stored: StoredBuilds): Promise<void> {
		const {write, logger} = this.#options;
		const {service, builds} = stored;
		const before = this.#stored.get(service);
		this.#stored.set(service, builds);
		try {
			await write(stored);
			logger.info('Builds stored.', {service, builds});
		} catch (error) {
			logger.warn('Builds not stored, trying again.', {service, reason: String(error), milliseconds: lookMilliseconds.rest});
			if (before === undefined) {
				this.#stored.delete(service);
			} else {
				this.#stored.set(service, before);
			}
		}
	}

	async #read(): Promise<void> {
		for (let tries = 1; !this.#isDisposed && this.#earlier === undefined; tries++) {
			await this.#tryRead(tries);
		}
	}

	async #tryRead(tries: number): Promise<void> {
		const {read, logger} = this.#options;
		try {
			const stored = await read();
			this.#earlier = new Map(stored.map(({service, builds}) => [service, builds]));
			for (const {service, builds} of stored) {
				this.#stored.set(service, builds);
			}

			logger.info('Builds read from the store.', {services: stored.length});
		} catch (error) {
			if (tries === 1) {
				logger.warn('Builds not read, trying again.', {reason: String(error)});
			}

			await sleep(retryMilliseconds * Math.min(tries, maxRetryFactor));
		}
	}
}

async function sleep(milliseconds: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, milliseconds).unref();
	});
}
