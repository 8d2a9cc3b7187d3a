import {createRandom} from '../../bench/harness/random.js';
import {Beliefs, type Feed, type FeedReading, type FollowedFeeds, followFeeds, type StoreFeeds} from '../../src/gateway/index.js';
import {TablePull} from '../../src/gateway/table-pull.js';
import {type LogPosition, type ZoneName} from '../../src/model/index.js';
import {PlatformError} from '../../src/platform/index.js';
import {type Member, neighboursOf} from '../../src/policy/sharing/index.js';
import {type RoutingTableInput} from '../../src/routing/index.js';
import {type VirtualTime} from './virtual-time.js';

const quiet = {debug: () => undefined, info: () => undefined, warn: () => undefined, error: () => undefined};
/** The store answers after so long, and a call without an answer is given up so long after the wait that it asked for. */
const answerMilliseconds = 4;
const limitMilliseconds = 900;
/** A message between instances, and a table with its way. */
const messageMilliseconds = 2;
const tableMilliseconds = 30;

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
	pageOf(from: LogPosition): FeedReading<RoutingTableInput> {
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
class VirtualClient {
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
				readNewest: async () => this.#call(() => this.#store.newest()),
				readChanges: async (from, waitMilliseconds, signal) => this.#read({from, waitMilliseconds, signal}),
			},
		};
	}

	#idleFeed<Item>(name: string): Feed<Item> {
		return {
			name,
			readNewest: async () => this.#call(() => ({items: [], next: {era: this.#store.era, offset: 0}})),
			readChanges: async from => this.#call((): FeedReading<Item> => this.#store.era > from.era ? {type: 'new-era', era: this.#store.era} : {type: 'page', page: {items: [], next: from}}),
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

	async #read({from, waitMilliseconds, signal}: {from: LogPosition; waitMilliseconds: number; signal: AbortSignal | undefined}): Promise<FeedReading<RoutingTableInput>> {
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

			const giveUp = (result: FeedReading<RoutingTableInput>): void => {
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

export type FollowersOptions = {
	readonly time: VirtualTime;
	readonly instances: number;
	/** A change is to be in force everywhere within this. */
	readonly applyMilliseconds: number;
	readonly seed: number;
	/** Whether what one instance sends to another arrives. */
	readonly arrives?: (from: number, to: number) => boolean;
};

type Follower = {readonly name: string; readonly beliefs: Beliefs; readonly feeds: FollowedFeeds; readonly pull: TablePull; readonly told: Map<string, number>};

/** Instances that follow one store and tell each other, linked as gateways are; all start within a third of a second. */
export class VirtualFollowers implements AsyncDisposable {
	readonly store = new VirtualStore();
	readonly #followers: Follower[] = [];
	readonly #options: FollowersOptions;

	constructor(options: FollowersOptions) {
		this.#options = options;
		const random = createRandom(options.seed);
		const members = Array.from({length: options.instances}, (_, index): Member => ({name: `front-${index}`, zone: `zone-${index % 3}` as ZoneName}));
		for (const [index, member] of members.entries()) {
			options.time.after(random.uniform() * 300, () => {
				this.#start(index, member, {members, random: () => random.uniform()});
			});
		}
	}

	/** The versions in force, an instance each. */
	get versions(): Array<number | undefined> {
		return this.#followers.map(({beliefs}) => beliefs.table?.version);
	}

	async [Symbol.asyncDispose](): Promise<void> {
		for (const {feeds, pull} of this.#followers) {
			pull[Symbol.dispose]();
			await feeds[Symbol.asyncDispose]();
		}
	}

	#start(index: number, member: Member, {members, random}: {members: readonly Member[]; random: () => number}): void {
		const {time, instances, applyMilliseconds} = this.#options;
		const beliefs = Beliefs.create(quiet);
		const {linked} = neighboursOf(member, members, () => true);
		const told = new Map<string, number>();
		const pull = TablePull.create({
			ownVersion: () => beliefs.table?.version,
			holders: () => [...told].map(([name, version]) => ({instance: name, version, ask: () => {
				this.#ask(index, name);
			}})),
			logger: quiet,
			onBehind() {
				feeds.routing.doubt();
			},
		});
		beliefs.onChange(change => {
			if (change.type === 'table') {
				this.#tell(index, linked, change.input.version);
			}
		});
		const feeds = followFeeds(new VirtualClient(this.store, time).feeds(), {
			beliefs, drainMilliseconds: applyMilliseconds, applyMilliseconds, logger: quiet, random, onEra: () => undefined,
			peers: {view: {links: linked.size, instances}, know: () => undefined, forget: () => undefined},
		});
		this.#followers.push({name: member.name, beliefs, feeds, pull, told});
	}

	#tell(from: number, linked: ReadonlySet<string>, version: number): void {
		for (const name of linked) {
			this.#send({from, to: name, milliseconds: messageMilliseconds}, ({told, pull}) => {
				told.set(`front-${from}`, version);
				pull.heard();
			});
		}
	}

	#ask(from: number, holder: string): void {
		this.#send({from, to: holder, milliseconds: messageMilliseconds}, ({beliefs}) => {
			const input = beliefs.tableInput!;
			this.#send({from: Number(holder.split('-')[1]), to: `front-${from}`, milliseconds: tableMilliseconds}, asker => {
				asker.beliefs.offerTable(input, `instance ${holder}`);
			});
		});
	}

	#send({from, to, milliseconds}: {from: number; to: string; milliseconds: number}, act: (follower: Follower) => void): void {
		if (this.#options.arrives?.(from, Number(to.split('-')[1])) === false) {
			return;
		}

		this.#options.time.after(milliseconds, () => {
			const follower = this.#followers.find(({name}) => name === to);
			if (follower !== undefined) {
				act(follower);
			}
		});
	}
}

/** A table of a version; nothing else of it matters here. */
function tableOf(version: number): RoutingTableInput {
	return {version, routes: [], services: [], limits: {headerBytes: 1, bodyBytes: 1, headerMilliseconds: 1, idleMilliseconds: 1}};
}
