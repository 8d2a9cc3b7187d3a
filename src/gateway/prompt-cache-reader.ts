import {type PromptPart, tokensOf} from '../policy/dispatch/index.js';
import {rankByRendezvous} from '../policy/hashing/index.js';
import {type PartLogger} from '../telemetry/index.js';
import {type RoutingState} from './routing-state.js';

/** What an endpoint holds of prompts, as it says itself. */
export type KeptParts = {readonly endpoint: string; readonly parts: readonly PromptPart[]};

export type KeptReaderOptions = {
	readonly instance: string;
	readonly routingState: RoutingState;
	/** The instances that are known, this one included or not. */
	readonly instances: () => readonly string[];
	readonly read: (address: string) => Promise<readonly PromptPart[]>;
	/** A list that this instance read itself. */
	readonly onRead: (kept: KeptParts) => void;
	readonly logger: PartLogger;
};

/** Endpoints that this process hears of later than this after its start began after it, and hold nothing. */
const startMilliseconds = 4000;
/** Those that start together have announced themselves within a reading of the store. */
const firstDelayMilliseconds = 40;
/** Whoever is next reads if it was not told by then: a reading and a message between zones take a third of that. */
const turnMilliseconds = 150;
/** So many instances are given a turn: where all of them fail, the engine answers nobody. */
const mostTurns = 3;

/**
 * Failure: all instances lose power, or one starts anew, and nobody there knows what engines keep. Symptom:
 * beginnings are sent where they have to be read again, just when callers come back. Each engine is
 * asked once by one of the instances, which tells the others; the next one asks where that fails.
 */
export class PromptCacheReader implements Disposable {
	static create(options: KeptReaderOptions): PromptCacheReader {
		return new PromptCacheReader(options);
	}

	readonly #options: KeptReaderOptions;
	readonly #startedAt = performance.now();
	readonly #timers = new Map<string, NodeJS.Timeout>();
	readonly #known = new Set<string>();

	private constructor(options: KeptReaderOptions) {
		this.#options = options;
		options.routingState.onChange(() => {
			this.#look();
		});
	}

	[Symbol.dispose](): void {
		for (const timer of this.#timers.values()) {
			clearTimeout(timer);
		}
	}

	/** Another instance read this endpoint's list. */
	markRead(endpoint: string): void {
		this.#known.add(endpoint);
	}

	#look(): void {
		if (performance.now() - this.#startedAt > startMilliseconds) {
			return;
		}

		const {table, directory} = this.#options.routingState;
		for (const {record, endedAt} of directory.entries.values()) {
			const isListing = table?.service(record.service)?.engine?.listsKept === true;
			if (isListing && endedAt === undefined && !this.#timers.has(record.id)) {
				this.#timers.set(record.id, setTimeout(() => {
					this.#takeTurn(record.id, record.address);
				}, firstDelayMilliseconds));
			}
		}
	}

	#takeTurn(endpoint: string, address: string): void {
		const {instance, instances} = this.#options;
		const turn = rankByRendezvous(endpoint, new Set([instance, ...instances()])).indexOf(instance);
		if (turn >= mostTurns) {
			return;
		}

		this.#timers.set(endpoint, setTimeout(() => {
			void this.#read(endpoint, address);
		}, turn * turnMilliseconds));
	}

	async #read(endpoint: string, address: string): Promise<void> {
		const {read, onRead, logger} = this.#options;
		if (this.#known.has(endpoint)) {
			return;
		}

		const askedAt = performance.now();
		try {
			const parts = await read(address);
			this.#known.add(endpoint);
			logger.info('Kept prompts read.', {
				endpoint, parts: parts.length, tokens: tokensOf(parts), milliseconds: Math.round(performance.now() - askedAt),
			});
			onRead({endpoint, parts});
		} catch (error) {
			logger.warn('Kept prompts could not be read.', {endpoint, reason: String(error)});
		}
	}
}
