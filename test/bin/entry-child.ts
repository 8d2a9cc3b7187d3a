import {type ChildProcess, spawn} from 'node:child_process';
import {once} from 'node:events';
import {request as httpRequest} from 'node:http';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {callModel} from '../../bench/harness/caller.js';
import {keyOf, planCatalogue} from '../../bench/harness/catalogue.js';
import {
	FakeEngine, FakeLog, FakeMembers, FakeService,
} from '../../fakes/index.js';
import {catalogueStream, type Change, type Entry} from '../../src/catalogue/index.js';
import {HttpLogClient} from '../../src/platform/index.js';
import {until} from '../../bench/harness/local-fleet.js';

const readyMilliseconds = 15_000;
const bin = 'dist/src/bin';
const workspace = 'stickwerk';
const model = 'model';
const kitchen = 'kitchen';

/** An entry or a side as a process. */
export class RoleRun implements AsyncDisposable {
	static start(role: 'entry' | 'side', parameters: readonly string[], environment: Readonly<Record<string, string>>): RoleRun {
		return new RoleRun(spawn(process.execPath, [`${bin}/cassiaflow-${role}.js`, ...parameters], {
			env: {PATH: process.env.PATH, ...environment}, stdio: ['ignore', 'ignore', 'pipe'],
		}));
	}

	readonly child: ChildProcess;
	lines = '';
	/** The signal or exit code that it ended by. */
	endedBy: string | undefined;

	private constructor(child: ChildProcess) {
		this.child = child;
		child.stderr!.on('data', (text: Uint8Array) => {
			this.lines += String(text);
		});
		child.once('exit', (code, signal) => {
			this.endedBy = signal ?? `code ${code}`;
		});
	}

	/** The addresses at which it listens, once it does. */
	async listening(): Promise<{address: string; adminPort: number}> {
		let line: string | undefined;
		await until(() => {
			line = this.lines.split('\n').slice(0, -1).find(text => text.includes('Listening.'));
			return line !== undefined;
		});
		return JSON.parse(line!) as {address: string; adminPort: number};
	}

	async [Symbol.asyncDispose](): Promise<void> {
		if (this.endedBy === undefined) {
			const ended = once(this.child, 'exit');
			this.child.kill('SIGKILL');
			await ended;
		}
	}
}

type RoleFleetParts = {readonly engine: FakeEngine; readonly service: FakeService; readonly entryParameters: readonly string[]; readonly sideParameters: readonly string[]};

/** One entry and the sides of one engine and one service as processes, with the platform and the endpoints in this process. */
export class RoleFleet implements AsyncDisposable {
	/** `entryParameters` are those of the first entry, `sideParameters` of both sides. */
	static async create(entryParameters: readonly string[] = [], sideParameters: readonly string[] = []): Promise<RoleFleet> {
		const fleet = new RoleFleet(await FakeLog.create(), await FakeMembers.create(), {
			entryParameters, sideParameters,
			engine: await FakeEngine.create({models: [model], costs: {stepMilliseconds: 10}}), service: await FakeService.create(),
		});
		await fleet.#publish();
		await Promise.all([fleet.#list(fleet.engineSide, 'engine-1', model), fleet.#list(fleet.serviceSide, 'service-1', kitchen)]);
		const {address} = await fleet.entry.listening();
		fleet.#address = address;
		await fleet.#serves();
		return fleet;
	}

	readonly entry: RoleRun;
	readonly engineSide: RoleRun;
	readonly serviceSide: RoleRun;
	readonly log: FakeLog;
	readonly members: FakeMembers;
	readonly engine: FakeEngine;
	readonly service: FakeService;
	#address = '';

	private constructor(log: FakeLog, members: FakeMembers, {engine, service, entryParameters, sideParameters}: RoleFleetParts) {
		this.log = log;
		this.members = members;
		this.engine = engine;
		this.service = service;
		this.entry = this.startEntry(entryParameters);
		this.engineSide = this.startSide('engine-1', engine.url, model, sideParameters);
		this.serviceSide = this.startSide('service-1', service.url, kitchen, ['--endpoint-kind', 'service', ...sideParameters]);
	}

	startEntry(parameters: readonly string[] = []): RoleRun {
		const notice = parameters.includes('--notice-milliseconds') ? [] : ['--notice-milliseconds', '200'];
		return RoleRun.start('entry', ['--listen-port', '0', ...notice, ...parameters], this.#environment);
	}

	/** Starts another entry, and waits until it serves. */
	async startServing(): Promise<RoleRun> {
		const run = this.startEntry();
		const {address} = await run.listening();
		await this.#serves(address);
		return run;
	}

	startSide(name: string, url: string, target: string, more: readonly string[] = []): RoleRun {
		return RoleRun.start('side', ['--endpoint', name, '--endpoint-url', url, '--targets', target, ...more], this.#environment);
	}

	/** Sends a call that may run once; resolves to the status of its whole answer, 0 if there is none. */
	sendOrder(body: string, address = this.#address): Promise<number> {
		const [host, port] = address.split(':');
		return new Promise(resolve => {
			const sent = httpRequest({
				host, port, method: 'POST', path: `/services/${kitchen}/tickets`, agent: false, headers: {authorization: `Bearer ${keyOf(workspace)}`},
			}, response => {
				response.resume().on('close', () => {
					resolve(response.complete ? response.statusCode ?? 0 : 0);
				}).on('error', () => undefined);
			});
			sent.on('error', () => {
				resolve(0);
			});
			sent.end(body);
		});
	}

	/** Sends a model call with a streamed answer; resolves to its outcome. */
	async sendStream(tokens: number, address = this.#address): Promise<string> {
		const {outcome} = await callModel({address, key: keyOf(workspace), className: 'order', model, prompt: `Signals [[tokens=${tokens}]]`});
		return outcome;
	}

	async [Symbol.asyncDispose](): Promise<void> {
		for (const part of [this.entry, this.engineSide, this.serviceSide, this.engine, this.service, this.members, this.log]) {
			await part[Symbol.asyncDispose]();
		}
	}

	get #environment(): Record<string, string> {
		return {CASSIAFLOW_LOG_URL: this.log.url, CASSIAFLOW_MEMBERS_URL: this.members.url, CASSIAFLOW_ZONE: 'zone-a', CASSIAFLOW_INSECURE_PLAINTEXT: 'true'};
	}

	/** Waits until both kinds of calls are served. */
	async #serves(address = this.#address): Promise<void> {
		const giveUpAt = performance.now() + readyMilliseconds;
		while (await this.sendOrder('first', address) !== 200 || await this.sendStream(1, address) !== 'whole') {
			if (performance.now() > giveUpAt) {
				throw new Error('The processes did not serve in time.');
			}

			await delay(50);
		}
	}

	async #publish(): Promise<void> {
		const client = HttpLogClient.create({baseUrl: this.log.url, timeoutMilliseconds: 2000});
		const entries: Entry[] = [...planCatalogue([model], [workspace]), {kind: 'service', name: kitchen, owner: 'platform', idempotentMethods: ['GET']}];
		const change: Change = {type: 'change', id: 'first', author: 'operator', time: Date.now(), operations: entries.map(entry => ({type: 'put', entry}))};
		await client.append(catalogueStream, change);
		await client[Symbol.asyncDispose]();
	}

	async #list(side: RoleRun, endpoint: string, target: string): Promise<void> {
		const {address} = await side.listening();
		this.members.set({instance: `side-${endpoint}`, role: 'side', address, zone: 'zone-a', state: 'live', endpoint, targets: [target]});
	}
}
