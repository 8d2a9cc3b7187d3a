import {type Feed, type FeedReadResult, type StoreFeeds} from '../../src/gateway/index.js';
import {type LogPosition} from '../../src/model/index.js';
import {PlatformError} from '../../src/platform/index.js';
import {type RoutingTableInput} from '../../src/routing/index.js';
import {type VirtualTime} from './virtual-time.js';

/** The store answers after so long, and a call without an answer is given up so long after the wait that it asked for. */
const answerMilliseconds = 4;
const limitMilliseconds = 900;

/** How the store fails: it says nothing, or it refuses at once. */
export type StoreFailure = 'silent' | 'refusing';

/** The store as followers see it: versions of the routing table, long readings, moments without an answer, and eras. */
export class VirtualStore {
	calls = 0;
	failure: StoreFailure | undefined;
	era = 1;
	/** How often connections that stood have gone silent. */
	mutes = 0;
	readonly #versions: number[] = [1];
	readonly #waiting = new Set<() => void>();

	write(version: number): void {
		this.#versions.push(version);
		for (const wake of this.failure === undefined ? this.#waiting : []) {
			wake();
		}
	}

	/** Nothing comes on any connection that stands, though new ones work. */
	muteConnections(): void {
		this.mutes += 1;
		this.#waiting.clear();
	}

	/** What still waits gets nothing any more. */
	fail(failure: StoreFailure): void {
		this.failure = failure;
		this.muteConnections();
	}

	recover(isNewEra = false): void {
		this.failure = undefined;
		this.era += isNewEra ? 1 : 0;
	}

	/** What of the versions stands from an offset on. */
	pageOf(from: LogPosition): FeedReadResult<RoutingTableInput> {
		return this.era > from.era
			? {type: 'new-era', era: this.era}
			: {type: 'page', page: {items: this.#versions.slice(from.offset).map(version => tableOf(version)), next: this.end}};
	}

	get end(): LogPosition {
		return {era: this.era, offset: this.#versions.length};
	}

	/** The newest version alone. */
	newest(): {items: RoutingTableInput[]; next: LogPosition} {
		return {items: [tableOf(this.#versions.at(-1)!)], next: this.end};
	}

	/** Wakes a reading at the next version, unless its connection says nothing any more; returns what forgets it. */
	onWrite(wake: () => void): {readonly isHeard: () => boolean; readonly forget: () => void} {
		this.#waiting.add(wake);
		return {
			isHeard: () => this.#waiting.has(wake),
			forget: () => {
				this.#waiting.delete(wake);
			},
		};
	}
}

/** One instance's client: it notices a newer era at the first answer of any call, and gives up what still waits. */
export class VirtualClient {
	readonly #store: VirtualStore;
	readonly #time: VirtualTime;
	#era = 1;
	/** Those that it has met: the first call after one is made on a silent connection. */
	#mutes = 0;
	readonly #readings = new Set<() => void>();
	readonly #listeners: Array<(era: number) => void> = [];

	constructor(store: VirtualStore, time: VirtualTime) {
		this.#store = store;
		this.#time = time;
	}

	feeds(): StoreFeeds {
		return {
			endpoints: this.#idleFeed('endpoints'),
			instances: this.#idleFeed('instances'),
			routing: {
				...this.#idleFeed('routing'),
				readSnapshot: async () => this.#call(() => this.#store.newest()),
				readChanges: async (from, waitMilliseconds, signal) => this.#read({from, waitMilliseconds, signal}),
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
		const failure = this.#store.failure ?? (this.#mutes < this.#store.mutes ? 'silent' : undefined);
		this.#mutes = this.#store.mutes;
		return new Promise((resolve, reject) => {
			this.#time.after(failure === 'silent' ? limitMilliseconds : answerMilliseconds, () => {
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
						this.#noteEra();
					}
				}
			});
		});
	}

	#noteEra(): void {
		if (this.#store.era === this.#era) {
			return;
		}

		this.#era = this.#store.era;
		for (const giveUp of this.#readings) {
			giveUp();
		}

		for (const listener of this.#listeners) {
			listener(this.#era);
		}
	}

	async #read({from, waitMilliseconds, signal}: {from: LogPosition; waitMilliseconds: number; signal: AbortSignal | undefined}): Promise<FeedReadResult<RoutingTableInput>> {
		const store = this.#store;
		if (store.failure !== undefined || this.#mutes < store.mutes || store.era > from.era || from.offset < store.end.offset || waitMilliseconds === 0) {
			return this.#call(() => store.pageOf(from));
		}

		store.calls += 1;
		return new Promise((resolve, reject) => {
			const answer = (): void => {
				reading.forget();
				this.#time.after(answerMilliseconds, () => {
					resolve(store.pageOf(from));
				});
			};

			const giveUp = (result: FeedReadResult<RoutingTableInput>): void => {
				reading.forget();
				resolve(result);
			};

			const reading = store.onWrite(answer);
			const onEra = (): void => {
				giveUp({type: 'new-era', era: store.era});
			};

			this.#readings.add(onEra);
			this.#time.after(waitMilliseconds, () => {
				if (reading.isHeard()) {
					answer();
				}
			});
			this.#time.after(waitMilliseconds + limitMilliseconds, () => {
				this.#readings.delete(onEra);
				reject(PlatformError.create({type: 'lost', reason: 'no answer'}));
			});
			signal?.addEventListener('abort', () => {
				giveUp({type: 'given-up'});
			});
		});
	}
}

/** A table of a version; nothing else of it matters here. */
function tableOf(version: number): RoutingTableInput {
	return {version, routes: [], services: [], limits: {headerBytes: 1, bodyBytes: 1, headerMilliseconds: 1, idleMilliseconds: 1}};
}
