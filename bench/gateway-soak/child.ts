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
/** From SIGTERM until the platform ends the process. */
export const stopSeconds = 6;
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

/** One process of a gateway, from its start on. Times are milliseconds of the monotonic clock. */
export type Life = {
	readonly startedAt: number;
	/** When SIGTERM or SIGINT was sent first. */
	stopAt: number;
	endedAt: number;
	/** Signal or exit code that it has ended with. */
	end: string | undefined;
	/** Whether the platform had to end it. */
	isKilled: boolean;
	hasWritten: boolean;
	/** Long turns of its event loop. */
	readonly longTurns: Array<{readonly from: number; readonly until: number}>;
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
	/** All processes so far; the last one is the present one. */
	readonly lives: Life[] = [];
	#settings: Readonly<Record<string, unknown>> = {};
	#process: ChildProcess | undefined;
	#isExitExpected = false;
	#isInLongTurn = false;
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
		this.#writeSettings();
		this.#isExitExpected = false;
		const life: Life = {startedAt: performance.now(), stopAt: Infinity, endedAt: Infinity, end: undefined, isKilled: false, hasWritten: false, longTurns: []};
		this.lives.push(life);
		const started = spawn(process.execPath, [...(this.options.nodeFlags ?? []), '--import', clockShift, this.options.program ?? builtProgram], {
			env: {...process.env, CASSIAFLOW_CONFIG: this.#file, CLOCK_SHIFT_MILLISECONDS: String(this.options.clockMilliseconds)}, stdio: ['ignore', 'pipe', 'pipe'],
		});
		this.#process = started;
		for (const stream of [started.stdout, started.stderr]) {
			stream.on('data', (text: Uint8Array) => {
				this.lines += String(text);
				life.hasWritten = true;
			});
		}

		started.once('exit', (code, signal) => {
			life.endedAt = performance.now();
			life.end = signal ?? `code ${code}`;
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

	/** Stops the process as the platform does: SIGTERM, and SIGKILL after the grace; resolves once it has exited. */
	async stop(): Promise<void> {
		const life = this.lives.at(-1)!;
		this.#isExitExpected = true;
		this.signal('SIGTERM');
		const timer = setTimeout(() => {
			if (life.end === undefined) {
				life.isKilled = true;
				this.#process?.kill('SIGKILL');
			}
		}, stopSeconds * 1000);
		if (life.end === undefined) {
			await once(this.#process!, 'exit');
		}

		clearTimeout(timer);
	}

	/** Sends a signal and awaits nothing. */
	signal(signal: NodeJS.Signals): void {
		const life = this.lives.at(-1)!;
		if (signal !== 'SIGHUP') {
			life.stopAt = Math.min(life.stopAt, performance.now());
		}

		this.#process?.kill(signal);
	}

	/** Changes the settings file, of which at first only a part is there while it is half written. */
	changeSettings(settings: Readonly<Record<string, unknown>>, {isHalfWritten = false}: {readonly isHalfWritten?: boolean} = {}): void {
		this.#settings = {...this.#settings, ...settings};
		this.#writeSettings({isHalfWritten});
	}

	freeze(): void {
		if (!this.#isInLongTurn) {
			this.#process?.kill('SIGSTOP');
		}
	}

	wake(): void {
		if (!this.#isInLongTurn) {
			this.#process?.kill('SIGCONT');
		}
	}

	/** Lets the process do nothing for a time, as in one long turn of its event loop; nothing else freezes or wakes it meanwhile. */
	async turnFor(milliseconds: number): Promise<void> {
		const life = this.lives.at(-1)!;
		if (life.end !== undefined || this.#isInLongTurn) {
			return;
		}

		const from = performance.now();
		this.freeze();
		this.#isInLongTurn = true;
		await new Promise(resolve => {
			setTimeout(resolve, milliseconds);
		});
		this.#isInLongTurn = false;
		this.wake();
		life.longTurns.push({from, until: performance.now()});
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

	get #file(): string {
		return `${this.options.folder}/${this.options.instance}.json`;
	}

	#writeSettings({isHalfWritten = false}: {readonly isHalfWritten?: boolean} = {}): void {
		const [callers, admin, peers, usage] = this.options.ports;
		const {retryAllowance} = this.options;
		const text = JSON.stringify({
			instance: this.options.instance, isFirstStart: this.lives.length === 0, availabilityZone: 'zone-a', callerAddress: `127.0.0.1:${callers}`, adminAddress: `127.0.0.1:${admin}`,
			peerAddress: `127.0.0.1:${peers}`, storeAddress: this.storePath.address, seedHosts: this.options.seedHosts, memoryMegabytes: 200, stopSeconds, lateLoop: {givesAway: false},
			...(retryAllowance !== undefined && {retryRatio: retryAllowance.ratio, retrySlack: retryAllowance.slack, retryWindowSeconds: retryAllowance.windowSeconds}),
			...(this.options.receiverAddress !== undefined && {duties: {...dutySettings, receiverAddress: this.options.receiverAddress, address: `127.0.0.1:${usage}`}}),
			...this.#settings,
		});
		writeFileSync(this.#file, isHalfWritten ? text.slice(0, Math.floor(text.length / 2)) : text);
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
