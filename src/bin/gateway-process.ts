import process from 'node:process';
import {RoutingState, ConnectionPools, DecisionLog, Dispatcher, type FeedFollowers, followFeeds, Gateway, PromptCacheReader, type PeerRecord, Peers, EventLoopMonitor, type RequestCodec, type StoreFeeds} from '../gateway/index.js';
import {createInstanceId, type InstanceId, splitAddress, type ZoneName} from '../model/index.js';
import {type PromptPart, type RetryAllowance} from '../policy/dispatch/index.js';
import {recentPollMilliseconds} from '../policy/sharing/index.js';
import {AdminServer, forPart, type Logger, Metrics, type PartLogger} from '../telemetry/index.js';
import {type GatewaySettings} from './settings/gateway-settings.js';
import {parseTuning} from './settings/tuning.js';
import {withinMilliseconds} from './stop-signal.js';

/** What a platform's adapter brings: translation, and the store's feeds. */
export type GatewayAdapter = {
	readonly codec: RequestCodec;
	readonly readyPath: string;
	openStore(address: string, logger: PartLogger): GatewayStore;
	/** Asks a model engine which prompt parts it keeps. */
	readCachedParts(address: string): Promise<readonly PromptPart[]>;
};

export type GatewayStore = AsyncDisposable & StoreFeeds & {
	/** Calls at the first answer that comes from a newer era of the store. */
	onEra(listener: (era: number) => void): void;
	announce(record: PeerRecord): Promise<void>;
	retract(instance: string): Promise<void>;
};

const announceRetryMilliseconds = 1000;
/** All instances announce themselves anew once the store has come back from a copy: spread over so long. */
const announceSpreadMilliseconds = 2000;
const pruneMilliseconds = 10_000;
/** Bodies may take this part of the memory; the rest is the program, answers and connections. */
const bodiesShare = 0.2;
/** A planned stop ends this long before the platform would end it. */
const stopMarginMilliseconds = 600;

type Parts = {
	readonly settings: GatewaySettings;
	readonly log: PartLogger;
	readonly store: GatewayStore;
	readonly routingState: RoutingState;
	readonly peers: Peers;
	readonly dispatcher: Dispatcher;
	readonly gateway: Gateway;
	readonly admin: AdminServer;
	/** Everything that must be released, in this order. */
	readonly releases: ReadonlyArray<AsyncDisposable | Disposable>;
};

/** One gateway with all its parts. */
export class GatewayProcess implements AsyncDisposable {
	static async create({settings, adapter, logger}: {settings: GatewaySettings; adapter: GatewayAdapter; logger: Logger}): Promise<GatewayProcess> {
		const incarnation = createInstanceId('gateway');
		const metrics = Metrics.create({role: 'gateway'});
		const routingState = RoutingState.create(forPart(logger, 'Beliefs'));
		const store = adapter.openStore(settings.storeAddress, forPart(logger, 'Store'));
		const channels = ConnectionPools.create();
		routingState.onChange(change => {
			for (const id of change.type === 'reborn' ? change.ids : []) {
				channels.closeStaleConnections(id);
			}
		});
		const decisions = DecisionLog.create(forPart(logger, 'Request'), metrics);
		const dispatcher = Dispatcher.create({
			incarnation,
			zone: settings.availabilityZone as ZoneName,
			routingState,
			logger: forPart(logger, 'Dispatch'),
			allowance: allowanceOf(settings),
			random: Math.random,
			tuning: parseTuning(process.env.CASSIAFLOW_TUNING),
			onLoad(event) {
				peers.broadcastLoad(event);
			},
		});
		const kept = PromptCacheReader.create({
			instance: settings.instance, routingState, logger: forPart(logger, 'Kept'),
			instances: () => peers.instanceNames,
			read: async address => adapter.readCachedParts(address),
			onRead(list) {
				dispatcher.applyLoad({type: 'kept', ...list});
				peers.broadcastPromptCache(list);
			},
		});
		/** Peers may come before the feeds are followed: nothing was read until then. */
		const followed: {feeds?: FeedFollowers} = {};
		const peers = await openPeers(settings, {incarnation, routingState, dispatcher, kept, logger, feeds: () => followed.feeds});
		const eras = metrics.counter('gateway_store_eras_total', 'How often a feed was read anew since the store came back from a copy.', ['feed']);
		const feeds = followFeeds(store, {
			routingState, peers, drainMilliseconds: settings.drainMilliseconds, applyMilliseconds: settings.applyMilliseconds, logger: forPart(logger, 'Store'), random: Math.random,
			onEra({feed}) {
				eras.add(1, {feed});
			},
		});
		followed.feeds = feeds;
		const watch = EventLoopMonitor.create(forPart(logger, 'Processor'), metrics, () => dispatcher.takeQueueActivity());
		const gateway = await Gateway.create({
			...splitAddress(settings.callerAddress),
			maxBufferedBodyBytes: settings.memoryMegabytes * 1024 * 1024 * bodiesShare,
			routingState, dispatcher, connectionPools: channels, codec: adapter.codec, log: decisions, eventLoopMonitor: watch, logger: forPart(logger, 'Gateway'),
		});
		metrics.observe('gateway_waiting', 'Requests that wait for a place.', () => dispatcher.queueLength);
		metrics.observe('gateway_open', 'Requests without their whole answer.', () => gateway.openRequests);
		metrics.observe('gateway_peers', 'Other gateways connected.', () => peers.count);
		metrics.observe('gateway_table_version', 'The routing table in force.', () => routingState.table?.version ?? 0);
		const admin = await AdminServer.create({...splitAddress(settings.adminAddress), metrics, readyPath: adapter.readyPath, isReady: () => gateway.isReady});
		const prune = setInterval(() => {
			routingState.prune(performance.now());
			dispatcher.loadTracker.prune(performance.now());
			channels.retain(new Set(routingState.directory.entries.keys()));
		}, pruneMilliseconds);
		const timers = {
			[Symbol.dispose]() {
				clearInterval(prune);
			},
		};
		return new GatewayProcess({
			settings, log: forPart(logger, 'Gateway'), store, routingState, peers, dispatcher, gateway, admin,
			releases: [timers, admin, gateway, feeds, kept, peers, dispatcher, decisions, watch, channels, store],
		});
	}

	readonly #parts: Parts;
	readonly #announcing = new AbortController();

	private constructor(parts: Parts) {
		this.#parts = parts;
		void this.#announce();
		parts.store.onEra(() => {
			setTimeout(() => {
				void this.#announce();
			}, Math.random() * announceSpreadMilliseconds).unref();
		});
	}

	get gateway(): Gateway {
		return this.#parts.gateway;
	}

	get routingState(): RoutingState {
		return this.#parts.routingState;
	}

	get peers(): Peers {
		return this.#parts.peers;
	}

	get adminPort(): number {
		return this.#parts.admin.port;
	}

	/** Takes what may change while it runs. */
	apply(settings: GatewaySettings): void {
		this.#parts.dispatcher.retries.setAllowance(allowanceOf(settings));
	}

	/** A planned stop; true if nothing was cut off. */
	async drain(): Promise<boolean> {
		const {gateway, store, settings, log} = this.#parts;
		this.#announcing.abort();
		const retracted = store.retract(settings.instance).catch((error: unknown) => {
			log.warn('Could not retract the announcement.', {reason: String(error)});
		});
		return withinMilliseconds(Promise.all([gateway.drain(), retracted]), (settings.stopSeconds * 1000) - stopMarginMilliseconds);
	}

	async [Symbol.asyncDispose](): Promise<void> {
		this.#announcing.abort();
		for (const part of this.#parts.releases) {
			if (Symbol.asyncDispose in part) {
				await part[Symbol.asyncDispose]();
			} else {
				part[Symbol.dispose]();
			}
		}
	}

	/** Announces this instance, as often as it takes. */
	async #announce(): Promise<void> {
		const {store, settings, log} = this.#parts;
		const {signal} = this.#announcing;
		for (let tries = 1; !signal.aborted; tries++) {
			try {
				await store.announce({instance: settings.instance, address: settings.peerAddress, zone: settings.availabilityZone as ZoneName});
				log.info('Announced to the other instances.', {address: settings.peerAddress, tries});
				return;
			} catch (error) {
				if (tries === 1) {
					log.warn('Could not announce this instance, trying again.', {reason: String(error)});
				}

				await new Promise(resolve => {
					setTimeout(resolve, announceRetryMilliseconds * Math.min(tries, 8)).unref();
				});
			}
		}
	}
}

type PeerParts = {readonly incarnation: string; readonly routingState: RoutingState; readonly dispatcher: Dispatcher; readonly kept: PromptCacheReader; readonly logger: Logger; readonly feeds: () => FeedFollowers | undefined};

async function openPeers(settings: GatewaySettings, {incarnation, routingState: beliefs, dispatcher, kept, logger, feeds}: PeerParts): Promise<Peers> {
	const {host, port} = splitAddress(settings.peerAddress);
	return Peers.create({
		instance: settings.instance,
		zone: settings.availabilityZone as ZoneName,
		incarnation,
		host,
		port,
		security: {type: 'plaintext'},
		seeds: settings.seedHosts.map(seed => `${seed.split(':', 1)[0]}:${port}`),
		routingState: beliefs,
		logger: forPart(logger, 'Peers'),
		onLoad(event) {
			dispatcher.applyLoad(event);
		},
		onPromptCache(list) {
			kept.markRead(list.endpoint);
			dispatcher.applyLoad({type: 'kept', ...list});
		},
		knowsEndpoints: () => (feeds()?.endpoints.millisecondsSinceRead(performance.now()) ?? Infinity) < recentPollMilliseconds,
		onStaleTable() {
			feeds()?.routing.abortLongPoll();
		},
		onView(view) {
			dispatcher.view = view;
		},
	});
}

function allowanceOf({retryRatio, retrySlack, retryWindowSeconds}: GatewaySettings): RetryAllowance {
	return {ratio: retryRatio, slack: retrySlack, windowMilliseconds: retryWindowSeconds * 1000};
}
