import {execFileSync} from 'node:child_process';
import {mkdtempSync, readdirSync, readFileSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import process from 'node:process';
import Table from 'cli-table3';
import {type CommandModule} from 'yargs';
import {desiredState} from '../../fakes/platform-state.js';
import {FakePlatformStore} from '../../fakes/platform-store.js';
import {FakePlatformWorker} from '../../fakes/platform-worker.js';
import {GatewayChild} from '../gateway-soak/child.js';
import {createRandom} from '../harness/random.js';
import {createAgent, createTally, kinds, send, type Tally} from './callers.js';
import {PrefillModel} from './engine.js';
import {type Cost, costsByOrigin, costsOf, type Profile} from './profile.js';

type Settings = {load: number; seconds: number; gateways: number; engines: number; seed: number; functions: number};

const firstPort = 23_000;
const tokensPerMillisecond = 82;
/** Clock ticks per second in /proc/PID/stat. */
const ticksPerSecond = 100;
const settleMilliseconds = 2500;

/** Measures the processor time of real gateways per request and by function. */
export const gatewayLoadCommand: CommandModule<unknown, Settings> = {
	command: 'gateway-load',
	describe: 'Load gateway processes in front of stand-in engines; their processor time per request and by function',
	builder: {
		load: {type: 'number', default: 1, describe: 'times the usual requests of each gateway'},
		seconds: {type: 'number', default: 10},
		gateways: {type: 'number', default: 1},
		engines: {type: 'number', default: 2, describe: 'engines for each gateway'},
		seed: {type: 'number', default: 1},
		functions: {type: 'number', default: 30, describe: 'rows of the table of functions'},
	},
	async handler(settings) {
		execFileSync(process.execPath, ['tools/bundle.mjs'], {stdio: 'inherit'});
		await run(settings);
	},
};

async function run({load, seconds, gateways, engines, seed, functions}: Settings): Promise<void> {
	const folder = mkdtempSync(`${tmpdir()}/cassiaflow-load-`);
	const random = createRandom(seed);
	await using store = await FakePlatformStore.create();
	const workers = await Promise.all(Array.from({length: engines * gateways}, async (_, number) => createEngine(store, `engine-${number}`)));
	store.put('keyed.op', 'config', desiredState(1, {
		routes: kinds.map(({name, priority, targetMilliseconds, pauseMilliseconds, timeoutMilliseconds}) => ({
			name, host: 'load.example', pathPrefix: `/${name}/`, kind: 'streaming', service: 'models', resumable: false, maxAttempts: 1, priority,
			targetLatencyMs: targetMilliseconds, gapAimMs: pauseMilliseconds, timeoutMs: timeoutMilliseconds,
		})),
		services: [{name: 'models', maxConnections: 360, engine: {slots: 64, kvCapacity: 600_000, stride: 4}}],
	}));
	const children: GatewayChild[] = [];
	for (let number = 0; number < gateways; number++) {
		const port = firstPort + (number * 4);
		children.push(await GatewayChild.create({
			instance: `gateway-${number}`, folder, storeAddress: store.address, ports: [port, port + 1, port + 2, port + 3], seedHosts: [], clockMilliseconds: 0,
			nodeFlags: number === 0 ? ['--cpu-prof', '--cpu-prof-dir', folder] : [],
		}));
	}

	await Promise.all(children.map(async child => child.ready()));
	await pause(settleMilliseconds);
	const before = children.map(child => processorSeconds(child.pid));
	const tallies = await traffic({load, seconds, random, ports: children.map(({callerPort}) => callerPort)});
	const spent = children.map((child, index) => processorSeconds(child.pid) - before[index]!);
	printTallies(tallies);
	const asked = tallies.reduce((sum, {asked: count}) => sum + count, 0) / gateways;
	console.log(`processor time of each gateway: ${spent.map(value => value.toFixed(2)).join(', ')} s; ${(spent[0]! / asked * 1000).toFixed(2)} ms a request`);
	await children[0]!.end('SIGTERM');
	printProfile(folder, functions);
	for (const child of children) {
		await child[Symbol.asyncDispose]();
	}

	await Promise.all(workers.map(async worker => worker[Symbol.asyncDispose]()));
	rmSync(folder, {recursive: true});
}

async function createEngine(store: FakePlatformStore, id: string): Promise<FakePlatformWorker> {
	const worker = await FakePlatformWorker.create(id, 'models');
	const model = PrefillModel.create(tokensPerMillisecond);
	worker.answer = request => model.answer(request);
	store.put('keyed.servers', id, worker.beat({slots: 64}));
	return worker;
}

async function traffic({load, seconds, random, ports}: {load: number; seconds: number; random: ReturnType<typeof createRandom>; ports: readonly number[]}): Promise<Tally[]> {
	const tallies = kinds.map(() => createTally());
	const pending: Array<Promise<void>> = [];
	const agent = createAgent();
	const until = performance.now() + (seconds * 1000);
	await Promise.all(ports.flatMap(port => kinds.map(async (kind, index) => {
		for (let number = 0; performance.now() < until; number++) {
			await pause(random.exponential(1000 / (kind.perSecond * load)));
			pending.push(send({id: `${kind.name}-${port}-${number}`, kind, port, random, tally: tallies[index]!, agent}));
		}
	})));
	await Promise.all(pending);
	agent.destroy();
	return tallies;
}

/** Returns the user and system time of a process, as reported by the kernel. */
function processorSeconds(pid: number): number {
	const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1]!.split(' ');
	return (Number(fields[11]) + Number(fields[12])) / ticksPerSecond;
}

function printTallies(tallies: readonly Tally[]): void {
	const table = new Table({head: ['kind', 'asked', 'served', 'late', 'refused', 'failed', 'first event, median ms', '99 in 100'], style: {head: [], border: []}});
	for (const [index, {asked, served, late, refused, failed, firstEvents}] of tallies.entries()) {
		const sorted = firstEvents.toSorted((left, right) => left - right);
		const at = (share: number): string => (sorted[Math.floor(sorted.length * share)] ?? Number.NaN).toFixed(0);
		table.push([kinds[index]!.name, asked, served, late, refused, failed, at(0.5), at(0.99)]);
	}

	console.log(table.toString());
}

function printProfile(folder: string, rows: number): void {
	const file = readdirSync(folder).find(name => name.endsWith('.cpuprofile'));
	if (file === undefined) {
		console.log('No profile was written.');
		return;
	}

	const profile = JSON.parse(readFileSync(`${folder}/${file}`, 'utf8')) as Profile;
	const costs = costsOf(profile);
	printCosts('origin', costsByOrigin(profile).slice(0, rows));
	printCosts('function', costs.slice(0, rows));
	printCosts('function by its own time', costs.toSorted((left, right) => right.ownMilliseconds - left.ownMilliseconds).slice(0, rows));
}

function printCosts(title: string, costs: readonly Cost[]): void {
	const table = new Table({head: [title, 'with what it calls, ms', 'itself, ms'], style: {head: [], border: []}, chars: {mid: '', 'left-mid': '', 'mid-mid': '', 'right-mid': ''}});
	for (const {name, wholeMilliseconds, ownMilliseconds} of costs) {
		table.push([name, wholeMilliseconds.toFixed(0), ownMilliseconds.toFixed(0)]);
	}

	console.log(table.toString());
}

async function pause(milliseconds: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, milliseconds);
	});
}
