#!/usr/bin/env node
import {EngineClient, EngineControl, ServiceClient} from '../endpoint/index.js';
import {
	createInstanceId, type EndpointId, type InstanceId, type TargetName, type ZoneName,
} from '../model/index.js';
import {type Catalogue} from '../catalogue/index.js';
import {
	CatalogueFollower, handleCatalogueMessage, HttpLogClient, HttpMembershipClient, HttpWeightStoreClient, QuarantineLedger,
} from '../platform/index.js';
import {createSettings, createTieredScheduler, type TieredState, type Violation} from '../policy/scheduler/index.js';
import {ModelReconciler, OrderSender} from '../side/orders/index.js';
import {type Backend, EndpointWatch, Side, SideTelemetry} from '../side/index.js';
import {AdminServer, createLogger, createOperatorRoutes, DecisionJournal, forPart, Metrics, type PartLogger,
} from '../telemetry/index.js';
import {
	readSecurity, runProgram, sideSettings, type SideSettings,
} from './settings/index.js';
import {stopSignal, withinMilliseconds} from './stop-signal.js';

const platformTimeoutMilliseconds = 2000;
const healthTimeoutMilliseconds = 1000;
/** Model weights are many gigabytes, and the store limits its transfer rate. */
const weightsTimeoutMilliseconds = 30 * 60_000;

async function main(settings: SideSettings): Promise<void> {
	const instance = (settings.instance ?? createInstanceId('side')) as InstanceId;
	const logger = createLogger({name: sideSettings.program, level: settings.logLevel, fields: {instance, endpoint: settings.endpoint}});
	const log = forPart(logger, 'Side');
	const catalogueLog = forPart(logger, 'Catalogue');
	const metrics = Metrics.create({role: 'side', includesProcessMetrics: true});
	const violations = metrics.counter('violations_total', 'Violated invariants of the queue, by rule.', ['rule']);
	const onLog = (message: string): void => {
		catalogueLog.warn(message);
	};

	await using follower = CatalogueFollower.create({
		log: HttpLogClient.create({baseUrl: settings.logUrl, timeoutMilliseconds: platformTimeoutMilliseconds}),
		instance,
		onLog,
	});
	const control = EngineControl.create({baseUrl: settings.endpointUrl, timeoutMilliseconds: healthTimeoutMilliseconds});
	await using ledger = QuarantineLedger.create({log: HttpLogClient.create({baseUrl: settings.logUrl, timeoutMilliseconds: platformTimeoutMilliseconds}), onLog});
	const backend = createBackend(settings);
	await using _client = backend.client;
	const journal = DecisionJournal.create();
	await using side = await Side.create({
		telemetry: SideTelemetry.create(metrics, journal),
		instance,
		endpoint: settings.endpoint as EndpointId,
		targets: settings.targets as TargetName[],
		zone: settings.zone as ZoneName,
		host: settings.listenHost,
		port: settings.listenPort,
		security: readSecurity(sideSettings.program, settings),
		backend,
		scheduler: createTieredScheduler(createSettings({
			onViolation({rule, detail}: Violation) {
				violations.add(1, {rule});
				log.error('Queue invariant violated.', {rule, detail});
			},
		})),
		logger: log,
		quarantine: backend.type === 'engine' ? {ledger, isHealthy: async () => control.isHealthy()} : undefined,
		catalogueOffset: () => follower.current().offset,
		onPeerMessage(message, reply) {
			handleCatalogueMessage(follower, message, reply);
		},
	});
	await using _endpointWatch = backend.type === 'engine' ? EndpointWatch.create(control, side) : undefined;
	await using _reconciler = backend.type === 'engine' && settings.weightsUrl !== undefined
		? createModelReconciler({...settings, weightsUrl: settings.weightsUrl}, {
			instance, control, side, logger: forPart(logger, 'Models'), catalogue: () => follower.current(),
		})
		: undefined;
	await using admin = await AdminServer.create({
		host: settings.adminHost,
		port: settings.adminPort,
		metrics,
		isReady: () => side.phase === 'serving' && follower.isReady,
		routes: createOperatorRoutes({
			instance,
			role: 'side',
			journal,
			status: () => side.status(),
		}),
	});
	log.info('Listening.', {address: side.address, adminPort: admin.port});
	log.info('Stopping.', {signal: await stopSignal()});
	const isDrained = await withinMilliseconds(side.drain(), settings.stopMilliseconds);
	log.info(isDrained ? 'Stopped with nothing running.' : 'Stopped with requests running after the drain timeout.');
}

type ReconcilerParts = {
	readonly instance: string;
	readonly control: EngineControl;
	readonly side: Side<TieredState>;
	readonly logger: PartLogger;
	readonly catalogue: () => Catalogue;
};

/** Creates the reconciler that keeps the endpoint's models in line with the catalogue. */
function createModelReconciler(settings: SideSettings & {readonly weightsUrl: string}, {instance, control, side, logger, catalogue}: ReconcilerParts): ModelReconciler {
	const platform = (baseUrl: string) => ({baseUrl, timeoutMilliseconds: platformTimeoutMilliseconds});
	return ModelReconciler.create({
		endpoint: settings.endpoint as EndpointId,
		catalogue,
		membership: HttpMembershipClient.create(platform(settings.membersUrl)),
		weights: HttpWeightStoreClient.create({...platform(settings.weightsUrl), timeoutMilliseconds: weightsTimeoutMilliseconds, endpoint: settings.endpoint}),
		control,
		openOrderSender: async () => OrderSender.create({
			log: HttpLogClient.create(platform(settings.logUrl)), instance, endpoint: settings.endpoint, control, endpointChecksFences: settings.fencing === 'checks',
		}),
		logger,
		onModels(models) {
			side.setTargets(models);
		},
	});
}

/** Creates the client of the endpoint. Services have no health check: a refused connection shows that the service is down and that the request was not run. */
function createBackend({endpointKind, endpointUrl}: SideSettings): Backend {
	switch (endpointKind) {
		case 'engine': {
			return {type: 'engine', client: EngineClient.create({baseUrl: endpointUrl})};
		}

		case 'service': {
			return {type: 'service', client: ServiceClient.create({baseUrl: endpointUrl})};
		}
	}
}

await runProgram(sideSettings, main);
