/**
 * What callers and endpoints of one gateway wait for while it has a small part of a core and gets more than that can pace: to be accepted, to be
 * read, from sending to an endpoint, and from a hang-up to the end of the endpoint's request. A few seconds a play, so that a change is judged by many.
 */
import {mkdtempSync, rmSync} from 'node:fs';
import {Agent} from 'node:http';
import {tmpdir} from 'node:os';
import {type CommandModule} from 'yargs';
import {desiredState} from '../../fakes/platform-state.js';
import {FakePlatformStore} from '../../fakes/platform-store.js';
import {FakePlatformWorker} from '../../fakes/platform-worker.js';
import {GatewayChild} from '../gateway-soak/child.js';
import {createRandom, type Random} from '../harness/random.js';
import {sendOne} from './load.js';
import {hangUp, probeNewConnection, probeOpenConnection, quantile, type Waits} from './waits.js';

type Settings = {seed: number; count: number; run: number; period: number; pause: number; seconds: number; open: number; program?: string};

const firstPort = 24_000;
const workerCount = 4;
const longMilliseconds = 8000;
const probeMilliseconds = 120;
const hangUpMilliseconds = 60;
/** A caller hangs up this long after it has sent its request. */
const patience = {least: 300, most: 900};
const settleMilliseconds = 1500;
const kinds = ['lookup', 'release', 'chart'] as const;

export const gatewayWaitsCommand: CommandModule<unknown, Settings> = {
	command: 'gateway-waits',
	describe: 'Waits of callers and endpoints at a gateway with a small part of a core: to be accepted, read, sent on, and hung up',
	builder: {
		seed: {type: 'number', default: 1},
		count: {type: 'number', default: 4, describe: 'plays, with seeds from the first on'},
		run: {type: 'number', default: 5, describe: 'milliseconds of each period for which the gateway runs'},
		period: {type: 'number', default: 20, describe: 'milliseconds'},
		pause: {type: 'number', default: 25, describe: 'mean milliseconds between two requests'},
		seconds: {type: 'number', default: 6},
		open: {type: 'number', default: 0.5, describe: 'share of the requests on open connections'},
		program: {type: 'string', describe: 'the bundled program of another version, to play in place of this one'},
	},
	async handler(settings) {
		const all = new Map<string, number[]>();
		for (let {seed} = settings; seed < settings.seed + settings.count; seed++) {
			for (const {name, milliseconds} of await play(settings, seed)) {
				all.set(name, [...(all.get(name) ?? []), ...milliseconds]);
				printWaits(`seed ${seed}: ${name}`, milliseconds);
			}
		}

		for (const [name, milliseconds] of all) {
			printWaits(`all: ${name}`, milliseconds);
		}
	},
};

function printWaits(name: string, milliseconds: readonly number[]): void {
	const shown = [0.5, 0.9, 0.99].map(share => Math.round(quantile(milliseconds, share)));
	console.log(`${name}: ${milliseconds.length} waits, ${shown.join(', ')} ms (half, nine tenths, 99 in 100); over half a second ${milliseconds.filter(one => one > 500).length}`);
}

/** One play of a few seconds. */
async function play({run, period, pause, seconds, open, program}: Settings, seed: number): Promise<readonly Waits[]> {
	const folder = mkdtempSync(`${tmpdir()}/cassiaflow-waits-`);
	const random = createRandom(seed);
	await using store = await FakePlatformStore.create();
	const workers = await Promise.all(Array.from({length: workerCount}, async (_, number) => createWorker(store, number)));
	store.put('keyed.op', 'config', desiredState(1));
	const ports = [firstPort, firstPort + 1, firstPort + 2, firstPort + 3] as const;
	await using gateway = await GatewayChild.create({instance: 'gateway', folder, storeAddress: store.address, ports, seedHosts: [], clockMilliseconds: 0, program});
	await gateway.ready();
	const abort = new AbortController();
	const slow = slowDown(gateway, {run, period, signal: abort.signal});
	const endsAt = performance.now() + (seconds * 1000);
	const hungUpAt = new Map<string, number>();
	const agent = new Agent({keepAlive: true});
	const accepted: Waits = {name: 'new connection to answer', milliseconds: []};
	const read: Waits = {name: 'open connection to answer', milliseconds: []};
	await Promise.all([
		repeat(endsAt, probeMilliseconds, async () => accepted.milliseconds.push(await probeNewConnection(gateway.callerPort))),
		repeat(endsAt, probeMilliseconds, async () => read.milliseconds.push(await probeOpenConnection(gateway.callerPort, agent))),
		sendHangUps(gateway.callerPort, {endsAt, random, hungUpAt}),
		sendLoad(gateway.callerPort, {endsAt, random, pause, open}),
	]);
	await sleep(settleMilliseconds);
	abort.abort();
	await slow;
	agent.destroy();
	const reset = waitsForReset(workers, hungUpAt);
	for (const worker of workers) {
		await worker[Symbol.asyncDispose]();
	}

	rmSync(folder, {recursive: true});
	return [accepted, read, reset.afterSending, reset.afterHangUp];
}

async function createWorker(store: FakePlatformStore, number: number): Promise<FakePlatformWorker> {
	const worker = await FakePlatformWorker.create(`worker-${number}`, number % 2 === 0 ? 'orders' : 'models');
	worker.answer = ({id}) => id.startsWith('hang-up')
		? {type: 'whole', body: 'late', afterMilliseconds: longMilliseconds}
		: (worker.service === 'models' ? {type: 'events', count: 8, gapMilliseconds: 20} : {type: 'whole', body: 'ok', afterMilliseconds: 40});
	store.put('keyed.servers', worker.id, worker.beat());
	return worker;
}

/** How long after the hang-up requests still arrived, and how long until their connection was closed. */
function waitsForReset(workers: readonly FakePlatformWorker[], hungUpAt: ReadonlyMap<string, number>): {afterSending: Waits; afterHangUp: Waits} {
	const afterSending: number[] = [];
	const afterHangUp: number[] = [];
	for (const {requests, abandonedAt} of workers) {
		for (const {id, at} of requests) {
			const left = hungUpAt.get(id);
			if (left !== undefined && at > left) {
				afterSending.push(at - left);
			} else if (left !== undefined) {
				afterHangUp.push((abandonedAt.get(id) ?? left + longMilliseconds) - left);
			}
		}
	}

	return {afterSending: {name: 'hang-up to arrival at an endpoint', milliseconds: afterSending}, afterHangUp: {name: 'hang-up to the end at the endpoint', milliseconds: afterHangUp}};
}

async function sendHangUps(port: number, {endsAt, random, hungUpAt}: {endsAt: number; random: Random; hungUpAt: Map<string, number>}): Promise<void> {
	let number = 0;
	await repeat(endsAt, hangUpMilliseconds, async () => {
		const id = `hang-up-${number++}`;
		const afterMilliseconds = patience.least + (random.uniform() * (patience.most - patience.least));
		hungUpAt.set(id, await hangUp(port, {id, path: '/release/1', key: 'key-a', afterMilliseconds, isAbrupt: random.uniform() < 0.3}));
	});
}

async function sendLoad(port: number, {endsAt, random, pause, open}: {endsAt: number; random: Random; pause: number; open: number}): Promise<void> {
	const agent = new Agent({keepAlive: true});
	let number = 0;
	while (performance.now() < endsAt) {
		void sendOne(port, {id: `load-${number++}`, kind: random.pick(kinds), agent: random.uniform() < open ? agent : undefined});
		await sleep(random.exponential(pause));
	}

	agent.destroy();
}

/** Starts a task at each interval until an end, and waits for all of them. */
async function repeat(endsAt: number, milliseconds: number, task: () => Promise<unknown>): Promise<void> {
	const started: Array<Promise<unknown>> = [];
	while (performance.now() < endsAt) {
		started.push(task());
		await sleep(milliseconds);
	}

	await Promise.all(started);
}

/** Lets a gateway run for a part of each period until the signal aborts. */
async function slowDown(gateway: GatewayChild, {run, period, signal}: {run: number; period: number; signal: AbortSignal}): Promise<void> {
	while (!signal.aborted) {
		gateway.freeze();
		await sleep(period - run);
		gateway.wake();
		await sleep(run);
	}
}

async function sleep(milliseconds: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, milliseconds);
	});
}
