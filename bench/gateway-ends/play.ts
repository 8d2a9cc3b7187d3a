import {once} from 'node:events';
import {mkdtempSync, rmSync} from 'node:fs';
import net from 'node:net';
import {tmpdir} from 'node:os';
import {desiredState} from '../../fakes/platform-state.js';
import {FakePlatformStore} from '../../fakes/platform-store.js';
import {FakePlatformWorker, type WorkerAnswer} from '../../fakes/platform-worker.js';
import {GatewayChild} from '../gateway-soak/child.js';
import {createMixedRandom, type Random} from '../harness/random.js';

/** Whether the endpoint has begun its answer by the route's timeout: a stream that goes on beyond it, or a request with no answer. */
export type AnswerKind = 'begun' | 'none';

export type EndsSettings = {
	readonly kind: AnswerKind;
	/** How long the gateway stands still in each period, and how long a period is on average: the time between two stands is drawn. */
	readonly standMilliseconds: number;
	readonly periodMilliseconds: number;
	/** Each sends its next request once the one before has ended. */
	readonly callers: number;
	readonly seconds: number;
	readonly seed: number;
	readonly firstPort: number;
	/** The bundled program of another version, to play in place of this one. */
	readonly program?: string | undefined;
};

/** How long after its route's timeout each request had its end; negative before it. */
export type Ends = {
	readonly milliseconds: readonly number[];
	/** How long the gateway stood still at most. */
	readonly standStillMilliseconds: number;
};

/** A request that has no end so long after its timeout counts as held. */
export const heldMilliseconds = 500;
/** A request that ends so long before its timeout counts as cut off. */
export const earlyMilliseconds = 150;

const timeoutMilliseconds = 3000;
const deadlineMilliseconds = 12_000;
const endless: WorkerAnswer = {type: 'events', count: 500, gapMilliseconds: 100};
const silent: WorkerAnswer = {type: 'silent'};
const workerCount = 4;
const longestPauseMilliseconds = 9000;
/** Before its next request each caller waits up to so long: callers whose requests end together would send them together. */
const restMilliseconds = 1500;

/** Plays one gateway that stands still for a part of each period, with requests that all reach their route's timeout long before their caller's deadline. */
export async function playEnds({kind, standMilliseconds, periodMilliseconds, callers, seconds, seed, firstPort, program}: EndsSettings): Promise<Ends> {
	const folder = mkdtempSync(`${tmpdir()}/cassiaflow-ends-`);
	await using store = await FakePlatformStore.create();
	const workers = await Promise.all(Array.from({length: workerCount}, async (_, number) => FakePlatformWorker.create(`worker-${number}`, 'models')));
	for (const worker of workers) {
		worker.answer = () => kind === 'begun' ? endless : silent;
		store.put('keyed.servers', worker.id, {...worker.beat(), slots: callers});
	}

	store.put('keyed.op', 'config', stateOf(callers));
	const ports = [firstPort, firstPort + 1, firstPort + 2, firstPort + 3] as const;
	await using gateway = await GatewayChild.create({instance: 'gateway', folder, storeAddress: store.address, ports, seedHosts: [], clockMilliseconds: 0, program});
	if (!await gateway.ready()) {
		throw new Error(gateway.lines);
	}

	const abort = new AbortController();
	const standing = standMilliseconds === 0 ? 0 : standStill(gateway, {standMilliseconds, periodMilliseconds, seed, signal: abort.signal});
	const endsAt = performance.now() + (seconds * 1000);
	const perCaller = await Promise.all(Array.from({length: callers}, async (_, number) =>
		callRepeatedly(gateway.callerPort, {name: `caller-${number}`, endsAt, random: createMixedRandom((seed * callers) + number)})));
	abort.abort();
	const standStillMilliseconds = await standing;
	for (const worker of workers) {
		await worker[Symbol.asyncDispose]();
	}

	rmSync(folder, {recursive: true});
	return {milliseconds: perCaller.flat(), standStillMilliseconds};
}

function stateOf(callers: number): Record<string, unknown> {
	const state = desiredState(1);
	const routes = (state.routes as Array<Record<string, unknown>>).map(route => ({
		...route, timeoutMs: timeoutMilliseconds, targetLatencyMs: longestPauseMilliseconds, ...(route.kind === 'streaming' && {gapAimMs: longestPauseMilliseconds}),
	}));
	const services = (state.services as Array<Record<string, unknown>>).map(service => ({
		...service, maxConnections: callers * 2, ...(service.engine !== undefined && {engine: {slots: callers, kvCapacity: 40_000_000, stride: 7}}),
	}));
	return {...state, routes, services};
}

async function callRepeatedly(port: number, {name, endsAt, random}: {name: string; endsAt: number; random: Random}): Promise<number[]> {
	const ends: number[] = [];
	for (let number = 0; performance.now() < endsAt; number++) {
		await sleep(random.uniform() * restMilliseconds);
		const end = await call(port, `${name}-${number}`);
		if (end !== undefined) {
			ends.push(end);
		}
	}

	return ends;
}

/** Sends one request; how long after its timeout it has ended, undefined if it was refused. */
async function call(port: number, id: string): Promise<number | undefined> {
	const socket = net.connect(port, '127.0.0.1');
	socket.on('error', () => undefined);
	await once(socket, 'connect');
	const sentAt = performance.now();
	let text = '';
	socket.on('data', (bytes: Uint8Array) => {
		text += String(bytes).slice(0, 32);
	});
	const headers = ['Host: studio.example', `Request-Id: ${id}`, 'Authorization: Bearer key-a', `Deadline-Ms: ${deadlineMilliseconds}`, 'Connection: close', 'Content-Length: 2'];
	socket.write(`POST /question/${id} HTTP/1.1\r\n${headers.join('\r\n')}\r\n\r\nhi`);
	await once(socket, 'close');
	return text.startsWith('HTTP/1.1 503') ? undefined : performance.now() - sentAt - timeoutMilliseconds;
}

/** Lets a gateway stand still for a part of each period until the signal aborts; returns for how long it did at most. */
async function standStill(gateway: GatewayChild, {standMilliseconds, periodMilliseconds, seed, signal}: Pick<EndsSettings, 'standMilliseconds' | 'periodMilliseconds' | 'seed'> & {signal: AbortSignal}): Promise<number> {
	const random = createMixedRandom(seed);
	let longest = 0;
	while (!signal.aborted) {
		const from = performance.now();
		gateway.freeze();
		await sleep(standMilliseconds);
		gateway.wake();
		longest = Math.max(longest, performance.now() - from);
		await sleep(2 * random.uniform() * (periodMilliseconds - standMilliseconds));
	}

	return longest;
}

async function sleep(milliseconds: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, milliseconds);
	});
}
