import {type ChildProcess, spawn} from 'node:child_process';
import {writeFileSync} from 'node:fs';
import process from 'node:process';
import {desiredState} from '../../fakes/platform-state.js';
import {FakePlatformStore} from '../../fakes/platform-store.js';
import {FakePlatformWorker} from '../../fakes/platform-worker.js';
import {freePort} from '../gateway/testbed.js';

const program = new URL('../../platform/cassiaflow-gateway.js', import.meta.url).pathname;
const readyMilliseconds = 15_000;

/** A store with one worker, for one gateway. */
export class GatewayPlatform implements AsyncDisposable {
	static async create(): Promise<GatewayPlatform> {
		const platform = new GatewayPlatform(await FakePlatformStore.create(), await FakePlatformWorker.create('worker', 'orders'));
		platform.store.put('keyed.servers', platform.worker.id, platform.worker.beat());
		platform.store.put('keyed.op', 'config', desiredState(1));
		return platform;
	}

	readonly store: FakePlatformStore;
	readonly worker: FakePlatformWorker;

	private constructor(store: FakePlatformStore, worker: FakePlatformWorker) {
		this.store = store;
		this.worker = worker;
	}

	/** Settings of a gateway with free ports. */
	async settings(): Promise<{text: string; callerPort: number; adminPort: number}> {
		const [callerPort, adminPort, peerPort] = [await freePort(), await freePort(), await freePort()];
		const text = JSON.stringify({
			instance: 'gateway', isFirstStart: true, availabilityZone: 'zone-a', callerAddress: `127.0.0.1:${callerPort}`, adminAddress: `127.0.0.1:${adminPort}`,
			peerAddress: `127.0.0.1:${peerPort}`, storeAddress: this.store.address, memoryMegabytes: 200, stopSeconds: 6,
		});
		return {text, callerPort, adminPort};
	}

	async [Symbol.asyncDispose](): Promise<void> {
		await this.worker[Symbol.asyncDispose]();
		await this.store[Symbol.asyncDispose]();
	}
}

/** A gateway as a process. */
export class GatewayRun implements AsyncDisposable {
	/** Starts it with the settings in a file. */
	static start(file: string, adminPort: number): GatewayRun {
		return new GatewayRun(spawn(process.execPath, [program], {env: {PATH: process.env.PATH, CASSIAFLOW_CONFIG: file}, stdio: ['ignore', 'pipe', 'pipe']}), adminPort);
	}

	/** Writes the settings to a file and starts it. */
	static async startOn(platform: GatewayPlatform, folder: string): Promise<GatewayRun & {callerPort: number}> {
		const {text, callerPort, adminPort} = await platform.settings();
		const file = `${folder}/gateway-${callerPort}.json`;
		writeFileSync(file, text);
		return Object.assign(GatewayRun.start(file, adminPort), {callerPort});
	}

	readonly child: ChildProcess;
	lines = '';
	/** The signal or exit code that it ended by. */
	endedBy: string | undefined;
	readonly #adminPort: number;

	private constructor(child: ChildProcess, adminPort: number) {
		this.child = child;
		this.#adminPort = adminPort;
		for (const stream of [child.stdout!, child.stderr!]) {
			stream.on('data', (text: Uint8Array) => {
				this.lines += String(text);
			});
		}

		child.once('close', (code, signal) => {
			this.endedBy = signal ?? `code ${code}`;
		});
	}

	async isReady(): Promise<boolean> {
		const until = performance.now() + readyMilliseconds;
		while (performance.now() < until && this.endedBy === undefined) {
			const response = await fetch(`http://127.0.0.1:${this.#adminPort}/v1/ready`).catch(() => undefined);
			if (response?.status === 200) {
				return true;
			}

			await sleep(50);
		}

		return false;
	}

	async [Symbol.asyncDispose](): Promise<void> {
		this.child.kill('SIGKILL');
	}
}

export async function sleep(milliseconds: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, milliseconds);
	});
}
