import {type Feed, type FeedReadResult, type StoreFeeds} from '../../src/gateway/index.js';
import {type LogPosition} from '../../src/model/index.js';
import {PlatformError} from '../../src/platform/index.js';
import {type RoutingTableInput} from '../../src/routing/index.js';
import {type VirtualTime} from './virtual-time.js';

/** Response time of the store, and the time beyond the requested wait after which a call without a response times out. */
const responseMilliseconds = 4;
const callTimeoutMilliseconds = 900;

/** How the store fails: it does not respond, or it refuses at once. */
export type StoreFailure = 'silent' | 'refusing';

/**
 * The store as followers see it: versions of the routing table, long polls, times without a response, and eras. The era is the
 * generation number of the store's log and rises when the store is restored from a backup.
 */
export class VirtualStore {
	calls = 0;
	failure: StoreFailure | undefined;
	era = 1;
	/** How often the established connections have stalled. */
	stallCount = 0;
	readonly #versions: number[] = [1];
	readonly #longPolls = new Set<() => void>();

	write(version: number): void {
		this.#versions.push(version);
		for (const wake of this.failure === undefined ? this.#longPolls : []) {
			wake();
		}
	}

	/** No established connection receives anything any more; new connections work. */
	stallConnections(): void {
		this.stallCount += 1;
		this.#longPolls.clear();
	}

	/** Starts a failure. Long polls in progress get no response. */
	fail(failure: StoreFailure): void {
		this.failure = failure;
		this.stallConnections();
	}

	recover(isNewEra = false): void {
		this.failure = undefined;
		this.era += isNewEra ? 1 : 0;
	}

	/** The versions from a position on. */
	readChanges(from: LogPosition): FeedReadResult<RoutingTableInput> {
		return this.era > from.era
			? {type: 'new-era', era: this.era}
			: {type: 'page', page: {items: this.#versions.slice(from.offset).map(version => createTable(version)), next: this.end}};
	}

	get end(): LogPosition {
		return {era: this.era, offset: this.#versions.length};
	}

	/** The newest version only. */
	readSnapshot(): {items: RoutingTableInput[]; next: LogPosition} {
		return {items: [createTable(this.#versions.at(-1)!)], next: this.end};
	}

	/** Calls `wake` at the next version, unless the connection stalls before. */
	startLongPoll(wake: () => void): {readonly isPending: () => boolean; readonly cancel: () => void} {
		this.#longPolls.add(wake);
		return {
			isPending: () => this.#longPolls.has(wake),
			cancel: () => {
				this.#longPolls.delete(wake);
			},
		};
	}
}

/** The client of one instance. It detects a newer era by the first response of any call, and then aborts its long polls. */
export class VirtualClient {
	readonly #store: VirtualStore;
	readonly #time: VirtualTime;
	#era = 1;
	/** Stalls that this client has detected: its first call after a stall goes out on a stalled connection. */
	#seenStalls = 0;
	readonly #longPollAborts = new Set<() => void>();
	readonly #listeners: Array<(era: number) => void> = [];

	constructor(store: VirtualStore, time: VirtualTime) {
		this.#store = store;
		this.#time = time;
	}

	feeds(): StoreFeeds {
		return {
			endpoints: this.#idleFeed('endpoints'),
			instances: this.#idleFeed('instances'),
			// Never responds, so that it helps no other feed to notice what the store does.
			crashes: {...this.#idleFeed('crashes'), readSnapshot: neverResponds},
			routing: {
				...this.#idleFeed('routing'),
				readSnapshot: async () => this.#call(() => this.#store.readSnapshot()),
				readChanges: async (from, waitMilliseconds, signal) => this.#readChanges({from, waitMilliseconds, signal}),
			},
		};
	}

	#idleFeed<Item>(name: string): Feed<Item> {
		return {
			name,
			readSnapshot: async () => this.#call(() => ({items: [], next: {era: this.#store.era, offset: 0}})),
			readChanges: async from => this.#call((): FeedReadResult<Item> => this.#store.era > from.era ? {type: 'new-era', era: this.#store.era} : {type: 'page', page: {items: [], next: from}}),
			onEra: listener => {
				this.#listeners.push(listener);
			},
		};
	}

	async #call<Value>(read: () => Value): Promise<Value> {
		this.#store.calls += 1;
		const failure = this.#store.failure ?? (this.#seenStalls < this.#store.stallCount ? 'silent' : undefined);
		this.#seenStalls = this.#store.stallCount;
		return new Promise((resolve, reject) => {
			this.#time.after(failure === 'silent' ? callTimeoutMilliseconds : responseMilliseconds, () => {
				switch (failure) {
					case 'silent': {
						reject(PlatformError.create({type: 'lost', reason: 'no answer'}));
						return;
					}

					case 'refusing': {
						reject(PlatformError.create({type: 'status', status: 503, reason: 'refused'}));
						return;
					}

					case undefined: {
						resolve(read());
						this.#checkEra();
					}
				}
			});
		});
	}

	#checkEra(): void {
		if (this.#store.era === this.#era) {
			return;
		}

		this.#era = this.#store.era;
		for (const abort of this.#longPollAborts) {
			abort();
		}

		for (const listener of this.#listeners) {
			listener(this.#era);
		}
	}

	async #readChanges({from, waitMilliseconds, signal}: {from: LogPosition; waitMilliseconds: number; signal: AbortSignal | undefined}): Promise<FeedReadResult<RoutingTableInput>> {
		const store = this.#store;
		if (store.failure !== undefined || this.#seenStalls < store.stallCount || store.era > from.era || from.offset < store.end.offset || waitMilliseconds === 0) {
			return this.#call(() => store.readChanges(from));
		}

		store.calls += 1;
		return new Promise((resolve, reject) => {
			const respond = (): void => {
				longPoll.cancel();
				this.#time.after(responseMilliseconds, () => {
					resolve(store.readChanges(from));
				});
			};

			const finish = (result: FeedReadResult<RoutingTableInput>): void => {
				longPoll.cancel();
				resolve(result);
			};

			const longPoll = store.startLongPoll(respond);
			const abortOnNewEra = (): void => {
				finish({type: 'new-era', era: store.era});
			};

			this.#longPollAborts.add(abortOnNewEra);
			this.#time.after(waitMilliseconds, () => {
				if (longPoll.isPending()) {
					respond();
				}
			});
			this.#time.after(waitMilliseconds + callTimeoutMilliseconds, () => {
				this.#longPollAborts.delete(abortOnNewEra);
				reject(PlatformError.create({type: 'lost', reason: 'no answer'}));
			});
			signal?.addEventListener('abort', () => {
				finish({type: 'given-up'});
			});
		});
	}
}

/** A routing table of this version, otherwise empty. */
function createTable(version: number): RoutingTableInput {
	return {version, routes: [], services: [], limits: {headerBytes: 1, bodyBytes: 1, headerMilliseconds: 1, idleMilliseconds: 1}};
}

function noop(): void {
	// Settles nothing.
}

async function neverResponds(): Promise<never> {
	await new Promise(noop);
	throw new Error('It has responded.');
}
