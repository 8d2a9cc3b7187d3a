import {type PromptPart, tokensOf} from '../../policy/dispatch/index.js';
import {rankByRendezvous} from '../../policy/hashing/index.js';
import {type PartLogger} from '../../telemetry/index.js';
import {type EndpointRecord} from '../../routing/index.js';
import {type ResponseStatements} from '../../policy/statements/index.js';
import {type RoutingState} from '../table/index.js';
import {type StatementRegistry} from './statement-registry.js';

/** The prompt parts that an endpoint reports as cached. */
export type CachedPromptParts = {readonly endpoint: string; readonly parts: readonly PromptPart[]};

/** An engine's answer to the question for its list; `stated` is what it states about itself. */
export type CachedPartsResponse
	= | {readonly type: 'listed'; readonly parts: readonly PromptPart[]; readonly stated: ResponseStatements}
		| {readonly type: 'refused'; readonly status: number; readonly stated: ResponseStatements};

export type PromptCacheReaderOptions = {
	readonly instance: string;
	readonly routingState: RoutingState;
	/** Names of the known instances, with or without this one. */
	readonly instances: () => readonly string[];
	readonly read: (address: string) => Promise<CachedPartsResponse>;
	/** Asked before a call to an endpoint, and told what the endpoint states in its answer. */
	readonly statements: StatementRegistry;
	/** Called with a list that this instance has read itself. */
	readonly onRead: (cached: CachedPromptParts) => void;
	readonly logger: PartLogger;
};

/**
 * Endpoints that become known within this time after the start of the process are read. One that becomes known later has
 * started after the process and has nothing cached.
 */
const startupMilliseconds = 4000;
/**
 * Delay before the turns are determined: by then, instances that started together have announced themselves, which takes one
 * read of the store.
 */
const firstDelayMilliseconds = 40;
/**
 * Time after which the next instance reads the list if it has not been notified; one read and one message between availability
 * zones take a third of it.
 */
const turnMilliseconds = 150;
/**
 * Number of instances that try to read from one engine in turn. If all of them fail, the engine is assumed to respond to no
 * instance.
 */
const maxTurns = 3;

/**
 * After a start of this process, reads from each engine which prompt parts it has cached. If all instances lose power or one
 * restarts, this information is lost there; without the read, prompts would be sent to engines that have to prefill them again, just
 * when callers reconnect. Each engine is asked once, by one of the instances, which notifies the others; if that fails, the next
 * instance asks.
 */
export class PromptCacheReader implements Disposable {
	static create(options: PromptCacheReaderOptions): PromptCacheReader {
		return new PromptCacheReader(options);
	}

	readonly #options: PromptCacheReaderOptions;
	readonly #startedAt = performance.now();
	readonly #timers = new Map<string, NodeJS.Timeout>();
	readonly #alreadyRead = new Set<string>();

	private constructor(options: PromptCacheReaderOptions) {
		this.#options = options;
		options.routingState.onChange(() => {
			this.#scheduleReads();
		});
	}

	[Symbol.dispose](): void {
		for (const timer of this.#timers.values()) {
			clearTimeout(timer);
		}
	}

	/** Records that another instance has read this endpoint's list. */
	markRead(endpoint: string): void {
		this.#alreadyRead.add(endpoint);
	}

	#scheduleReads(): void {
		if (performance.now() - this.#startedAt > startupMilliseconds) {
			return;
		}

		const {table, directory} = this.#options.routingState;
		for (const {record, endedAt} of directory.entries.values()) {
			const listsCache = table?.service(record.service)?.engine?.listsKept === true;
			if (listsCache && endedAt === undefined && !this.#timers.has(record.id)) {
				this.#timers.set(record.id, setTimeout(() => {
					this.#scheduleTurn(record);
				}, firstDelayMilliseconds));
			}
		}
	}

	#scheduleTurn(record: EndpointRecord): void {
		const {instance, instances} = this.#options;
		const turn = rankByRendezvous(record.id, new Set([instance, ...instances()])).indexOf(instance);
		if (turn >= maxTurns) {
			return;
		}

		this.#timers.set(record.id, setTimeout(() => {
			void this.#read(record);
		}, turn * turnMilliseconds));
	}

	async #read(record: EndpointRecord): Promise<void> {
		const {statements, logger} = this.#options;
		const {id: endpoint} = record;
		if (this.#alreadyRead.has(endpoint)) {
			return;
		}

		if (statements.admission(endpoint, performance.now()).type === 'held') {
			logger.info('Cached prompt parts not read, the endpoint takes no requests now.', {endpoint});
			return;
		}

		const requestedAt = performance.now();
		try {
			this.#handleResponse(record, await this.#ask(record, requestedAt), requestedAt);
		} catch (error) {
			logger.warn('Could not read cached prompt parts.', {endpoint, reason: String(error)});
		}
	}

	/** Asks an endpoint for its list and records what it states in its answer. */
	async #ask(record: EndpointRecord, sentAt: number): Promise<CachedPartsResponse> {
		const {read, statements} = this.#options;
		statements.recordSent(record, sentAt);
		const response = await read(record.address);
		// The answer names no request, so that a statement that it lacks is not withdrawn.
		statements.recordResponse(record, {...response.stated, sentAt, canWithdraw: false}, performance.now());
		return response;
	}

	#handleResponse({id: endpoint}: EndpointRecord, response: CachedPartsResponse, requestedAt: number): void {
		const {onRead, logger} = this.#options;
		if (response.type === 'refused') {
			logger.warn('Could not read cached prompt parts.', {endpoint, reason: `status ${response.status}`});
			return;
		}

		const {parts} = response;
		this.#alreadyRead.add(endpoint);
		logger.info('Cached prompt parts read.', {endpoint, parts: parts.length, tokens: tokensOf(parts), milliseconds: Math.round(performance.now() - requestedAt)});
		onRead({endpoint, parts});
	}
}
