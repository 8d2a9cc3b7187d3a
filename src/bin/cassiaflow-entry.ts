#!/usr/bin/env node
// eslint-disable-next-line import-x/no-unassigned-import, import-x/order -- it registers its handlers, which must be in place before the other modules load
import './early-signals.js';
import {randomBytes} from 'node:crypto';
import {ClaimManager} from '../entry/claims/index.js';
import {Entry, EntryTelemetry} from '../entry/index.js';
import {createInstanceId, type InstanceId, type ZoneName} from '../model/index.js';
import {handleCatalogueMessage, type QuarantineLedger} from '../platform/index.js';
import {subsetPlacement} from '../policy/placement/index.js';
import {stopTimesOf} from '../policy/stopping/index.js';
import {AdminServer, createLogger, createOperatorRoutes, DecisionJournal, forPart, Metrics, type OperatorRoutesOptions, type PartLogger} from '../telemetry/index.js';
import {
	entrySettings, type EntrySettings, readSecurity, runProgram,
} from '../settings/index.js';
import {PlatformParts} from './platform-parts.js';
import {describeStop, logIgnoredSignals, stopRequest} from './stop-signal.js';
import {withinMilliseconds} from './within-milliseconds.js';

async function main(settings: EntrySettings): Promise<void> {
	const instance = (settings.instance ?? createInstanceId('entry')) as InstanceId;
	const logger = createLogger({name: entrySettings.program, level: settings.logLevel, fields: {instance}});
	const log = forPart(logger, 'Entry');
	await using platform = PlatformParts.create(settings, instance, logger);
	await using claims = ClaimManager.create({log: platform.createLogClient(), instance});
	const metrics = Metrics.create({role: 'entry', includesProcessMetrics: true});
	const journal = DecisionJournal.create();
	await using entry = await openEntry(settings, {instance, platform, claims, logger: log, telemetry: EntryTelemetry.create(metrics, journal)});
	await using admin = await AdminServer.create({
		host: settings.adminHost,
		port: settings.adminPort,
		metrics,
		isReady: () => entry.isReady,
		routes: createOperatorRoutes({instance, role: 'entry', journal, status: () => entry.status(), quarantine: operatorQuarantine(platform.quarantine)}),
	});
	log.info('Listening.', {address: entry.address, internalAddress: entry.internalAddress, adminPort: admin.port});
	const request = await stopRequest();
	using _signals = logIgnoredSignals(log, 'reads-settings-once');
	log.info('Stopping.', describeStop(request));
	const times = stopTimesOf(request, {graceMilliseconds: settings.stopMilliseconds, listenMilliseconds: settings.noticeMilliseconds});
	const isDrained = await withinMilliseconds(entry.drain(settings.noticeMilliseconds, times), request.earliestAt + settings.stopMilliseconds - performance.now());
	log.info(isDrained ? 'Stopped with nothing in progress.' : 'Stopped with requests in progress after the drain timeout.', {open: entry.activeRequests});
}

type EntryParts = {
	readonly instance: InstanceId;
	readonly platform: PlatformParts;
	readonly claims: ClaimManager;
	readonly logger: PartLogger;
	readonly telemetry: EntryTelemetry;
};

async function openEntry(settings: EntrySettings, {instance, platform, claims, logger, telemetry}: EntryParts): Promise<Entry> {
	const {catalogue, quarantine} = platform;
	return Entry.create({
		telemetry,
		instance,
		zone: settings.zone as ZoneName,
		host: settings.listenHost,
		port: settings.listenPort,
		bodyLimitBytes: settings.bodyLimitBytes,
		internalHost: settings.internalHost,
		internalPort: settings.internalPort,
		security: readSecurity(entrySettings.program, settings),
		catalogue,
		membership: platform.createMembershipClient(),
		placement: subsetPlacement,
		logger,
		random: randomUniform,
		quarantine,
		claims,
		onPeerMessage(link, message) {
			handleCatalogueMessage(catalogue, message, reply => {
				link.send(reply);
			});
		},
	});
}

/** The quarantine as the operator's command lists it and releases from it. */
function operatorQuarantine(ledger: QuarantineLedger): NonNullable<OperatorRoutesOptions['quarantine']> {
	return {
		list: () => ledger.quarantined().map(({fingerprint, crashes}) => ({
			fingerprint, since: Math.min(...crashes.map(({time}) => time)), endpoints: crashes.map(({endpoint}) => endpoint),
		})),
		release: async ({release, author}) => ledger.release(release, author),
	};
}

/** Returns a random number in [0, 1), by which ties between equal candidates are broken. It need not be secret, but must differ between instances. */
function randomUniform(): number {
	return randomBytes(4).readUInt32BE() / 0x1_00_00_00_00;
}

await runProgram(entrySettings, main);
