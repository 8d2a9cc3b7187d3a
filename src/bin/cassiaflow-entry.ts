#!/usr/bin/env node
import {randomBytes} from 'node:crypto';
import {ClaimManager} from '../entry/claims/index.js';
import {Entry, EntryTelemetry} from '../entry/index.js';
import {createInstanceId, type InstanceId, type ZoneName} from '../model/index.js';
import {
	CatalogueFollower, handleCatalogueMessage, HttpLogClient, HttpMembershipClient, QuarantineLedger,
} from '../platform/index.js';
import {subsetPlacement} from '../policy/placement/index.js';
import {AdminServer, createLogger, createOperatorRoutes, DecisionJournal, forPart, Metrics,
} from '../telemetry/index.js';
import {
	entrySettings, type EntrySettings, readSecurity, runProgram,
} from './settings/index.js';
import {stopSignal, withinMilliseconds} from './stop-signal.js';

const platformTimeoutMilliseconds = 2000;

async function main(settings: EntrySettings): Promise<void> {
	const instance = (settings.instance ?? createInstanceId('entry')) as InstanceId;
	const logger = createLogger({name: entrySettings.program, level: settings.logLevel, fields: {instance}});
	const log = forPart(logger, 'Entry');
	const catalogueLog = forPart(logger, 'Catalogue');
	const platform = (baseUrl: string) => ({baseUrl, timeoutMilliseconds: platformTimeoutMilliseconds});
	const onLog = (message: string): void => {
		catalogueLog.warn(message);
	};

	await using follower = CatalogueFollower.create({
		log: HttpLogClient.create(platform(settings.logUrl)),
		instance,
		onLog,
	});
	await using quarantine = QuarantineLedger.create({log: HttpLogClient.create(platform(settings.logUrl)), onLog});
	await using claims = ClaimManager.create({log: HttpLogClient.create(platform(settings.logUrl)), instance});
	const metrics = Metrics.create({role: 'entry', includesProcessMetrics: true});
	const journal = DecisionJournal.create();
	await using entry = await Entry.create({
		telemetry: EntryTelemetry.create(metrics, journal),
		instance,
		zone: settings.zone as ZoneName,
		host: settings.listenHost,
		port: settings.listenPort,
		bodyLimitBytes: settings.bodyLimitBytes,
		internalHost: settings.internalHost,
		internalPort: settings.internalPort,
		security: readSecurity(entrySettings.program, settings),
		catalogue: follower,
		membership: HttpMembershipClient.create(platform(settings.membersUrl)),
		placement: subsetPlacement,
		logger: log,
		random: randomUniform,
		quarantine,
		claims,
		onPeerMessage(link, message) {
			handleCatalogueMessage(follower, message, reply => {
				link.send(reply);
			});
		},
	});
	await using admin = await AdminServer.create({
		host: settings.adminHost,
		port: settings.adminPort,
		metrics,
		isReady: () => entry.isReady,
		routes: createOperatorRoutes({
			instance,
			role: 'entry',
			journal,
			status: () => entry.status(),
			quarantine: {
				list: () => quarantine.quarantined().map(({fingerprint, crashes}) => ({
					fingerprint, since: Math.min(...crashes.map(({time}) => time)), endpoints: crashes.map(({endpoint}) => endpoint),
				})),
				release: async ({release, author}) => quarantine.release(release, author),
			},
		}),
	});
	log.info('Listening.', {address: entry.address, internalAddress: entry.internalAddress, adminPort: admin.port});
	log.info('Stopping.', {signal: await stopSignal()});
	const isDrained = await withinMilliseconds(entry.drain(settings.noticeMilliseconds), settings.stopMilliseconds);
	log.info(isDrained ? 'Stopped with nothing in progress.' : 'Stopped with requests in progress after the drain timeout.');
}

/** Returns a random number in [0, 1), by which ties between equal candidates are broken. It need not be secret, but must differ between instances. */
function randomUniform(): number {
	return randomBytes(4).readUInt32BE() / 0x1_00_00_00_00;
}

await runProgram(entrySettings, main);
