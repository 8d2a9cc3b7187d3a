/**
 * Real gateways with long streams on connections that callers keep until the process is gone, under all planned work of the users' rules and under
 * endpoints that leave, expire, restart under their ids, and have fewer slots. Some gateways get only part of a core. Judged by LOST's text.
 */
import {createRandom} from '../harness/random.js';
import {violations} from './checker.js';
import {CoreShares} from './core-shares.js';
import {type CourseOptions, CourseWorld} from './course-world.js';
import {Lateness} from './lateness.js';
import {PlannedTraffic} from './planned-traffic.js';
import {movedServices, PlannedVersions} from './planned-versions.js';
import {PlannedWork} from './planned-work.js';
import {portsPerGateway, type SeedResult} from './run-seed.js';
import {endedLookupCount, notOfferedCount, stoppedStreams, type StreamsEvidence, streamsViolations} from './streams-checker.js';
import {StreamEndpoints} from './streams-endpoints.js';
import {endpointsEach, LateCallers, runStreamsExtras} from './streams-extras.js';
import {drawStreams, hasLongLateAlone, streamServices, streamVersionPlan} from './streams-requests.js';

const workMilliseconds = 18_000;
const trafficMilliseconds = 20_000;
const callersPerGateway = 12;
const endpointSeries = 3;
const allAtOnceShare = 0.08;
const behindShare = 0.08;
/** How often, of 1, a stop meets an event loop in a long turn, and a store that is away until the process has ended. */
const troubleShares = {longTurn: 0.4, storeAway: 0.1} as const;
const lateTroubleShares = {longTurn: 0.9, storeAway: 0} as const;

/** Runs one seed of the course. */
export async function runStreamsSeed(options: CourseOptions): Promise<SeedResult> {
	await using world = await CourseWorld.create(options);
	const {platform, injected} = world;
	const versions = PlannedVersions.create(platform.store, (options.seed * 1000) + 5, streamVersionPlan);
	const traffic = PlannedTraffic.create({
		seed: options.seed, callers: options.gateways * callersPerGateway, milliseconds: trafficMilliseconds, inUse: () => [...work.inUse], draw: drawStreams, keepsUntilClosed: true, behindShare,
		addressOf: gateway => ({host: '127.0.0.1', port: options.firstPort + (gateway * portsPerGateway)}),
	});
	const endpoints = await StreamEndpoints.create(platform, {
		services: [...streamServices, ...movedServices], each: endpointsEach(options.seed, 3 + Math.floor(options.gateways / 4)), answer: request => traffic.answer(request) ?? {type: 'not-run'},
	});
	versions.publish();
	using lateness = Lateness.create();
	const notReady = await world.listNotReady();
	using shares = CoreShares.create(() => world.gateways, (options.seed * 1000) + 7);
	const lateCallers = LateCallers.create(options.seed);
	const startedAt = performance.now();
	const work = PlannedWork.create({world, versions, course: options, milliseconds: workMilliseconds, openAt: gateway => traffic.openAt(gateway), endpoints: {series: endpointSeries, work: endpoints}, allAtOnceShare, troubleShares: hasLongLateAlone(options.seed) ? lateTroubleShares : troubleShares, beforeStop(gateway, milliseconds) {
		lateCallers.begin(traffic, gateway, milliseconds);
	}});
	await Promise.all([traffic.run(), work.run(), runStreamsExtras({seed: options.seed, milliseconds: workMilliseconds, services: streamServices, endpoints, work})]);
	const {records, strays, brokenOff} = traffic;
	const workers = platform.workers.map(({worker}) => worker);
	const evidence: StreamsEvidence = {
		records, versions: versions.published, leftWorkers: endpoints.left, storeSpans: work.storeSpans, brokenOff, delays: world.gateways.map(() => 0), startedAt,
		arrivals: endpoints.processes.flatMap(({name, worker}) => worker.requests.map(request => ({request, worker: name, service: worker.service}))),
		lives: world.gateways.map(({lives}) => lives), latenessBetween: (from, until) => lateness.between(from, until), totalLatenessBetween: (from, until) => lateness.totalBetween(from, until),
		processes: endpoints.processes, news: endpoints.news, shareAt: (gateway, at) => shares.shareAt(gateway, at), eventsOf: id => traffic.eventsOf(id),
	};
	const refused = records.filter(({status}) => status === 503).length;
	const {open, excused} = stoppedStreams(evidence);
	return {
		seed: options.seed, requests: records.length, served: records.filter(({status, isWhole}) => status === 200 && isWhole).length,
		faults: injected,
		summary: [
			`${refused} of ${records.length} refused with 503`,
			`${open} streams open at a signal, ${excused} of them cut and excused`,
			`${notOfferedCount(evidence)} failed without being offered`,
			`${endedLookupCount(evidence)} lookups ended sooner`,
			`${world.gateways.flatMap(({lives}) => lives).filter(({isKilled}) => isKilled).length} killed after the grace`,
			`stood still for ${Math.round(shares.longestMilliseconds)} ms at most`,
			`${records.length} requests on ${endpoints.processes.length} processes of endpoints`,
		].join(', '),
		violations: [
			...notReady,
			...violations(records, workers, id => traffic.eventsOf(id)).map(text => `ORDER or TWICE: ${text}`),
			...strays.map(text => `MIXED: an answer with no request waiting, ${text}`),
			...work.stillReady,
			...streamsViolations(evidence),
		],
		lines: [...historyOf(world, evidence), '', world.lines].join('\n'),
	};
}

/** All that was done, for the one who traces a cut; milliseconds from the beginning of the course on, which is told in the time of the log lines. */
function historyOf({injected}: CourseWorld, {startedAt, news, lives}: StreamsEvidence): string[] {
	const signals = lives.flatMap((ofGateway, gateway) => ofGateway.flatMap(life => [
		{at: life.startedAt, text: `gateway-${gateway} starts`}, {at: life.stopAt, text: `gateway-${gateway} gets its first signal`}, {at: life.endedAt, text: `gateway-${gateway} has ended by ${life.end}`},
	]));
	return [
		`# The course began at ${new Date(performance.timeOrigin + startedAt).toISOString()}`,
		...injected.map(text => `# ${text}`),
		...[...signals, ...news.map(({at, id, text}) => ({at, text: `${id}: ${text}`}))].filter(({at}) => at < Infinity).toSorted((left, right) => left.at - right.at).map(({at, text}) => `# ${Math.round(at - startedAt)} ${text}`),
	];
}
