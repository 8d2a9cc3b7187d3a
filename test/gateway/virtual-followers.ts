import {createRandom} from '../../bench/harness/random.js';
import {RoutingState, type FeedFollowers, followFeeds} from '../../src/gateway/index.js';
import {RoutingTablePuller} from '../../src/gateway/routing-table-puller.js';
import {type ZoneName} from '../../src/model/index.js';
import {type Member, neighboursOf} from '../../src/policy/sharing/index.js';
import {VirtualClient, VirtualStore} from './virtual-store.js';
import {type VirtualTime} from './virtual-time.js';

const quiet = {debug: () => undefined, info: () => undefined, warn: () => undefined, error: () => undefined};
/** A message between instances, and a table with its way. */
const messageMilliseconds = 2;
const tableMilliseconds = 30;

export type FollowersOptions = {
	readonly time: VirtualTime;
	readonly instances: number;
	/** A change is to be in force everywhere within this. */
	readonly applyMilliseconds: number;
	readonly seed: number;
	/** Whether what one instance sends to another arrives. */
	readonly arrives?: (from: number, to: number) => boolean;
};

type Follower = {readonly name: string; readonly beliefs: RoutingState; readonly feeds: FeedFollowers; readonly pull: RoutingTablePuller; readonly told: Map<string, number>};

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
		const beliefs = RoutingState.create(quiet);
		const {linked} = neighboursOf(member, members, () => true);
		const told = new Map<string, number>();
		const pull = RoutingTablePuller.create({
			ownVersion: () => beliefs.table?.version,
			holders: () => [...told].map(([name, version]) => ({instance: name, version, requestTable: () => {
				this.#ask(index, name);
			}})),
			logger: quiet,
			onStaleTable() {
				feeds.routing.abortLongPoll();
			},
		});
		beliefs.onChange(change => {
			if (change.type === 'table') {
				this.#tell(index, linked, change.input.version);
			}
		});
		const feeds = followFeeds(new VirtualClient(this.store, time).feeds(), {
			routingState: beliefs, drainMilliseconds: applyMilliseconds, applyMilliseconds, logger: quiet, random, onEra: () => undefined,
			peers: {view: {links: linked.size, instances}, addPeers: () => undefined, removePeer: () => undefined},
		});
		this.#followers.push({name: member.name, beliefs, feeds, pull, told});
	}

	#tell(from: number, linked: ReadonlySet<string>, version: number): void {
		for (const name of linked) {
			this.#send({from, to: name, milliseconds: messageMilliseconds}, ({told, pull}) => {
				told.set(`front-${from}`, version);
				pull.handlePeerVersion();
			});
		}
	}

	#ask(from: number, holder: string): void {
		this.#send({from, to: holder, milliseconds: messageMilliseconds}, ({beliefs}) => {
			const input = beliefs.tableInput!;
			this.#send({from: Number(holder.split('-')[1]), to: `front-${from}`, milliseconds: tableMilliseconds}, asker => {
				asker.beliefs.applyTable(input, `instance ${holder}`);
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
