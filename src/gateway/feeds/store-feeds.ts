import {crashLongPollWait, crashPollPause, endpointPollInterval, type FleetView, instancePollInterval, routingLongPollWait} from '../../policy/sharing/index.js';
import {type EndpointChange, type RoutingTableInput} from '../../routing/index.js';
import {type PartLogger} from '../../telemetry/index.js';
import {type CrashArchive, type StoredCrashes} from '../crashes/index.js';
import {type RoutingState} from '../table/index.js';
import {type PeerRecord} from '../peers/index.js';
import {type Feed} from '../adapter/index.js';
import {type EraChange, FeedFollower, type FeedFollowerOptions} from './feed-follower.js';

/** An instance's announcement, or its withdrawal if `record` is undefined. */
export type InstanceAnnouncement = {readonly instance: string; readonly record: PeerRecord | undefined};

/** The feeds of the store that an instance follows. */
export type StoreFeeds = {
	readonly routing: Feed<RoutingTableInput>;
	readonly endpoints: Feed<EndpointChange>;
	readonly instances: Feed<InstanceAnnouncement>;
	readonly crashes: Feed<StoredCrashes>;
};

/** Receives announcements of instances, and counts the instances that notify each other of what they read from the store. */
export type PeerRegistry = {
	readonly view: FleetView;
	/** Whether an announced instance may be out of reach. */
	readonly isApart: boolean;
	addPeers(records: readonly PeerRecord[], isSnapshot: boolean): void;
	removePeer(instance: string): void;
};

export type FollowFeedsOptions = {
	readonly routingState: RoutingState;
	readonly peers: PeerRegistry;
	readonly crashes: Pick<CrashArchive, 'restore' | 'receive'>;
	/** How long a draining endpoint still serves requests. */
	readonly drainMilliseconds: number;
	/** Time within which a change by the operator must be in force. */
	readonly applyMilliseconds: number;
	readonly logger: PartLogger;
	readonly random: () => number;
	/** Called when a feed's snapshot was read after the store was restored from a backup. */
	readonly onEra: (change: EraChange) => void;
	/** Called when all that is stored of crashes was read. */
	readonly onCrashesRead?: () => void;
};

/** The followers of the store's feeds. */
export type FeedFollowers = AsyncDisposable & {readonly endpoints: FeedFollower<EndpointChange>; readonly routing: FeedFollower<RoutingTableInput>; readonly crashes: FeedFollower<StoredCrashes>};

/** Follows all feeds of the store and applies them to the routing state and the peers. */
export function followFeeds(store: StoreFeeds, options: FollowFeedsOptions): FeedFollowers {
	const {peers, routingState, logger, random, applyMilliseconds, onEra} = options;
	const common: CommonOptions = {
		logger, random, applyMilliseconds, onEra,
		otherInstances: () => peers.view.instances - 1,
		onFailed() {
			routing.abortLongPoll();
			crashes.abortLongPoll();
		},
	};
	const routing = followTables(store.routing, options, common);
	const endpoints = followEndpoints(store.endpoints, options, common);
	const instances = followInstances(store.instances, options, common);
	const crashes = followCrashes(store.crashes, options, common);
	routingState.onChange(change => {
		if (change.type === 'era') {
			endpoints.pollNow();
		}
	});
	return {
		endpoints,
		routing,
		crashes,
		async [Symbol.asyncDispose]() {
			await Promise.all([routing, endpoints, instances, crashes].map(async follower => follower[Symbol.asyncDispose]()));
		},
	};
}

/** The options that all followers share. */
type CommonOptions = Pick<FeedFollowerOptions<unknown>, 'logger' | 'random' | 'otherInstances' | 'onEra' | 'applyMilliseconds' | 'onFailed'>;

function followTables(feed: Feed<RoutingTableInput>, {routingState, random}: FollowFeedsOptions, common: CommonOptions): FeedFollower<RoutingTableInput> {
	const applyTables = (tables: readonly RoutingTableInput[]): void => {
		for (const table of tables) {
			routingState.applyTable(table, 'store');
		}
	};

	return FeedFollower.start({
		...common, feed, waitMilliseconds: longPoll => routingLongPollWait(longPoll, random()), pauseMilliseconds: () => 0,
		onChanges: applyTables,
		onSnapshot(tables) {
			applyTables(tables);
			return 0;
		},
	});
}

function followEndpoints(feed: Feed<EndpointChange>, {routingState, drainMilliseconds}: FollowFeedsOptions, common: CommonOptions): FeedFollower<EndpointChange> {
	return FeedFollower.start({
		...common, feed, waitMilliseconds: () => 0, pauseMilliseconds: position => endpointPollInterval({others: common.otherInstances(), drainMilliseconds}, position),
		onChanges(changes) {
			routingState.applyEndpointChanges(changes, 'store', performance.now());
		},
		onSnapshot: (changes, era) => routingState.applyEndpointSnapshot(changes, era, performance.now()),
	});
}

/**
 * An instance that a snapshot lacks is not removed: the store may have been restored from a backup. If the instance is
 * really gone, it does not respond to dials and counts as unreachable after several of them.
 */
function followInstances(feed: Feed<InstanceAnnouncement>, {peers}: FollowFeedsOptions, common: CommonOptions): FeedFollower<InstanceAnnouncement> {
	return FeedFollower.start({
		...common, feed, waitMilliseconds: () => 0, pauseMilliseconds: instancePollInterval,
		onChanges(announcements) {
			applyAnnouncements(peers, announcements);
		},
		onSnapshot(announcements) {
			peers.addPeers(announcements.flatMap(({record}) => record ?? []), true);
			return 0;
		},
	});
}

function followCrashes(feed: Feed<StoredCrashes>, {crashes: archive, peers, random, onCrashesRead}: FollowFeedsOptions, common: CommonOptions): FeedFollower<StoredCrashes> {
	return FeedFollower.start({
		...common, feed, waitMilliseconds: longPoll => crashLongPollWait(longPoll, random()), pauseMilliseconds: () => crashPollPause(peers.isApart),
		onChanges(stored) {
			archive.receive(stored);
		},
		onSnapshot(stored) {
			archive.restore(stored);
			onCrashesRead?.();
			return 0;
		},
	});
}

function applyAnnouncements(peers: PeerRegistry, announcements: readonly InstanceAnnouncement[]): void {
	for (const {instance, record} of announcements) {
		if (record === undefined) {
			peers.removePeer(instance);
		} else {
			peers.addPeers([record], false);
		}
	}
}
