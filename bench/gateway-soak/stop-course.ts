/**
 * Real gateways whose callers keep their connections until the process is gone, while stops come in series and overlap, settings are reloaded and the
 * operator publishes. Requests are short and long, some bodies end late, and some endpoints break off, so that requests come late in a grace by a
 * body, a wait or a retry. A request that was read ends with a response; one that was passed on is never cut off without one.
 */
import {Agent, request as httpRequest} from 'node:http';
import {type ExchangeRecord, followResponse, type Kind, kinds} from './caller.js';
import {violations} from './checker.js';
import {type CourseOptions, CourseWorld, type Range} from './course-world.js';
import {type SeedResult} from './run-seed.js';
import {validKey} from './soak-platform.js';
import {sleep} from './traffic.js';

const trafficMilliseconds = 16_000;
/** Between two requests at all gateways together, for each gateway. */
const requestPauseMilliseconds = 40;
const deadlineMilliseconds = 9000;
const hangMilliseconds = deadlineMilliseconds + 2000;
/** Parts of the requests whose body ends late, and that take long at their endpoint. */
const shares = {lateBody: 0.2, long: 0.15};
const bodyMilliseconds: Range = {low: 200, high: 5000};
const workMilliseconds: Range = {low: 500, high: 4000};
const stopPauseMilliseconds: Range = {low: 300, high: 3000};
const changePauseMilliseconds: Range = {low: 100, high: 1500};
const routeTimeoutMilliseconds = 8000;

/** A request, and what its caller saw of its connection. */
type KeptRecord = ExchangeRecord & {readonly gateway: number; error: string | undefined};

/** Runs one seed of the course. */
export async function runStopSeed(options: CourseOptions): Promise<SeedResult> {
	await using world = await CourseWorld.create(options);
	const {platform, injected} = world;
	platform.routeTimeoutMilliseconds = routeTimeoutMilliseconds;
	platform.publish();
	const notReady = await world.listNotReady();
	const long = new Set<string>();
	for (const {worker} of platform.workers) {
		const {answer} = worker;
		worker.answer = received => long.has(received.id) && received.path.startsWith('/release') ? {type: 'whole', body: `answer to ${received.id}`, afterMilliseconds: world.between(workMilliseconds)} : answer(received);
	}

	platform.answerMode = 'reset';
	const disturbances = Promise.all([stopInSeries(world), stopInSeries(world), publishInSeries(world), reloadInSeries(world)]);
	const records = await sendKept(world, long);
	await disturbances;
	const workers = platform.workers.map(({worker}) => worker);
	const run = new Set(workers.flatMap(({requests}) => requests.filter(({wasRun}) => wasRun).map(({id}) => id)));
	const lost = records.filter(({id, status, kind}) => status === 0 && run.has(id) && (kind === 'lookup' || kind === 'release'));
	return {
		seed: options.seed, requests: records.length, served: records.filter(({status, isWhole}) => status === 200 && isWhole).length, faults: injected,
		violations: [
			...notReady,
			...violations(records, workers),
			...lost.map(({id, gateway, error}) => `LOST: ${id} at gateway-${gateway} was run and had no answer, ${error ?? 'no error'}`),
			...world.gateways.flatMap(({options: {instance}, unexpectedExits}) => unexpectedExits.map(reason => `FAULT: ${instance} has ended by itself, ${reason}`)),
		],
		lines: world.lines,
	};
}

/** Stops gateways one after the other; two such series overlap. */
async function stopInSeries(world: CourseWorld): Promise<void> {
	const until = performance.now() + (trafficMilliseconds * 0.7);
	while (performance.now() < until) {
		await sleep(world.between(stopPauseMilliseconds));
		const index = Math.floor(world.random.uniform() * world.gateways.length);
		world.injected.push(`term ${index}`);
		await world.gateways[index]!.restart();
	}
}

async function publishInSeries(world: CourseWorld): Promise<void> {
	const until = performance.now() + trafficMilliseconds;
	while (performance.now() < until) {
		await sleep(world.between(changePauseMilliseconds));
		world.platform.publish();
	}
}

async function reloadInSeries(world: CourseWorld): Promise<void> {
	const until = performance.now() + trafficMilliseconds;
	while (performance.now() < until) {
		await sleep(world.between(changePauseMilliseconds));
		const gateway = world.gateways[Math.floor(world.random.uniform() * world.gateways.length)]!;
		if (await gateway.isReady()) {
			gateway.reload();
		}
	}
}

/** Sends requests to the gateways in turn, on connections that are kept; resolves once all have ended. */
async function sendKept(world: CourseWorld, long: Set<string>): Promise<KeptRecord[]> {
	const {gateways, random} = world;
	const agents = gateways.map(() => new Agent({keepAlive: true, maxSockets: 200}));
	const records: Array<Promise<KeptRecord>> = [];
	const until = performance.now() + trafficMilliseconds;
	for (let number = 0; performance.now() < until; number++) {
		const gateway = number % gateways.length;
		const id = `stop-${number}`;
		if (random.uniform() < shares.long) {
			long.add(id);
		}

		const bodyAfterMilliseconds = random.uniform() < shares.lateBody ? world.between(bodyMilliseconds) : 0;
		records.push(sendOne({id, kind: kinds[number % kinds.length]!, gateway, port: gateways[gateway]!.callerPort, agent: agents[gateway]!, bodyAfterMilliseconds}));
		await sleep(requestPauseMilliseconds / gateways.length);
	}

	const ended = await Promise.all(records);
	for (const agent of agents) {
		agent.destroy();
	}

	return ended;
}

type KeptRequest = {readonly id: string; readonly kind: Kind; readonly gateway: number; readonly port: number; readonly agent: Agent; readonly bodyAfterMilliseconds: number};

/** Sends one request; the last byte of its body comes after a time. */
function sendOne({id, kind, gateway, port, agent, bodyAfterMilliseconds}: KeptRequest): Promise<KeptRecord> {
	return new Promise(resolve => {
		const record: KeptRecord = {id, kind, gateway, sentAt: performance.now(), endedAt: Infinity, status: 0, body: '', isWhole: false, error: undefined};
		const end = (error?: Error): void => {
			record.endedAt = Math.min(record.endedAt, performance.now());
			record.error ??= error?.message;
			resolve(record);
		};

		const method = kind === 'lookup' ? 'GET' : 'POST';
		const sent = httpRequest({
			host: '127.0.0.1', port, method, path: `/${kind}/1`, agent, timeout: hangMilliseconds,
			headers: {host: 'studio.example', 'request-id': id, authorization: `Bearer ${validKey}`, 'deadline-ms': String(deadlineMilliseconds), ...(method === 'POST' && {'content-length': '8'})},
		});
		followResponse(sent, record, end);
		sent.on('timeout', () => {
			sent.destroy(new Error('no answer in time'));
		});
		sent.on('error', end);
		if (method === 'GET') {
			sent.end();
			return;
		}

		sent.write('artwork');
		setTimeout(() => {
			sent.end('!');
		}, bodyAfterMilliseconds);
	});
}
