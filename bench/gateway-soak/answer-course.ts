/**
 * Real gateways before endpoints of which half break their answers off: with a length, in chunks or without either, reset at once or a moment later, or
 * closed, also while a long body is still being written to them; others answer with a status that is none. Gateways are killed, stopped and
 * stand still beside it. No caller may get a part of an answer as a whole one, a status that is none, or an answer of a second run.
 */
import {Buffer} from 'node:buffer';
import {type BrokenAnswer, brokenAnswers, BrokenServer, Ending, Framing} from '../../fakes/broken-server.js';
import {type WorkerRequest} from '../../fakes/platform-worker.js';
import {type ExchangeRecord, type Kind, kinds} from './caller.js';
import {violations} from './checker.js';
import {type CourseOptions, CourseWorld, type Range} from './course-world.js';
import {type SeedResult} from './run-seed.js';
import {firstBuild, validKey} from './soak-platform.js';
import {sendInTurn} from './traffic.js';

const trafficMilliseconds = 7000;
const requestPauseMilliseconds = 20;
const faultCount: Range = {low: 1, high: 4};
const brokenServersEach = 3;
const slots = 16;
/** One in this many requests has a body that no kernel takes whole. */
const uploadInterval = 12;
const uploadBytes = 8 * 1024 * 1024;
const statusesThatAreNone = ['000', '001', '099', '600', '999'] as const;
/** Parts of the answers that are whole, and that have a status that is none; the others break off. */
const shares = {whole: 0.3, noStatus: 0.1};

/** Runs one seed of the course. */
export async function runAnswerSeed(options: CourseOptions): Promise<SeedResult> {
	await using world = await CourseWorld.create(options);
	world.platform.maxBodyBytes = uploadBytes;
	world.platform.publish();
	const requests: WorkerRequest[] = [];
	await using server = await BrokenServer.create(head => answerTo(world, head, requests));
	registerBreaking(world, server.port);
	const notReady = await world.listNotReady();
	const body = Buffer.alloc(uploadBytes);
	const faults = world.injectFaults(faultCount, {low: 0, high: trafficMilliseconds});
	const records = await sendInTurn(world.gateways, {
		milliseconds: trafficMilliseconds, pauseMilliseconds: requestPauseMilliseconds,
		request: number => ({id: `a${options.seed}-${number}`, kind: world.random.pick<Kind>(kinds), key: validKey, ...(number % uploadInterval === 0 && {kind: 'release', body})}),
	});
	await faults;
	return {
		seed: options.seed, requests: records.length, served: records.filter(({status, isWhole}) => status === 200 && isWhole).length, faults: world.injected,
		violations: [
			...notReady,
			...violations(records, [...world.platform.workers.map(({worker}) => worker), {requests}]),
			...records.flatMap(record => statusViolations(record)),
		],
		lines: world.lines,
	};
}

/** Registers the breaking endpoints of each service, all at one address. */
function registerBreaking({platform}: CourseWorld, port: number): void {
	for (const service of ['orders', 'models']) {
		for (let number = 0; number < brokenServersEach; number++) {
			platform.store.put('keyed.servers', `breaking-${service}-${number}`, {service, address: `127.0.0.1:${port}`, zone: 'zone-a', version: firstBuild, slots, state: 'ready', seq: 1});
		}
	}
}

/** The answer of a breaking endpoint to a request, which counts as run. */
function answerTo({random}: CourseWorld, head: string, requests: WorkerRequest[]): BrokenAnswer {
	const id = /^request-id: (.+)\r$/imv.exec(head)?.[1] ?? '';
	const path = head.split(' ', 2)[1] ?? '';
	requests.push({id, method: head.split(' ', 1)[0] ?? '', path, headers: {}, body: '', at: performance.now(), statements: {}, wasRun: true});
	const isStream = path.startsWith('/chart') || path.startsWith('/question');
	const answer = isStream ? `id: 1\ndata: ${id} 1\n\nid: 2\ndata: ${id} 2\n\n` : `answer to ${id}`;
	const headers = [`Request-Id: ${id}`, 'Upstream-Signature: s', `Content-Type: ${isStream ? 'text/event-stream' : 'text/plain'}`, 'Connection: close'];
	const draw = random.uniform();
	if (draw < shares.whole && !isStream) {
		return {framing: random.pick(Object.values(Framing)), ending: Ending.closed, readsRequest: true, headers, part: answer, missingBytes: 0};
	}

	if (draw < shares.whole + shares.noStatus) {
		return {statusLine: `HTTP/1.1 ${random.pick(statusesThatAreNone)} X`, framing: Framing.length, ending: Ending.closed, readsRequest: true, headers, part: answer, missingBytes: 0};
	}

	return {...random.pick(brokenAnswers), headers, part: isStream ? answer : answer.slice(0, 1 + random.below(answer.length - 1))};
}

function statusViolations({id, kind, status}: ExchangeRecord): string[] {
	return statusesThatAreNone.some(none => Number(none) === status && status !== 0) ? [`status ${status}: ${kind} ${id}`] : [];
}
