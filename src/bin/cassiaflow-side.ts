#!/usr/bin/env node
// eslint-disable-next-line import-x/no-unassigned-import, import-x/order -- it registers its handlers, which must be in place before the other modules load
import './early-signals.js';
import {EngineClient, EngineControl, ServiceClient} from '../endpoint/index.js';
import {
	createInstanceId, type EndpointId, type InstanceId, type TargetName, type ZoneName,
} from '../model/index.js';
import {handleCatalogueMessage, HttpWeightStoreClient} from '../platform/index.js';
import {createSettings, createTieredScheduler, type Scheduler, type TieredState, type Violation} from '../policy/scheduler/index.js';
import {ModelReconciler, OrderSender} from '../side/orders/index.js';
import {type Backend, EndpointWatch, Side, SideTelemetry} from '../side/index.js';
import {AdminServer, createLogger, createOperatorRoutes, DecisionJournal, forPart, Metrics, type PartLogger} from '../telemetry/index.js';
import {
	readSecurity, runProgram, sideSettings, type SideSettings,
} from '../settings/index.js';
import {PlatformParts} from './platform-parts.js';
import {describeStop, logIgnoredSignals, stopRequest} from './stop-signal.js';
import {withinMilliseconds} from './within-milliseconds.js';

const healthTimeoutMilliseconds = 1000;
/** Model weights are many gigabytes, and the store limits its transfer rate. */
const weightsTimeoutMilliseconds = 30 * 60_000;

async function main(settings: SideSettings): Promise<void> {
	const instance = (settings.instance ?? createInstanceId('side')) as InstanceId;
	const logger = createLogger({name: sideSettings.program, level: settings.logLevel, fields: {instance, endpoint: settings.endpoint}});
	const log = forPart(logger, 'Side');
	const metrics = Metrics.create({role: 'side', includesProcessMetrics: true});
	await using platform = PlatformParts.create(settings, instance, logger);
	const control = EngineControl.create({baseUrl: settings.endpointUrl, timeoutMilliseconds: healthTimeoutMilliseconds});
	const backend = createBackend(settings);
	await using _client = backend.client;
	const journal = DecisionJournal.create();
	await using side = await openSide(settings, {instance, platform, control, backend, logger: log, metrics, journal});
	await using _endpointWatch = backend.type === 'engine' ? EndpointWatch.create(control, side) : undefined;
	await using _reconciler = backend.type === 'engine' && settings.weightsUrl !== undefined
		? createModelReconciler({...settings, weightsUrl: settings.weightsUrl}, {instance, platform, control, side, logger: forPart(logger, 'Models')})
		: undefined;
	await using admin = await AdminServer.create({
		host: settings.adminHost,
		port: settings.adminPort,
		metrics,
		isReady: () => side.phase === 'serving' && platform.catalogue.isReady,
		routes: createOperatorRoutes({instance, role: 'side', journal, status: () => side.status()}),
	});
	log.info('Listening.', {address: side.address, adminPort: admin.port});
	const request = await stopRequest();
	using _signals = logIgnoredSignals(log, 'reads-settings-once');
	log.info('Stopping.', describeStop(request));
	const isDrained = await withinMilliseconds(side.drain(), request.earliestAt + settings.stopMilliseconds - performance.now());
	log.info(isDrained ? 'Stopped with nothing running.' : 'Stopped with requests running after the drain timeout.');
}

type SideParts = {
	readonly instance: InstanceId;
	readonly platform: PlatformParts;
	readonly control: EngineControl;
	readonly backend: Backend;
	readonly logger: PartLogger;
	readonly metrics: Metrics;
	readonly journal: DecisionJournal;
};

async function openSide(settings: SideSettings, {instance, platform, control, backend, logger, metrics, journal}: SideParts): Promise<Side<TieredState>> {
	const {catalogue, quarantine: ledger} = platform;
	const scheduler = openScheduler(metrics, logger);
	return Side.create({
		telemetry: SideTelemetry.create(metrics, journal),
		instance,
		endpoint: settings.endpoint as EndpointId,
		targets: settings.targets as TargetName[],
		zone: settings.zone as ZoneName,
		host: settings.listenHost,
		port: settings.listenPort,
		security: readSecurity(sideSettings.program, settings),
		backend,
		scheduler,
		logger,
		quarantine: backend.type === 'engine' ? {ledger, isHealthy: async () => control.isHealthy()} : undefined,
		catalogueOffset: () => catalogue.current().offset,
		onPeerMessage(message, reply) {
			handleCatalogueMessage(catalogue, message, reply);
		},
	});
}

/** Creates the scheduler of the queue; invariants that it finds violated are counted and logged. */
function openScheduler(metrics: Metrics, logger: PartLogger): Scheduler<TieredState> {
	const violations = metrics.counter('violations_total', 'Violated invariants of the queue, by rule.', ['rule']);
	return createTieredScheduler(createSettings({
		onViolation({rule, detail}: Violation) {
			violations.add(1, {rule});
			logger.error('Queue invariant violated.', {rule, detail});
		},
	}));
}

type ReconcilerParts = {
	readonly instance: InstanceId;
	readonly platform: PlatformParts;
	readonly control: EngineControl;
	readonly side: Side<TieredState>;
	readonly logger: PartLogger;
};

/** Creates the reconciler that keeps the endpoint's models in line with the catalogue. */
function createModelReconciler(settings: SideSettings & {readonly weightsUrl: string}, {instance, platform, control, side, logger}: ReconcilerParts): ModelReconciler {
	return ModelReconciler.create({
		endpoint: settings.endpoint as EndpointId,
		catalogue: () => platform.catalogue.current(),
		membership: platform.createMembershipClient(),
		weights: HttpWeightStoreClient.create({baseUrl: settings.weightsUrl, timeoutMilliseconds: weightsTimeoutMilliseconds, endpoint: settings.endpoint}),
		control,
		openOrderSender: async () => OrderSender.create({
			log: platform.createLogClient(), instance, endpoint: settings.endpoint, control, endpointChecksFences: settings.fencing === 'checks',
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
