/**
 * What callers get of one gateway that has a part of a core, at rates below and above what it can serve: how many requests reach an endpoint in a
 * second, what each kind of caller has in the end, and what time those that are refused still had. A few seconds a play, so that a change is judged by many.
 */
import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {type CommandModule} from 'yargs';
import {desiredState} from '../../fakes/platform-state.js';
import {FakePlatformStore} from '../../fakes/platform-store.js';
import {FakePlatformWorker} from '../../fakes/platform-worker.js';
import {GatewayChild} from '../gateway-soak/child.js';
import {createRandom, type Random} from '../harness/random.js';
import {call, type CallerResult, type Kind, sleep} from './callers.js';

type Settings = {seed: number; count: number; run: number; period: number; rates: string; seconds: number; program?: string};
type Play = {readonly results: readonly CallerResult[]; readonly begun: number; readonly seconds: number};

const firstPort = 24_100;
const workerCount = 4;
const kinds: readonly Kind[] = [
	{name: 'question', share: 0.15, bodyBytes: 1500, targetMilliseconds: 150, deadlineMilliseconds: 10_000},
	{name: 'chart', share: 0.35, bodyBytes: 5000, targetMilliseconds: 250, deadlineMilliseconds: 2500},
	{name: 'draft', share: 0.35, bodyBytes: 18_000, targetMilliseconds: 600, deadlineMilliseconds: 4000},
	{name: 'release', share: 0.15, bodyBytes: 800, targetMilliseconds: 121, deadlineMilliseconds: 1500},
];
const eventCounts: Readonly<Record<string, number>> = {question: 40, chart: 3, draft: 7};
const route = {host: 'studio.example', maxAttempts: 2, public: false, sticky: false, resumable: false, kind: 'streaming', service: 'models'};
const routes = [
	{...route, name: 'question', pathPrefix: '/question/', priority: 0, targetLatencyMs: 150, gapAimMs: 120, timeoutMs: 15_000},
	{...route, name: 'chart', pathPrefix: '/chart/', priority: 1, targetLatencyMs: 250, gapAimMs: 200, timeoutMs: 5000},
	{...route, name: 'draft', pathPrefix: '/draft/', priority: 2, targetLatencyMs: 600, gapAimMs: 500, timeoutMs: 8000},
	{...route, name: 'release', pathPrefix: '/release/', kind: 'unsafe', service: 'orders', maxAttempts: 1, priority: 0, targetLatencyMs: 121, timeoutMs: 3000},
];
/** Callers that were there before the measured span have left by then. */
const warmMilliseconds = 1500;
const slots = 200;

export const gatewayOverloadCommand: CommandModule<unknown, Settings> = {
	command: 'gateway-overload',
	describe: 'What callers get of a gateway with a part of a core, below and above what it can serve',
	builder: {
		seed: {type: 'number', default: 1},
		count: {type: 'number', default: 3, describe: 'plays of each rate, with seeds from the first on'},
		run: {type: 'number', default: 10, describe: 'milliseconds of each period for which the gateway runs'},
		period: {type: 'number', default: 20, describe: 'milliseconds'},
		rates: {type: 'string', default: '40,80,160', describe: 'requests a second'},
		seconds: {type: 'number', default: 6},
		program: {type: 'string', describe: 'the bundled program of another version, to play in place of this one'},
	},
	async handler(settings) {
		for (const rate of settings.rates.split(',').map(Number)) {
			const plays: Play[] = [];
			for (let {seed} = settings; seed < settings.seed + settings.count; seed++) {
				plays.push(await play(settings, rate, seed));
			}

			printPlays(rate, plays);
		}
	},
};

/** One play of a few seconds. */
async function play({run, period, seconds, program}: Settings, rate: number, seed: number): Promise<Play> {
	const folder = mkdtempSync(`${tmpdir()}/cassiaflow-overload-`);
	const random = createRandom(seed);
	await using store = await FakePlatformStore.create();
	const workers = await Promise.all(Array.from({length: workerCount}, async (_, number) => createWorker(store, number)));
	store.put('keyed.op', 'config', {...desiredState(1), routes});
	const ports = [firstPort, firstPort + 1, firstPort + 2, firstPort + 3] as const;
	await using gateway = await GatewayChild.create({instance: 'gateway', folder, storeAddress: store.address, ports, seedHosts: [], clockMilliseconds: 0, program});
	await gateway.ready();
	const abort = new AbortController();
	const slow = slowDown(gateway, {run, period, signal: abort.signal});
	const measuredFrom = performance.now() + warmMilliseconds;
	const results = await sendAll(gateway.callerPort, {rate, random, until: measuredFrom + (seconds * 1000)});
	abort.abort();
	await slow;
	const begun = workers.flatMap(({requests}) => requests).filter(({at}) => at >= measuredFrom && at < measuredFrom + (seconds * 1000)).length;
	for (const worker of workers) {
		await worker[Symbol.asyncDispose]();
	}

	rmSync(folder, {recursive: true});
	return {results: results.filter(({startedAt}) => startedAt >= measuredFrom), begun, seconds};
}

async function createWorker(store: FakePlatformStore, number: number): Promise<FakePlatformWorker> {
	const worker = await FakePlatformWorker.create(`worker-${number}`, number % 2 === 0 ? 'orders' : 'models');
	worker.answer = ({path}) => worker.service === 'models'
		? {type: 'events', count: eventCounts[path.split('/')[1]!] ?? 1, gapMilliseconds: 20}
		: {type: 'whole', body: 'ok', afterMilliseconds: 20};
	store.put('keyed.servers', worker.id, worker.beat({slots}));
	return worker;
}

async function sendAll(port: number, {rate, random, until}: {rate: number; random: Random; until: number}): Promise<readonly CallerResult[]> {
	const calls: Array<Promise<CallerResult>> = [];
	let dueAt = performance.now();
	while (dueAt < until) {
		calls.push(call(port, kindOf(random.uniform()), `call-${calls.length}`));
		dueAt += random.exponential(1000 / rate);
		await sleep(Math.max(0, dueAt - performance.now()));
	}

	return Promise.all(calls);
}

/** The kind of request at this part of all, from 0 to 1. */
function kindOf(part: number): Kind {
	let sum = 0;
	return kinds.find(({share}) => {
		sum += share;
		return part < sum;
	}) ?? kinds[0]!;
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

function printPlays(rate: number, plays: readonly Play[]): void {
	const results = plays.flatMap(one => one.results);
	const begun = plays.map(one => Math.round(one.begun / one.seconds));
	const leftShares = results.flatMap(one => one.leftShares);
	const tries = results.reduce((sum, one) => sum + one.tries, 0);
	console.log(`${rate} a second: ${begun.join(', ')} a second reach an endpoint; ${tries} tries of ${results.length} callers; of ${leftShares.length} refusals ${leftShares.filter(share => share > 0.5).length} with over half of the time left`);
	for (const kind of kinds) {
		const own = results.filter(one => one.kind === kind);
		const counts = (['in-target', 'late', 'refused', 'failed'] as const).map(outcome => `${outcome} ${(own.filter(one => one.outcome === outcome).length / Math.max(1, own.length)).toFixed(2)}`);
		console.log(`  ${kind.name}: ${own.length} callers, ${counts.join(', ')}`);
	}
}
