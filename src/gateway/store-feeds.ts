import {endpointPollInterval, type FleetView, instancePollInterval, routingLongPollWait} from '../policy/sharing/index.js';
import {type EndpointChange, type RoutingTableInput} from '../routing/index.js';
import {type PartLogger} from '../telemetry/index.js';
import {type RoutingState} from './routing-state.js';
import {type EraChange, FeedFollower} from './feed-follower.js';
import {type PeerRecord} from './peer-roster.js';
import {type Feed} from './types.js';

/** An instance announced itself, or took that back. */
export type InstanceAnnouncement = {readonly instance: string; readonly record: PeerRecord | undefined};

/** The parts of the store that an instance follows. */
export type StoreFeeds = {
	readonly routing: Feed<RoutingTableInput>;
	readonly endpoints: Feed<EndpointChange>;
	readonly instances: Feed<InstanceAnnouncement>;
};

/** Who is told of announcements, and knows how many instances tell each other what they read. */
export type PeerRegistry = {
	readonly view: FleetView;
	addPeers(records: readonly PeerRecord[], isWhole: boolean): void;
	removePeer(instance: string): void;
};

export type FollowOptions = {
	readonly routingState: RoutingState;
	readonly peers: PeerRegistry;
	/** An endpoint that says it leaves goes on serving for so long. */
	readonly drainMilliseconds: number;
	/** What the operator changes is to be in force within this. */
	readonly applyMilliseconds: number;
	readonly logger: PartLogger;
	readonly random: () => number;
	/** A feed was read anew since the store came back from a copy. */
	readonly onEra: (change: EraChange) => void;
};

/** The followers of the store's feeds. */
export type FeedFollowers = AsyncDisposable & {readonly endpoints: FeedFollower<EndpointChange>; readonly routing: FeedFollower<RoutingTableInput>};

/** Follows all that the store tells, into the beliefs and to the peers. */
export function followFeeds(store: StoreFeeds, {routingState: beliefs, peers, drainMilliseconds, applyMilliseconds, logger, random, onEra}: FollowOptions): FeedFollowers {
	const others = (): number => peers.view.instances - 1;
	const common = {
		logger, random, others, onEra, applyMilliseconds,
		onFailed() {
			routing.abortLongPoll();
		},
	};
	const offerTables = (tables: readonly RoutingTableInput[]): void => {
		for (const table of tables) {
			beliefs.applyTable(table, 'store');
		}
	};

	const routing: FeedFollower<RoutingTableInput> = FeedFollower.start({
		...common, feed: store.routing, waitMilliseconds: reading => routingLongPollWait(reading, random()), pauseMilliseconds: () => 0,
		onChanges: offerTables,
		onWhole(tables) {
			offerTables(tables);
			return 0;
		},
	});
	const endpoints = FeedFollower.start({
		...common, feed: store.endpoints, waitMilliseconds: () => 0, pauseMilliseconds: pause => endpointPollInterval({others: others(), drainMilliseconds}, pause),
		onChanges(changes) {
			beliefs.applyEndpointChanges(changes, 'store', performance.now());
		},
		onWhole: (changes, era) => beliefs.offerAllEndpoints(changes, era, performance.now()),
	});
	const instances = FeedFollower.start({
		...common, feed: store.instances, waitMilliseconds: () => 0, pauseMilliseconds: instancePollInterval,
		onChanges(announcements) {
			takeAnnouncements(peers, announcements);
		},
		// Nobody is forgotten because the store doesn't name it: it may have come back from a copy, and who is gone answers no dial.
		onWhole(announcements) {
			peers.addPeers(announcements.flatMap(({record}) => record ?? []), true);
			return 0;
		},
	});
	beliefs.onChange(change => {
		if (change.type === 'era') {
			endpoints.look();
		}
	});
	return {
		endpoints,
		routing,
		async [Symbol.asyncDispose]() {
			await Promise.all([routing, endpoints, instances].map(async follower => follower[Symbol.asyncDispose]()));
		},
	};
}

function takeAnnouncements(peers: PeerRegistry, announcements: readonly InstanceAnnouncement[]): void {
	for (const {instance, record} of announcements) {
		if (record === undefined) {
			peers.removePeer(instance);
		} else {
			peers.addPeers([record], false);
		}
	}
}
