import {
	ConnectionPools, type CrashArchive, DecisionLog, type Dispatcher, type Duties, encodeCrashNews, EventLoopMonitor, type FeedFollowers, followFeeds, Gateway,
	LoopLateness, noCrashNews, type Peers, RoutingState, sampleServices,
} from '../gateway/index.js';
import {createInstanceId, type InstanceId, splitAddress} from '../model/index.js';
import {type ServiceSample} from '../policy/scaling/index.js';
import {recentPollMilliseconds} from '../policy/sharing/index.js';
import {AdminServer, forPart, type Logger, Metrics, type PartLogger} from '../telemetry/index.js';
import {type GatewaySettings} from '../settings/gateway/index.js';
import {type GatewayAdapter, type GatewayStore} from './gateway-adapter.js';
import {type Crashes, openCrashes} from './gateway-crashes.js';
import {openDispatcher, openPromptCacheReader} from './gateway-dispatcher.js';
import {openDuties} from './gateway-duties.js';
import {observeGateway} from './gateway-metrics.js';
import {openPeers} from './gateway-peers.js';
import {startPruning} from './gateway-pruning.js';
import {openStreams, type Streams} from './gateway-streams.js';

/** The share of `memoryMegabytes` for buffered request bodies; the rest is for the program, responses and connections. */
const bodyMemoryShare = 0.2;
/** The same for what is held of answers until an event, or a short answer, is complete. */
const responseMemoryShare = 0.1;
const megabyte = 1024 * 1024;

export type GatewayProcessOptions = {readonly settings: GatewaySettings; readonly adapter: GatewayAdapter; readonly logger: Logger};

/** The parts of a gateway process that it uses after their creation. */
export type Parts = {
	readonly settings: GatewaySettings;
	readonly log: PartLogger;
	readonly store: GatewayStore;
	readonly routingState: RoutingState;
	readonly peers: Peers;
	readonly dispatcher: Dispatcher;
	readonly gateway: Gateway;
	readonly admin: AdminServer;
	readonly duties: Duties | undefined;
	/** The parts to dispose of, in this order. */
	readonly disposables: ReadonlyArray<AsyncDisposable | Disposable>;
};

/** What all parts need. `peers`, `feeds` and `duties` are called by parts that are opened before these. */
type Base = GatewayProcessOptions & {
	readonly incarnation: InstanceId;
	readonly metrics: Metrics;
	readonly store: GatewayStore;
	readonly routingState: RoutingState;
	readonly peers: () => Peers;
	readonly feeds: () => FeedFollowers | undefined;
	readonly duties: () => Duties | undefined;
};

/** The parts that are opened last. Until then this instance tells connecting peers that it has not read the endpoints. */
type LateParts = {peers?: Peers; feeds?: FeedFollowers; duties?: Duties | undefined};

/** Opens all parts of a gateway process, each after those that it needs at once. */
export async function openParts(options: GatewayProcessOptions): Promise<Parts> {
	const late: LateParts = {};
	const base = openBase(options, late);
	const {settings, adapter, logger, incarnation, metrics, store, routingState} = base;
	const connectionPools = openConnectionPools(base);
	const decisions = DecisionLog.create(forPart(logger, 'Request'), metrics);
	const dispatcher = openDispatcher(base);
	const {ledger: crashes, archive: crashArchive} = openGatewayCrashes(base);
	const {registry: streams, builds} = openGatewayStreams(base);
	const promptCacheReader = openPromptCacheReader(base, dispatcher, adapter);
	const peers = await openPeers(settings, {incarnation, routingState, dispatcher, crashes, streams, promptCacheReader, logger, feeds: base.feeds, duties: base.duties});
	late.peers = peers;
	const feeds = openFeeds(base, crashArchive);
	late.feeds = feeds;
	const duties = await openGatewayDuties(base, dispatcher);
	late.duties = duties;
	const lateness = LoopLateness.create(settings.lateLoop);
	const eventLoopMonitor = EventLoopMonitor.create(forPart(logger, 'Processor'), metrics, () => dispatcher.takeQueueActivity(), () => lateness.takeActivity());
	dispatcher.loadTracker.paces.mayLearn = () => eventLoopMonitor.measuresInTime;
	const gateway = await Gateway.create({
		...splitAddress(settings.callerAddress),
		maxBodyMemoryBytes: settings.memoryMegabytes * megabyte * bodyMemoryShare,
		maxResponseMemoryBytes: settings.memoryMegabytes * megabyte * responseMemoryShare,
		routingState, dispatcher, connectionPools, codec: adapter.codec, crashes, streams, log: decisions, eventLoopMonitor, lateness, logger: forPart(logger, 'Gateway'), usage: duties?.counter,
	});
	observeGateway(metrics, {dispatcher, lateness, gateway, peers, routingState});
	const admin = await AdminServer.create({...splitAddress(settings.adminAddress), metrics, readyPath: adapter.readyPath, isReady: () => gateway.isReady});
	const pruning = startPruning(metrics, {routingState, dispatcher, crashes, crashArchive, connectionPools});
	return {
		settings, log: forPart(logger, 'Gateway'), store, routingState, peers, dispatcher, gateway, admin, duties,
		disposables: [pruning, admin, gateway, feeds, promptCacheReader, ...(duties === undefined ? [] : [duties]), peers, dispatcher, crashArchive, crashes, streams, builds, decisions, lateness, eventLoopMonitor, connectionPools, store],
	};
}

function openBase(options: GatewayProcessOptions, late: LateParts): Base {
	const {settings, adapter, logger} = options;
	const incarnation = createInstanceId('gateway');
	const metrics = Metrics.create({role: 'gateway'});
	const routingState = RoutingState.create(forPart(logger, 'Beliefs'));
	const store = adapter.openStore(settings.storeAddress, forPart(logger, 'Store'));
	return {...options, incarnation, metrics, store, routingState, peers: () => late.peers!, feeds: () => late.feeds, duties: () => late.duties};
}

/** Opens the connections to endpoints; those to an earlier incarnation of an endpoint carry no more requests. */
function openConnectionPools({routingState, logger}: Base): ConnectionPools {
	const connectionPools = ConnectionPools.create();
	const log = forPart(logger, 'Endpoints');
	routingState.onChange((change, source) => {
		if (change.type !== 'reborn') {
			return;
		}

		for (const restart of change.restarts) {
			const {id: endpoint, ...known} = restart;
			log.info('Connections to an earlier incarnation take no more requests.', {endpoint, ...known, ...connectionPools.handleRestart(restart), source});
		}
	});
	return connectionPools;
}

function openGatewayCrashes({settings: {instance}, store, routingState, metrics, logger, peers}: Base): Crashes {
	return openCrashes({
		instance, store, routingState, metrics, logger,
		instances: () => peers().roster.presentNames(performance.now()),
		onNews(news) {
			peers().announce(encodeCrashNews(news, performance.now()));
		},
	});
}

function openGatewayStreams({settings: {instance, isFirstStart}, store, routingState, metrics, logger, peers, feeds}: Base): Streams {
	return openStreams({
		instance, isFirstStart, store, routingState, metrics, logger, peers, instances: () => peers().roster.presentNames(performance.now()),
		readEndpoints: async milliseconds => await feeds()?.endpoints.readAgain(milliseconds) ?? false,
	});
}

function openFeeds({settings, store, routingState, metrics, logger, peers}: Base, crashes: CrashArchive): FeedFollowers {
	const eraCounter = metrics.counter('gateway_store_eras_total', 'How often a feed was read again because the store was restored from a backup.', ['feed']);
	return followFeeds(store, {
		routingState, peers: peers(), crashes, drainMilliseconds: settings.drainMilliseconds, applyMilliseconds: settings.applyMilliseconds, logger: forPart(logger, 'Store'), random: Math.random,
		onEra({feed}) {
			eraCounter.add(1, {feed});
		},
		onCrashesRead() {
			peers().announce(encodeCrashNews(noCrashNews, performance.now(), true));
		},
	});
}

async function openGatewayDuties({settings, adapter, incarnation, store, routingState, metrics, logger, peers, feeds}: Base, dispatcher: Dispatcher): Promise<Duties | undefined> {
	return openDuties({
		settings, incarnation, store: store.duties, metrics, logger, peers,
		openReceiver: address => adapter.openDutyReceiver(address),
		sampleServices() {
			const followers = feeds();
			return followers !== undefined && knowsFleet(followers) ? sampleFleet(dispatcher, routingState) : undefined;
		},
	});
}

/** True if the endpoints were read from the store lately. */
function knowsFleet({endpoints}: FeedFollowers): boolean {
	return endpoints.millisecondsSinceRead(performance.now()) < recentPollMilliseconds;
}

function sampleFleet({loadTracker, view, endpoints}: Dispatcher, routingState: RoutingState): readonly ServiceSample[] {
	const now = performance.now();
	return sampleServices({routingState, loadTracker, view, now, isHealthy: record => endpoints.isOpen(record, now)});
}
