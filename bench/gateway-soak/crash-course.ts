/**
 * Real gateways, and a caller that sends a request again and again that crashes each endpoint that runs it, beside ordinary traffic. The
 * gateways are killed, restarted, frozen and cut off meanwhile. Once it has crashed three endpoints it must hardly reach any more.
 */
import {type WorkerRequest} from '../../fakes/platform-worker.js';
import {sendRequest, type ExchangeRecord} from './caller.js';
import {violations} from './checker.js';
import {type CourseOptions, CourseWorld, sleep} from './course-world.js';
import {type SeedResult} from './run-seed.js';
import {validKey} from './soak-platform.js';
import {type Disturbance} from './statement-checker.js';

const trafficMilliseconds = 14_000;
const requestPauseMilliseconds = 30;
/** One request in this many is the one that crashes endpoints. */
const crashingEvery = 8;
const crashingPath = '/lookup/crash';
const faultCount = {low: 1, high: 5};
const faultsWithin = {low: 1000, high: trafficMilliseconds * 0.8};

/** Number of crashes after which further runs count, from `noticeMilliseconds` later on, and how many of these are allowed. */
const freeCrashes = 3;
const allowedRuns = 3;
/** A gateway that was disturbed within this time before it sent the request is not judged. */
const noticeMilliseconds = 3000;

/** Runs one seed of the course. */
export async function runCrashSeed(options: CourseOptions): Promise<SeedResult> {
	await using world = await CourseWorld.create(options);
	const {platform, injected, disturbances} = world;
	platform.crashesOn = ({path}) => path === crashingPath;
	const notReady = await world.listNotReady();
	const faults = world.injectFaults(faultCount, faultsWithin);
	const records = await sendTraffic(world, options.seed);
	await faults;
	const workers = platform.workers.map(({worker}) => worker);
	const crashing = workers.flatMap(({requests}) => requests).filter(({path}) => path === crashingPath);
	const ordinary = records.filter(({id}) => !isCrashing(id));
	return {
		seed: options.seed, requests: records.length, served: ordinary.filter(({status, isWhole}) => status === 200 && isWhole).length, faults: injected,
		violations: [...notReady, ...violations(ordinary, workers), ...crashViolations(crashing, {disturbances, gateways: options.gateways})], lines: world.lines,
	};
}

function isCrashing(id: string): boolean {
	return numberOf(id) % crashingEvery === crashingEvery - 1;
}

function numberOf(id: string): number {
	return Number(id.split('-')[1]);
}

async function sendTraffic({gateways}: CourseWorld, seed: number): Promise<ExchangeRecord[]> {
	const records: Array<Promise<ExchangeRecord>> = [];
	const until = performance.now() + trafficMilliseconds;
	for (let number = 0; performance.now() < until; number++) {
		const id = `s${seed}-${number}`;
		const {callerPort: port} = gateways[gatewayOf(id, gateways.length)]!;
		records.push(sendRequest({id, kind: 'lookup', port, key: validKey, ...(isCrashing(id) && {path: crashingPath})}));
		await sleep(requestPauseMilliseconds);
	}

	return Promise.all(records);
}

/** All gateways get the crashing request in turn. */
function gatewayOf(id: string, gateways: number): number {
	return Math.floor(numberOf(id) / crashingEvery) % gateways;
}

function crashViolations(runs: readonly WorkerRequest[], {disturbances, gateways}: {disturbances: readonly Disturbance[]; gateways: number}): string[] {
	const ordered = runs.toSorted((left, right) => left.at - right.at);
	const judgedFrom = (ordered[freeCrashes - 1]?.at ?? Infinity) + noticeMilliseconds;
	const late = ordered.filter(({id, at}) => at > judgedFrom
		&& !disturbances.some(({gateway, from, until}) => gateway === gatewayOf(id, gateways) && from <= at && until >= at - noticeMilliseconds));
	return late.length > allowedRuns ? [`a request that crashes endpoints reached ${late.length} of them when that was known, ${ordered.length} in all`] : [];
}
