/**
 * Real gateways under all planned work of the users' rules, in series that overlap: stops with further signals, reloads, versions, instances that are
 * added and removed, workers that leave, and a store that is disturbed beside them. Callers keep their connections until the gateway closes them.
 */
import {FakePath} from '../../fakes/network-path.js';
import {createRandom} from '../harness/random.js';
import {violations} from './checker.js';
import {type CourseOptions, CourseWorld} from './course-world.js';
import {endedSoonerCount, type PlannedEvidence, plannedViolations} from './planned-checker.js';
import {Lateness} from './lateness.js';
import {PlannedTraffic} from './planned-traffic.js';
import {movedServices, PlannedVersions} from './planned-versions.js';
import {PlannedWork, spareGateways} from './planned-work.js';
import {portsPerGateway, type SeedResult} from './run-seed.js';

const workMilliseconds = 14_000;
/** Callers go on after the last planned work has begun. */
const trafficMilliseconds = 18_000;
const callersPerGateway = 12;
const mostCallers = 240;
const workersEach = 3;
/** One-way delays between callers and gateways; every other gateway has a path without one. */
const delayMilliseconds = {low: 5, high: 60};

/** Runs one seed of the course. */
export async function runPlannedSeed(options: CourseOptions): Promise<SeedResult> {
	await using world = await CourseWorld.create(options);
	const {platform, injected} = world;
	for (let number = 0; number < workersEach; number++) {
		await platform.addWorker(`${movedServices[1]}-${number}`, movedServices[1]);
	}

	const versions = PlannedVersions.create(platform.store, (options.seed * 1000) + 5);
	versions.publish();
	await using paths = await CallerPaths.create(options);
	using lateness = Lateness.create();
	const notReady = await world.listNotReady();
	// A gateway has come into the course once it is ready.
	const traffic = PlannedTraffic.create({
		seed: options.seed, callers: Math.min(mostCallers, options.gateways * callersPerGateway), milliseconds: trafficMilliseconds, inUse: () => [...work.inUse], addressOf: gateway => paths.addressOf(gateway),
	});
	const work = PlannedWork.create({world, versions, course: options, milliseconds: workMilliseconds, openAt: gateway => traffic.openAt(gateway)});
	platform.answerBy = request => traffic.answer(request);
	await Promise.all([traffic.run(), work.run()]);
	const {records, strays, brokenOff} = traffic;
	const workers = platform.workers.map(({worker}) => worker);
	const plain = records.map(record => ({...record, body: record.body === traffic.bodyOf(record.id) ? `answer to ${record.id}` : record.body}));
	const evidence: PlannedEvidence = {
		records, versions: versions.published, leftWorkers: work.leftWorkers, storeSpans: work.storeSpans, brokenOff, delays: world.gateways.map((_, gateway) => paths.delayOf(gateway)),
		arrivals: workers.flatMap(({id, service, requests}) => requests.map(request => ({request, worker: id, service}))),
		lives: world.gateways.map(({lives}) => lives), latenessBetween: (from, until) => lateness.between(from, until), totalLatenessBetween: (from, until) => lateness.totalBetween(from, until),
	};
	const refused = records.filter(({status}) => status === 503).length;
	return {
		seed: options.seed, requests: records.length, served: records.filter(({status, isWhole}) => status === 200 && isWhole).length,
		faults: [`${refused} of ${records.length} refused with 503`, `${endedSoonerCount(evidence)} ended sooner`, `${world.gateways.flatMap(({lives}) => lives).filter(({isKilled}) => isKilled).length} killed after the grace`, ...injected],
		violations: [
			...notReady,
			...violations(plain, workers),
			...strays.map(text => `MIXED: an answer with no request waiting, ${text}`),
			...work.stillReady,
			...plannedViolations(evidence),
		],
		lines: world.lines,
	};
}

/** The paths with a delay between callers and every other gateway. */
class CallerPaths implements AsyncDisposable {
	static async create({seed, gateways, firstPort}: CourseOptions): Promise<CallerPaths> {
		const paths = new CallerPaths(firstPort);
		const random = createRandom((seed * 1000) + 6);
		for (let gateway = 0; gateway < gateways + spareGateways; gateway += 2) {
			const path = await FakePath.create(`127.0.0.1:${paths.#portOf(gateway)}`);
			path.faults.delayMilliseconds = Math.round(delayMilliseconds.low + (random.uniform() * (delayMilliseconds.high - delayMilliseconds.low)));
			paths.#paths.set(gateway, path);
		}

		return paths;
	}

	readonly #firstPort: number;
	readonly #paths = new Map<number, FakePath>();

	private constructor(firstPort: number) {
		this.#firstPort = firstPort;
	}

	addressOf(gateway: number): {readonly host: string; readonly port: number} {
		return {host: '127.0.0.1', port: Number(this.#paths.get(gateway)?.address.split(':')[1] ?? this.#portOf(gateway))};
	}

	delayOf(gateway: number): number {
		return this.#paths.get(gateway)?.faults.delayMilliseconds ?? 0;
	}

	async [Symbol.asyncDispose](): Promise<void> {
		await Promise.all([...this.#paths.values()].map(async path => path[Symbol.asyncDispose]()));
	}

	#portOf(gateway: number): number {
		return this.#firstPort + (gateway * portsPerGateway);
	}
}
