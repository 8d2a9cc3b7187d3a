/**
 * Real gateways, and callers that send requests again and again that crash each endpoint that runs them, beside ordinary traffic. The endpoints
 * close their connections or fall silent, at once, some time after the start or in the middle of a stream. The gateways are killed, restarted,
 * frozen and cut off meanwhile, endpoints lose answers or their links are held up. Once a request has crashed three endpoints it must hardly reach
 * any more, and no other one may be refused for as long.
 */
import {type WorkerRequest} from '../../fakes/platform-worker.js';
import {type Kind, type ExchangeRecord} from './caller.js';
import {violations} from './checker.js';
import {type CourseFault, type CourseOptions, CourseWorld, type FaultRecord} from './course-world.js';
import {type SeedResult} from './run-seed.js';
import {type CrashAnswer, revokedKey, validKey} from './soak-platform.js';
import {gatewayOfId, sendInTurn, sleep} from './traffic.js';

const trafficMilliseconds = 26_000;
const requestPauseMilliseconds = 30;
const faultCount = {low: 1, high: 5};
const faultsWithin = {low: 1000, high: trafficMilliseconds * 0.8};

/** Pauses between two sendings of a request that crashes endpoints. */
const crashingPauses = [240, 500, 1000, 2000] as const;
/** How a request crashes endpoints: with which path, and what its caller sees of it. */
const crashManners = ['at-once', 'later', 'in-a-stream'] as const;
const laterMilliseconds = 300;
const eventsBefore = 2;

/** What else goes wrong: endpoints lose answers, the link to one is held up again and again, or the gateways do not reach each other at all. */
const besides = ['nothing', 'lost-answers', 'held-links', 'gateways-apart'] as const;
type Beside = (typeof besides)[number];
const heldMilliseconds = {low: 300, high: 3000};
const heldPauseMilliseconds = 700;
/** A request that is told to come back later than this counts as quarantined. */
const longRefusalSeconds = 30;

/** Number of crashes after which further runs count, from `noticeMilliseconds` later on, and how many of these are allowed. */
const freeCrashes = 3;
const allowedRuns = 3;
/** A gateway that was disturbed within this time before it sent the request is not judged. */
const noticeMilliseconds = 3000;
/** Faults that excuse a gateway. Links to other gateways are not among them: the rule asks for a path to the store alone. */
const excusingFaults: ReadonlySet<CourseFault> = new Set(['kill', 'term', 'freeze', 'store-cut', 'all-killed']);

/** A request that crashes endpoints: its caller sends it with this key and path, each time under another id. */
type CrashingRequest = {readonly name: string; readonly kind: Kind; readonly key: string; readonly path: string; readonly pauseMilliseconds: number; readonly answer: CrashAnswer};

/** One of the requests is always this one. */
const plainestRequest: CrashingRequest = {name: 'c0', kind: 'lookup', key: validKey, path: '/lookup/crash-c0', pauseMilliseconds: 240, answer: {type: 'crash'}};

/** Runs one seed of the course. */
export async function runCrashSeed(options: CourseOptions): Promise<SeedResult> {
	await using world = await CourseWorld.create(options);
	const {platform, injected, disturbances} = world;
	const crashing = [plainestRequest, ...[validKey, revokedKey].map((key, index) => drawCrashingRequest(world, `c${index + 1}`, key))];
	platform.crashOn = ({path}) => crashing.find(one => one.path === path)?.answer;
	const notReady = await world.listNotReady();
	const beside = world.random.pick(besides);
	const faults = Promise.all([world.injectFaults(faultCount, faultsWithin), injectBeside(world, beside)]);
	const sent = await Promise.all([sendOrdinary(world, options.seed), ...crashing.map(async one => sendCrashing(world, one))]);
	const records = sent.flat();
	await faults;
	const workers = platform.workers.map(({worker}) => worker);
	const runs = workers.flatMap(({requests}) => requests);
	const ordinary = records.filter(({id}) => id.startsWith('s'));
	return {
		seed: options.seed, requests: records.length, served: ordinary.filter(({status, isWhole}) => status === 200 && isWhole).length,
		faults: [beside, ...crashing.map(({kind, pauseMilliseconds, answer}) => `${kind} every ${pauseMilliseconds} ms ${JSON.stringify(answer)}`), ...injected],
		violations: [
			...notReady,
			...violations(ordinary, workers),
			...refusalViolations(ordinary),
			...crashing.flatMap(one => crashViolations(one, {runs: runs.filter(({path}) => path === one.path), disturbances, gateways: options.gateways})),
		], lines: world.lines,
	};
}

function drawCrashingRequest({random}: CourseWorld, name: string, key: string): CrashingRequest {
	const manner = random.pick(crashManners);
	const kind = manner === 'in-a-stream' ? 'chart' : random.pick(['lookup', 'release'] as const);
	const more = {'at-once': {}, later: {afterMilliseconds: laterMilliseconds}, 'in-a-stream': {afterEvents: eventsBefore}}[manner];
	return {name, kind, key, path: `/${kind}/crash-${name}`, pauseMilliseconds: random.pick(crashingPauses), answer: {type: 'crash', isSilent: random.uniform() < 0.5, ...more}};
}

/** Lets endpoints lose answers, or holds up their links, until shortly before the traffic ends. */
async function injectBeside(world: CourseWorld, beside: Beside): Promise<void> {
	switch (beside) {
		case 'nothing': {
			return;
		}

		case 'lost-answers': {
			world.platform.answerMode = 'reset';
			return;
		}

		case 'gateways-apart': {
			return world.cutPeers(trafficMilliseconds);
		}

		case 'held-links': {
			const until = performance.now() + (trafficMilliseconds * 0.8);
			while (performance.now() < until) {
				await sleep(heldPauseMilliseconds);
				await holdLink(world);
			}
		}
	}
}

/** Holds up the link to an endpoint for a time; one that has crashed meanwhile stays silent. */
async function holdLink(world: CourseWorld): Promise<void> {
	const living = world.platform.workers.filter(({hasCrashed}) => !hasCrashed);
	if (living.length === 0) {
		return;
	}

	const held = world.random.pick(living);
	held.path.faults.silent = true;
	await sleep(world.between(heldMilliseconds));
	if (!held.hasCrashed) {
		held.path.heal();
	}
}

async function sendOrdinary({gateways}: CourseWorld, seed: number): Promise<ExchangeRecord[]> {
	return sendInTurn(gateways, {
		milliseconds: trafficMilliseconds, pauseMilliseconds: requestPauseMilliseconds,
		request: number => ({id: `s${seed}-${number}`, kind: 'lookup', key: validKey}),
	});
}

/** All gateways get a crashing request in turn. */
async function sendCrashing({gateways}: CourseWorld, {name, kind, key, path, pauseMilliseconds}: CrashingRequest): Promise<ExchangeRecord[]> {
	return sendInTurn(gateways, {milliseconds: trafficMilliseconds, pauseMilliseconds, request: number => ({id: `${name}-${number}`, kind, key, path})});
}

function refusalViolations(ordinary: readonly ExchangeRecord[]): string[] {
	const refused = ordinary.filter(({retryAfterSeconds = 0}) => retryAfterSeconds > longRefusalSeconds);
	return refused.length === 0 ? [] : [`${refused.length} requests that crash nothing were refused for ${refused[0]!.retryAfterSeconds} s`];
}

type CrashRuns = {readonly runs: readonly WorkerRequest[]; readonly disturbances: readonly FaultRecord[]; readonly gateways: number};

function crashViolations({kind: requestKind, pauseMilliseconds, answer}: CrashingRequest, {runs, disturbances, gateways}: CrashRuns): string[] {
	const ordered = runs.toSorted((left, right) => left.at - right.at);
	const judgedFrom = (ordered[freeCrashes - 1]?.at ?? Infinity) + noticeMilliseconds;
	const late = ordered.filter(({id, at}) => at > judgedFrom
		&& !disturbances.some(({kind, gateway, from, until}) => excusingFaults.has(kind) && gateway === gatewayOfId(id, gateways) && from <= at && until >= at - noticeMilliseconds));
	return late.length > allowedRuns ? [`a ${requestKind} every ${pauseMilliseconds} ms that crashes endpoints (${JSON.stringify(answer)}) reached ${late.length} of them when that was known, ${ordered.length} in all`] : [];
}
