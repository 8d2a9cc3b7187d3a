/**
 * Real gateways, and a service whose endpoints are replaced by those of other builds (software versions) in steps, so that several serve side by
 * side. Endpoints break off streams and crash within them, and callers take their streams up at the next gateway, while gateways are killed,
 * restarted, frozen and cut off. A stream must go on at the build that began it, and streams that are taken up must go on about as often as new ones begin.
 */
import {type WorkerRequest} from '../../fakes/platform-worker.js';
import {eventCount, type ExchangeRecord, sendRequest} from './caller.js';
import {violations} from './checker.js';
import {type CourseFault, type CourseOptions, CourseWorld} from './course-world.js';
import {type SeedResult} from './run-seed.js';
import {validKey} from './soak-platform.js';
import {sleep} from './traffic.js';

const trafficMilliseconds = 22_000;
const streamPauseMilliseconds = 30;
const faultCount = {low: 0, high: 5};
const faultsWithin = {low: 1000, high: trafficMilliseconds * 0.8};
/** Builds that replace those before them, one worker at a time. */
const nextBuilds = ['v1.1', 'v1.2'] as const;
const workersOfBuild = 3;
const stepMilliseconds = {low: 800, high: 2500};
const crashPauseMilliseconds = {low: 2000, high: 6000};
/** How often a caller takes up one stream. */
const maxTakeUps = 2;

/** The rule: streams of two builds in all, the count of streams taken up from which on the share counts, and that share of the one of new streams. */
const allowedMixed = 2;
const judgedTakeUps = 12;
const leastShare = 0.5;
/** Workers of a build while which streams of that build must go on. */
const servingWorkers = 2;
/** A gateway that was disturbed within this time is not judged by the share. */
const noticeMilliseconds = 3000;
/** Faults that excuse a gateway from the share; cut links to other gateways do not. */
const excusingFaults: ReadonlySet<CourseFault> = new Set(['kill', 'term', 'freeze', 'store-cut', 'all-killed']);

/** A stream as its caller saw it, with all its take-ups. */
type StreamRecord = {readonly ids: readonly string[]; readonly first: ExchangeRecord; readonly takeUps: readonly TakeUpRecord[]};
type TakeUpRecord = {readonly isWhole: boolean; readonly isJudged: boolean};

/** Runs one seed of the course. */
export async function runBuildSeed(options: CourseOptions): Promise<SeedResult> {
	await using world = await CourseWorld.create(options);
	const {platform, injected} = world;
	const notReady = await world.listNotReady();
	platform.answerMode = 'cut';
	const faults = Promise.all([world.injectFaults(faultCount, faultsWithin), releaseBuilds(world), crashWorkers(world)]);
	const streams = await sendStreams(world, options.seed);
	await faults;
	const workers = platform.workers.map(({worker}) => worker);
	const firsts = streams.map(({first}) => first);
	const takeUps = streams.flatMap(stream => stream.takeUps);
	return {
		seed: options.seed, requests: streams.length + takeUps.length, served: streams.filter(({first, takeUps: tries}) => first.isWhole || tries.some(({isWhole}) => isWhole)).length,
		faults: [`${takeUps.filter(({isWhole}) => isWhole).length} of ${takeUps.length} take-ups whole`, ...injected],
		violations: [...notReady, ...violations(firsts, workers), ...mixedViolations(world, streams), ...shareViolations(firsts, takeUps)], lines: world.lines,
	};
}

/** Replaces the workers of the streaming service by those of the next builds. */
async function releaseBuilds(world: CourseWorld): Promise<void> {
	const {platform} = world;
	for (const build of nextBuilds) {
		const replaced = platform.workers.filter(({worker, isDraining, hasCrashed}) => worker.service === 'models' && !isDraining && !hasCrashed);
		for (let number = 0; number < workersOfBuild; number++) {
			await sleep(world.between(stepMilliseconds));
			await platform.addWorker(`models-${build}-${number}`, 'models', build);
			const leaving = replaced[number];
			if (leaving !== undefined && !leaving.hasCrashed) {
				platform.drainWorker(leaving.worker.id);
			}
		}
	}
}

/** Ends a worker in the middle of its next stream, again and again. */
async function crashWorkers(world: CourseWorld): Promise<void> {
	const until = performance.now() + (trafficMilliseconds * 0.8);
	while (performance.now() < until) {
		await sleep(world.between(crashPauseMilliseconds));
		let isDue = true;
		world.platform.crashOn = ({path}) => {
			const crashes = isDue && path.startsWith('/chart');
			isDue &&= !crashes;
			return crashes ? {type: 'crash', afterEvents: 2} : undefined;
		};
	}
}

async function sendStreams(world: CourseWorld, seed: number): Promise<StreamRecord[]> {
	const streams: Array<Promise<StreamRecord>> = [];
	const until = performance.now() + trafficMilliseconds;
	for (let number = 0; performance.now() < until; number++) {
		streams.push(sendStream(world, `${seed}-${number}`, number));
		await sleep(streamPauseMilliseconds);
	}

	return Promise.all(streams);
}

/** Sends a stream, and takes it up at the next gateways while it breaks off. */
async function sendStream(world: CourseWorld, name: string, number: number): Promise<StreamRecord> {
	const send = async (id: string, index: number, lastEvent?: number): Promise<ExchangeRecord> => sendRequest({
		id, kind: 'chart', key: validKey, port: world.gateways[index % world.gateways.length]!.callerPort, ...(lastEvent !== undefined && {resumption: {request: `s${name}`, lastEvent}}),
	});
	const first = await send(`s${name}`, number);
	const ids = [`s${name}`];
	const takeUps: TakeUpRecord[] = [];
	let lastEvent = lastEventOf(first.body);
	for (let tries = 1; tries <= maxTakeUps && lastEvent > 0 && lastEvent < eventCount; tries++) {
		const id = `t${tries}${name}`;
		const index = (number + tries) % world.gateways.length;
		const isJudged = hasServingWorkers(world, ids) && !wasDisturbed(world, index);
		ids.push(id);
		const {body, isWhole, status} = await send(id, index, lastEvent);
		lastEvent = Math.max(lastEvent, lastEventOf(body));
		takeUps.push({isWhole: isWhole && status === 200 && lastEvent === eventCount, isJudged: isJudged && !wasDisturbed(world, index)});
	}

	return {ids, first, takeUps};
}

function lastEventOf(body: string): number {
	return Number([...body.matchAll(/^id: (?<number>\d+)\ndata: .*\n\n/gmv)].at(-1)?.groups?.number ?? 0);
}

function wasDisturbed({disturbances}: CourseWorld, gateway: number): boolean {
	const now = performance.now();
	return disturbances.some(one => excusingFaults.has(one.kind) && one.gateway === gateway && one.until >= now - noticeMilliseconds);
}

type Run = WorkerRequest & {readonly build: string};

/** Runs of a stream at all workers, in their order. */
function runsOf({platform}: CourseWorld, ids: readonly string[]): Run[] {
	return platform.workers.flatMap(({worker, build}) => worker.requests.filter(({id, wasRun}) => wasRun && ids.includes(id)).map(request => ({...request, build})))
		.toSorted((left, right) => left.at - right.at);
}

function beganAt(runs: readonly Run[]): string | undefined {
	return runs.findLast(({headers}) => headers['last-event-id'] === undefined)?.build;
}

function hasServingWorkers(world: CourseWorld, ids: readonly string[]): boolean {
	const build = beganAt(runsOf(world, ids));
	return world.platform.workers.filter(one => one.worker.service === 'models' && one.build === build && !one.isDraining && !one.hasCrashed).length >= servingWorkers;
}

function mixedViolations(world: CourseWorld, streams: readonly StreamRecord[]): string[] {
	const mixed = streams.filter(({ids}) => {
		const runs = runsOf(world, ids);
		const resumed = runs.filter(({headers}) => headers['last-event-id'] !== undefined);
		return resumed.some(run => run.build !== beganAt(runs.filter(({at}) => at < run.at)));
	});
	return mixed.length > allowedMixed ? [`${mixed.length} streams went on at another build, ${mixed[0]!.ids.join(' and ')} among them`] : [];
}

function shareViolations(firsts: readonly ExchangeRecord[], takeUps: readonly TakeUpRecord[]): string[] {
	const judged = takeUps.filter(({isJudged}) => isJudged);
	const begun = firsts.filter(({body}) => lastEventOf(body) > 0).length / firsts.length;
	const share = judged.filter(({isWhole}) => isWhole).length / judged.length;
	return judged.length >= judgedTakeUps && share < leastShare * begun ? [`${Math.round(share * 100)} of 100 streams of ${judged.length} that were taken up went on, ${Math.round(begun * 100)} of 100 new ones began`] : [];
}
