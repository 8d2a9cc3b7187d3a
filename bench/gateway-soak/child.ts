import {type ChildProcess, spawn} from 'node:child_process';
import {once} from 'node:events';
import {writeFileSync} from 'node:fs';
import {request} from 'node:http';
import process from 'node:process';
import {FakePath} from '../../fakes/network-path.js';

/** The bundled program, as deployed. */
const builtProgram = new URL('../../../target/cassiaflow-gateway.mjs', import.meta.url).pathname;
const clockShift = new URL('shift-clock.js', import.meta.url).href;
const readyMilliseconds = 15_000;
/** Short windows and leases, so that a few seconds see several windows and holders. */
export const dutySettings = {leaseMilliseconds: 700, checksFences: true, usageWindowSeconds: 1, usageLateSeconds: 3};

export type ChildOptions = {
	readonly instance: string;
	readonly folder: string;
	readonly storeAddress: string;
	/** Caller, admin and peer port, and the port for usage. */
	readonly ports: readonly [number, number, number, number];
	/** Address of the receiver of usage reports; without it the gateway has no duties. */
	readonly receiverAddress?: string;
	readonly seedHosts: readonly string[];
	/** Offset of the process's wall clock, in milliseconds. */
	readonly clockMilliseconds: number;
	/** Retries that all gateways together may make; without it the default applies. */
	readonly retryAllowance?: {readonly ratio: number; readonly slack: number; readonly windowSeconds: number};
	/** The bundled program of another version, to run in place of this one. */
	readonly program?: string | undefined;
	/** Additional flags for Node. */
	readonly nodeFlags?: readonly string[];
};

/** One gateway as a real process that reaches the store over a network path with fault injection. */
export class GatewayChild implements AsyncDisposable {
	static async create(options: ChildOptions): Promise<GatewayChild> {
		const child = new GatewayChild(options, await FakePath.create(options.storeAddress));
		await child.start();
		return child;
	}

	readonly storePath: FakePath;
	readonly options: ChildOptions;
	/** Signals or exit codes of unexpected exits. */
	readonly unexpectedExits: string[] = [];
	lines = '';
	#process: ChildProcess | undefined;
	#isExitExpected = false;
	#lastReplacement: Promise<void> = Promise.resolve();

	private constructor(options: ChildOptions, storePath: FakePath) {
		this.options = options;
		this.storePath = storePath;
	}

	get pid(): number {
		return this.#process!.pid!;
	}

	get callerPort(): number {
		return this.options.ports[0];
	}

	async start(): Promise<void> {
		const [callers, admin, peers, usage] = this.options.ports;
		const {retryAllowance} = this.options;
		const file = `${this.options.folder}/${this.options.instance}.json`;
		writeFileSync(file, JSON.stringify({
			instance: this.options.instance, isFirstStart: this.#process === undefined, availabilityZone: 'zone-a', callerAddress: `127.0.0.1:${callers}`, adminAddress: `127.0.0.1:${admin}`,
			peerAddress: `127.0.0.1:${peers}`, storeAddress: this.storePath.address, seedHosts: this.options.seedHosts, memoryMegabytes: 200, stopSeconds: 6, lateLoop: {givesAway: false},
			...(retryAllowance !== undefined && {retryRatio: retryAllowance.ratio, retrySlack: retryAllowance.slack, retryWindowSeconds: retryAllowance.windowSeconds}),
			...(this.options.receiverAddress !== undefined && {duties: {...dutySettings, receiverAddress: this.options.receiverAddress, address: `127.0.0.1:${usage}`}}),
		}));
		this.#isExitExpected = false;
		const started = spawn(process.execPath, [...(this.options.nodeFlags ?? []), '--import', clockShift, this.options.program ?? builtProgram], {
			env: {...process.env, CASSIAFLOW_CONFIG: file, CLOCK_SHIFT_MILLISECONDS: String(this.options.clockMilliseconds)}, stdio: ['ignore', 'pipe', 'pipe'],
		});
		this.#process = started;
		for (const stream of [started.stdout, started.stderr]) {
			stream.on('data', (text: Uint8Array) => {
				this.lines += String(text);
			});
		}

		started.once('exit', (code, signal) => {
			if (!this.#isExitExpected) {
				this.unexpectedExits.push(signal ?? `code ${code}`);
			}
		});
	}

	async kill(): Promise<void> {
		await this.#replace('SIGKILL');
	}

	/** Shuts down gracefully and starts again. */
	async restart(): Promise<void> {
		await this.#replace('SIGTERM');
	}

	freeze(): void {
		this.#process?.kill('SIGSTOP');
	}

	wake(): void {
		this.#process?.kill('SIGCONT');
	}

	reload(): void {
		this.#process?.kill('SIGHUP');
	}

	/** Whether it is ready now. */
	async isReady(): Promise<boolean> {
		return this.#isReady();
	}

	async ready(): Promise<boolean> {
		const until = performance.now() + readyMilliseconds;
		while (performance.now() < until) {
			if (await this.#isReady()) {
				return true;
			}

			await new Promise(resolve => {
				setTimeout(resolve, 50);
			});
		}

		return false;
	}

	/** Ends the process by a signal, and resolves once it has exited. */
	async end(signal: NodeJS.Signals): Promise<void> {
		this.#isExitExpected = true;
		const ending = this.#process;
		if (ending?.exitCode !== null || ending.signalCode !== null) {
			return;
		}

		ending.kill(signal);
		await once(ending, 'exit');
	}

	async [Symbol.asyncDispose](): Promise<void> {
		this.wake();
		await this.end('SIGKILL');
		await this.storePath[Symbol.asyncDispose]();
	}

	/** Ends and restarts the process; concurrent calls run one after the other. */
	async #replace(signal: NodeJS.Signals): Promise<void> {
		const before = this.#lastReplacement;
		this.#lastReplacement = (async () => {
			await before;
			await this.end(signal);
			await this.start();
		})();
		await this.#lastReplacement;
	}

	#isReady(): Promise<boolean> {
		return new Promise(resolve => {
			const probe = request({host: '127.0.0.1', port: this.options.ports[1], path: '/v1/ready', timeout: 500}, response => {
				response.resume();
				resolve(response.statusCode === 200);
			});
			probe.on('error', () => {
				resolve(false);
			});
			probe.on('timeout', () => {
				probe.destroy();
			});
			probe.end();
		});
	}
}
