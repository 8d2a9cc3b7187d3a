import {readFileSync} from 'node:fs';
import process from 'node:process';
import {Beliefs, ChannelBook, DecisionLog, Dispatcher, type Feed, FeedFollower, Gateway, type PeerRecord, Peers, type RequestCodec} from '../gateway/index.js';
import {createInstanceId, type InstanceId, type ZoneName} from '../model/index.js';
import {type RetryAllowance} from '../policy/dispatch/index.js';
import {type EndpointChange, type RoutingTableInput} from '../routing/index.js';
import {AdminServer, createLogger, forPart, LineSink, Metrics, type PartLogger} from '../telemetry/index.js';
import {type GatewaySettings, parseGatewaySettings} from './settings/gateway-settings.js';
import {stopSignal, withinMilliseconds} from './stop-signal.js';

/** What a platform's adapter brings: translation, and the store's feeds. */
export type GatewayAdapter = {
	readonly codec: RequestCodec;
	readonly readyPath: string;
	openStore(address: string, logger: PartLogger): GatewayStore;
};

export type GatewayStore = AsyncDisposable & {
	readonly routing: Feed<RoutingTableInput>;
	readonly endpoints: Feed<EndpointChange>;
	readonly instances: Feed<InstanceAnnouncement>;
	announce(record: PeerRecord): Promise<void>;
	retract(instance: string): Promise<void>;
};

export type InstanceAnnouncement = {readonly instance: string; readonly record: PeerRecord | undefined};

/** A routing table is in force within a second of its writing; the wait only bounds how long a dead connection is believed. */
const routingWaitMilliseconds = 2500;
/** An endpoint's leaving is known well within two seconds, the shortest time it still serves. */
const endpointPauseMilliseconds = 900;
/** Instances come and go rarely, and peers tell most of it. */
const instancePauseMilliseconds = 10_000;
const announceRetryMilliseconds = 1000;
const settingsPollMilliseconds = 2000;
const pruneMilliseconds = 10_000;
/** Bodies may take this part of the memory; the rest is the program, answers and connections. */
const bodiesShare = 0.2;
/** A planned stop ends this long before the platform would end it. */
const stopMarginMilliseconds = 600;

/** Runs one gateway from its settings file until it is asked to stop. */
export async function runGateway(settingsFile: string, adapter: GatewayAdapter): Promise<void> {
	let text = readFileSync(settingsFile, 'utf8');
	const settings = parseGatewaySettings(text);
	using sink = LineSink.create(process.stdout.fd);
	const logger = createLogger({name: 'cassiaflow-gateway', level: settings.logLevel, output: sink, fields: {instance: settings.instance}});
	const log = forPart(logger, 'Gateway');
	const incarnation = createInstanceId('gateway');
	const metrics = Metrics.create({role: 'gateway'});
	const beliefs = Beliefs.create(forPart(logger, 'Beliefs'));
	await using store = adapter.openStore(settings.storeAddress, forPart(logger, 'Store'));
	using channels = ChannelBook.create();
	using decisions = DecisionLog.create(forPart(logger, 'Request'), metrics);
	using dispatcher = Dispatcher.create({
		instance: incarnation,
		zone: settings.availabilityZone as ZoneName,
		beliefs,
		logger: forPart(logger, 'Dispatch'),
		allowance: allowanceOf(settings),
		random: Math.random,
		onLoad(event) {
			peers.tellLoad(event);
		},
	});
	await using peers = await Peers.create({
		instance: settings.instance,
		incarnation,
		...splitAddress(settings.peerAddress),
		security: {type: 'plaintext'},
		seeds: settings.seedHosts.map(seed => `${seed.split(':', 1)[0]}:${splitAddress(settings.peerAddress).port}`),
		beliefs,
		logger: forPart(logger, 'Peers'),
		onLoad(event) {
			dispatcher.takeLoad(event);
		},
		onCount(instances) {
			dispatcher.instances = instances;
		},
	});
	await using _feeds = followFeeds(store, {beliefs, peers, logger: forPart(logger, 'Store')});
	await using gateway = await Gateway.create({
		...splitAddress(settings.callerAddress),
		heldBodiesBytes: settings.memoryMegabytes * 1024 * 1024 * bodiesShare,
		beliefs, dispatcher, channels, codec: adapter.codec, log: decisions, logger: log,
	});
	metrics.observe('gateway_waiting', 'Requests that wait for a place.', () => dispatcher.waiting);
	metrics.observe('gateway_open', 'Requests without their whole answer.', () => gateway.openRequests);
	metrics.observe('gateway_peers', 'Other gateways connected.', () => peers.count);
	metrics.observe('gateway_table_version', 'The routing table in force.', () => beliefs.table?.version ?? 0);
	await using _admin = await AdminServer.create({...splitAddress(settings.adminAddress), metrics, readyPath: adapter.readyPath, isReady: () => gateway.isReady});
	const {host} = splitAddress(settings.callerAddress);
	const {metricsPort} = settings;
	await using _metrics = metricsPort === undefined ? undefined : await AdminServer.create({host, port: metricsPort, metrics, isReady: () => gateway.isReady});
	const announcing = new AbortController();
	void announce(store, {instance: settings.instance, address: settings.peerAddress}, {logger: log, signal: announcing.signal});
	process.on('uncaughtExceptionMonitor', error => {
		log.error('Ending after an error that nothing caught.', {err: error});
		sink[Symbol.dispose]();
	});
	log.info('Started.', {incarnation, version: process.version, milliseconds: Math.round(performance.now()), ...describe(settings)});

	const prune = setInterval(() => {
		beliefs.prune(performance.now());
		dispatcher.book.prune(performance.now());
		channels.retain(new Set(beliefs.directory.entries.keys()));
	}, pruneMilliseconds);
	const reload = (cause: string): void => {
		text = reloadSettings(settingsFile, text, {cause, logger: log, apply(changed) {
			dispatcher.retries.setAllowance(allowanceOf(changed));
		}});
	};

	const poll = setInterval(reload, settingsPollMilliseconds, 'file');
	process.on('SIGHUP', () => {
		reload('SIGHUP');
	});
	log.info('Stopping.', {signal: await stopSignal(), open: gateway.openRequests});
	announcing.abort();
	const retracted = store.retract(settings.instance).catch((error: unknown) => {
		log.warn('Could not retract the announcement.', {reason: String(error)});
	});
	const whole = await withinMilliseconds(Promise.all([gateway.drain(), retracted]), (settings.stopSeconds * 1000) - stopMarginMilliseconds);
	log.info('Stopped.', {isWhole: whole, open: gateway.openRequests});
	clearInterval(prune);
	clearInterval(poll);
}

function followFeeds(store: GatewayStore, {beliefs, peers, logger}: {beliefs: Beliefs; peers: Peers; logger: PartLogger}): AsyncDisposable {
	const followers = [
		FeedFollower.start({
			feed: store.routing, logger, waitMilliseconds: routingWaitMilliseconds, pauseMilliseconds: 0,
			onItems(tables) {
				for (const table of tables) {
					beliefs.offerTable(table, 'store');
				}
			},
		}),
		FeedFollower.start({
			feed: store.endpoints, logger, waitMilliseconds: 0, pauseMilliseconds: endpointPauseMilliseconds,
			onItems(changes, isWhole) {
				if (isWhole) {
					beliefs.offerAllEndpoints(changes, 'store', performance.now());
				} else {
					beliefs.offerEndpoints(changes, 'store', performance.now());
				}
			},
		}),
		FeedFollower.start({
			feed: store.instances, logger, waitMilliseconds: 0, pauseMilliseconds: instancePauseMilliseconds,
			onItems(announcements) {
				for (const {instance, record} of announcements) {
					if (record === undefined) {
						peers.forget(instance);
					} else {
						peers.know([record]);
					}
				}
			},
		}),
	];
	return {
		async [Symbol.asyncDispose]() {
			await Promise.all(followers.map(async follower => follower[Symbol.asyncDispose]()));
		},
	};
}

/** Announces this instance, as often as it takes. */
async function announce(store: GatewayStore, record: PeerRecord, {logger, signal}: {logger: PartLogger; signal: AbortSignal}): Promise<void> {
	for (let tries = 1; !signal.aborted; tries++) {
		try {
			await store.announce(record);
			logger.info('Announced to the other instances.', {address: record.address, tries});
			return;
		} catch (error) {
			if (tries === 1) {
				logger.warn('Could not announce this instance, trying again.', {reason: String(error)});
			}

			await new Promise(resolve => {
				setTimeout(resolve, announceRetryMilliseconds * Math.min(tries, 8));
			});
		}
	}
}

/** Reads the file again; gives the text that is in force then. A wrong file leaves the old settings in force. */
function reloadSettings(file: string, before: string, {cause, logger, apply}: {cause: string; logger: PartLogger; apply: (settings: GatewaySettings) => void}): string {
	try {
		const text = readFileSync(file, 'utf8');
		if (text === before) {
			if (cause !== 'file') {
				logger.info('Reloaded, nothing changed.', {cause});
			}

			return before;
		}

		apply(parseGatewaySettings(text));
		logger.info('Reloaded.', {cause});
		return text;
	} catch (error) {
		logger.error('The settings file is wrong, the old settings stay in force.', {cause, reason: String(error)});
		return before;
	}
}

function allowanceOf({retryRatio, retrySlack, retryWindowSeconds}: GatewaySettings): RetryAllowance {
	return {ratio: retryRatio, slack: retrySlack, windowMilliseconds: retryWindowSeconds * 1000};
}

function describe({availabilityZone, callerAddress, adminAddress, peerAddress, storeAddress}: GatewaySettings): Readonly<Record<string, string>> {
	return {availabilityZone, callerAddress, adminAddress, peerAddress, storeAddress};
}

function splitAddress(address: string): {host: string; port: number} {
	const separator = address.lastIndexOf(':');
	return {host: address.slice(0, separator), port: Number(address.slice(separator + 1))};
}
