import {type ChildProcess, spawn} from 'node:child_process';
import {randomUUID} from 'node:crypto';
import {once} from 'node:events';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {catalogueStream} from '../../src/catalogue/index.js';
import {HttpLogClient} from '../../src/platform/index.js';
import {type EngineCosts, FakeLog, FakeMembers} from '../../fakes/index.js';
import {planCatalogue, type ClassPlan} from '../harness/catalogue.js';

/** A program under measurement, started as an operator starts it. */
export class Program implements AsyncDisposable {
	/** Starts a compiled file and waits until it logs its address. */
	static async create(file: string, parameters: readonly string[]): Promise<Program> {
		const flags = process.env.BENCH_PROFILE === undefined ? [] : ['--cpu-prof', `--cpu-prof-dir=${process.env.BENCH_PROFILE}`];
		const child = spawn(process.execPath, [...flags, file, ...parameters], {stdio: ['ignore', 'inherit', 'pipe']});
		for await (const line of createInterface({input: child.stderr})) {
			if (line.includes('Listening.')) {
				const {address, adminPort} = JSON.parse(line) as {address: string; adminPort?: number};
				child.stderr.resume();
				return new Program(child, address, adminPort ?? 0);
			}

			console.error(line);
		}

		throw new Error(`${file} exited before it was listening.`);
	}

	readonly address: string;
	readonly #child: ChildProcess;
	readonly #adminPort: number;

	private constructor(child: ChildProcess, address: string, adminPort: number) {
		this.#child = child;
		this.address = address;
		this.#adminPort = adminPort;
	}

	/** Reads processor time, resident memory and heap size from the program's metrics. */
	async usage(): Promise<Usage> {
		const response = await fetch(`http://127.0.0.1:${this.#adminPort}/metrics`);
		const text = await response.text();
		const read = (name: string) => Number(new RegExp(String.raw`^${name}\{[^\}]*\} (?<value>\S+)$`, 'mv').exec(text)?.groups?.value);
		return {
			processorSeconds: read('process_cpu_seconds_total'), residentBytes: read('process_resident_memory_bytes'), heapBytes: read('nodejs_heap_size_used_bytes'),
		};
	}

	async [Symbol.asyncDispose](): Promise<void> {
		const ended = once(this.#child, 'exit');
		this.#child.kill('SIGTERM');
		await ended;
	}
}

export type Usage = {readonly processorSeconds: number; readonly residentBytes: number; readonly heapBytes: number};

/** One entry, one side and one engine, each in a process of its own; the platform's stand-ins run in this one. */
export type Path = AsyncDisposable & {readonly entry: Program; readonly side: Program; readonly engine: Program};

/** The only class, with time limits so long that nothing is refused for them. */
const patientClass: ClassPlan = {
	name: 'patient', tier: 1, firstTokenMilliseconds: 600_000, betweenTokensMilliseconds: 1000, queueMilliseconds: 600_000,
};
export const workspace = 'bench';

export async function startPath(costs: Partial<EngineCosts>): Promise<Path> {
	const log = await FakeLog.create();
	const members = await FakeMembers.create();
	const platform = ['--zone', 'zone-a', '--log-url', log.url, '--members-url', members.url, '--insecure-plaintext', '--log-level', 'info'];
	const engine = await Program.create('dist/bench/path/engine-process.js', [JSON.stringify(costs)]);
	const side = await Program.create('dist/src/bin/cassiaflow-side.js', [...platform, '--endpoint', 'engine', '--endpoint-url', engine.address, '--targets', 'model']);
	const entry = await Program.create('dist/src/bin/cassiaflow-entry.js', [...platform, '--listen-port', '0']);
	await HttpLogClient.create({baseUrl: log.url, timeoutMilliseconds: 2000}).append(catalogueStream, {
		type: 'change', id: randomUUID(), author: 'bench', time: Date.now(), operations: planCatalogue(['model'], [workspace], [patientClass]).map(planned => ({type: 'put', entry: planned})),
	});
	members.set({instance: 'side', role: 'side', address: side.address, zone: 'zone-a', state: 'live', endpoint: 'engine', targets: ['model']});
	return {
		entry, side, engine, async [Symbol.asyncDispose]() {
			for (const part of [entry, side, engine, members, log]) {
				await part[Symbol.asyncDispose]();
			}
		},
	};
}
