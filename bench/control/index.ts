import {setTimeout as delay} from 'node:timers/promises';
import Table from 'cli-table3';
import {type CommandModule} from 'yargs';
import {fitLine} from './slopes.js';
import {Subject, type Rates} from './subject.js';
import {Surroundings, type Setting} from './surroundings.js';

type Role = 'entry' | 'side';
type Factor = 'sides' | 'entries' | 'catalogueEntries' | 'changesPerSecond';
type Sweep = {readonly role: Role; readonly factor: Factor; readonly values: readonly number[]};
type Measurement = Rates & {readonly messagesPerSecond: number};
type Options = {seconds: number; role: string; onlyLetter: boolean};

const emptyFleet: Setting = {entries: 0, sides: 0, catalogueEntries: 19, changesPerSecond: 0};
const referenceFleet: Setting = {entries: 350, sides: 600, catalogueEntries: 899, changesPerSecond: 1700 / 86_400};
const settleMilliseconds = 4000;
const budget = {core: 0.044, memoryBytes: 256e6, bytesPerSecond: 6000};

const sweeps: readonly Sweep[] = [
	{role: 'entry', factor: 'sides', values: [0, 75, 150, 300, 600]},
	{role: 'entry', factor: 'entries', values: [0, 175, 350]},
	{role: 'entry', factor: 'catalogueEntries', values: [19, 899, 1799, 3599]},
	{role: 'entry', factor: 'changesPerSecond', values: [0, 1, 2, 4]},
	{role: 'side', factor: 'entries', values: [0, 50, 100, 200, 350]},
	{role: 'side', factor: 'catalogueEntries', values: [19, 899, 1799, 3599]},
	{role: 'side', factor: 'changesPerSecond', values: [0, 1, 2, 4]},
];

/** Measures the control overhead of an idle process, and fits lines over the size of the fleet around it. */
export const controlCommand: CommandModule<unknown, Options> = {
	command: 'control',
	describe: 'processor time, bytes and memory for control, of an entry and a side, over the size of the fleet',
	builder: {
		seconds: {type: 'number', default: 10, describe: 'length of each reading'},
		role: {type: 'string', default: 'both', choices: ['entry', 'side', 'both'], describe: 'which process to measure'},
		'only-letter': {type: 'boolean', default: false, describe: 'only the point at the size of letter 1'},
	},
	async handler({seconds, role, onlyLetter}) {
		for (const sweep of sweeps.filter(candidate => !onlyLetter && (role === 'both' || candidate.role === role))) {
			await runSweep(sweep, seconds);
		}

		for (const measured of (['entry', 'side'] as const).filter(candidate => role === 'both' || candidate === role)) {
			const rates = await measurePoint(measured, referenceFleet, seconds);
			console.log(`${measured} at letter 1's size: ${describe(rates)}`);
			console.log(`  budget: core ${(budget.core * 100).toFixed(1)}%, ${budget.bytesPerSecond} B/s, ${budget.memoryBytes / 1e6} MB: ${isWithin(rates) ? 'kept' : 'BROKEN'}`);
		}
	},
};

async function runSweep({role, factor, values}: Sweep, seconds: number): Promise<void> {
	const points: Array<{x: number; rates: Measurement}> = [];
	for (const value of values) {
		points.push({x: value, rates: await measurePoint(role, {...emptyFleet, [factor]: value}, seconds)});
	}

	const table = new Table({head: [`${role}: ${factor}`, 'core %', 'B/s', 'frames/s', 'memory MB'], style: {head: [], border: []}});
	for (const {x, rates} of points) {
		table.push([x, (rates.core * 100).toFixed(2), rates.bytesPerSecond.toFixed(0), rates.messagesPerSecond.toFixed(1), (rates.memoryBytes / 1e6).toFixed(1)]);
	}

	const line = (read: (rates: Measurement) => number): string => {
		const fitted = fitLine(points.map(({x, rates}) => ({x, y: read(rates)})));
		return `${fitted.slope.toPrecision(3)} ± ${fitted.spread.toPrecision(2)}`;
	};

	table.push(['slope for one more', line(rates => rates.core * 100), line(rates => rates.bytesPerSecond), line(rates => rates.messagesPerSecond), line(rates => rates.memoryBytes / 1e6)]);
	console.log(table.toString());
}

async function measurePoint(role: Role, setting: Setting, seconds: number): Promise<Measurement> {
	await using surroundings = await Surroundings.create(setting);
	surroundings.listEntries();
	const started = await start(role, surroundings);
	await using subject = started.subject;
	await (role === 'entry' ? surroundings.addSides() : surroundings.connectEntries(String(started.line.address)));

	await surroundings.changeFor(settleMilliseconds);
	const before = surroundings.messages;
	const rates = await subject.measure(async () => surroundings.changeFor(seconds * 1000));
	return {...rates, messagesPerSecond: (surroundings.messages - before) / seconds};
}

async function start(role: Role, {log, members, engine}: Surroundings): Promise<{subject: Subject; line: Record<string, unknown>}> {
	const common = {zone: 'lima-a', 'log-url': log.url, 'log-level': 'info', 'insecure-plaintext': ''};
	const started = role === 'entry'
		? await Subject.start('cassiaflow-entry', {...common, 'members-url': members.url, 'listen-port': '0'})
		: await Subject.start('cassiaflow-side', {...common, 'members-url': members.url, endpoint: 'engine-0', 'endpoint-url': engine.url, targets: 'model-0', 'listen-port': '0'});
	await delay(500);
	return started;
}

function describe(rates: Measurement): string {
	return `core ${(rates.core * 100).toFixed(2)}%, ${rates.bytesPerSecond.toFixed(0)} B/s, ${rates.messagesPerSecond.toFixed(1)} frames/s, ${(rates.memoryBytes / 1e6).toFixed(1)} MB`;
}

function isWithin(rates: Rates): boolean {
	return rates.core <= budget.core && rates.bytesPerSecond <= budget.bytesPerSecond && rates.memoryBytes <= budget.memoryBytes;
}
