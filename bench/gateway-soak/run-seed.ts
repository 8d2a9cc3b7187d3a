import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {type FakePlatformWorker} from '../../fakes/platform-worker.js';
import {createRandom, type Random} from '../harness/random.js';
import {type ArrivalCounts} from './arrival-checker.js';
import {sendRequest, type ExchangeRecord, kinds} from './caller.js';
import {dutyViolations, violations} from './checker.js';
import {dutySettings, GatewayChild} from './child.js';
import {type RetryWindow} from './retry-checker.js';
import {revokedKey, SoakPlatform, validKey} from './soak-platform.js';
import {FaultInjector} from './faults.js';
import {statementViolations} from './statement-checker.js';

export type SeedResult = {
	readonly seed: number;
	readonly requests: number;
	readonly served: number;
	readonly faults: readonly string[];
	/** What is printed whether a rule was violated or not. */
	readonly summary?: string;
	readonly violations: readonly string[];
	/** Log lines of all gateways. */
	readonly lines: string;
	/** Of each service, the window that came closest to the allowance of retries, where these are counted. */
	readonly retryWindows?: readonly RetryWindow[];
	/** What arrived late, where this is counted. */
	readonly arrivals?: ArrivalCounts;
};

const trafficMilliseconds = 4500;
const requestPauseMilliseconds = 14;
const statementMilliseconds = 400;
const faultCount = {low: 2, high: 5};
/** Allowed time after the last fault: enough for the poll intervals of a routing table and for a graceful shutdown. */
const settleMilliseconds = 10_000;

/** Ports that one gateway listens on. */
export const portsPerGateway = 4;

/** Which faults are drawn, and how many gateways run, on ports from the first one on. */
export type SeedOptions = {readonly seed: number; readonly gateways: number; readonly firstPort: number; readonly program?: string};

/** Runs real gateways with faults drawn from a seed. */
export async function runSeed(options: SeedOptions): Promise<SeedResult> {
	await using world = await SoakWorld.create(options);
	const result = await world.run();
	return result;
}

class SoakWorld implements AsyncDisposable {
	static async create({seed, gateways, firstPort, program}: SeedOptions): Promise<SoakWorld> {
		const random = createRandom(seed);
		const world = new SoakWorld(seed, random, await SoakPlatform.create(random));
		for (let number = 0; number < gateways; number++) {
			const port = firstPort + (number * portsPerGateway);
			world.#gateways.push(await GatewayChild.create({
				instance: `gateway-${number}`, folder: world.#folder, storeAddress: world.#platform.store.address, ports: [port, port + 1, port + 2, port + 3], receiverAddress: world.#platform.receiver.address, seedHosts: [],
				clockMilliseconds: Math.round((world.#random.uniform() - 0.5) * 7_200_000), program,
			}));
		}

		return world;
	}

	readonly #seed: number;
	readonly #platform: SoakPlatform;
	readonly #random: Random;
	readonly #folder = mkdtempSync(`${tmpdir()}/cassiaflow-soak-`);
	readonly #gateways: GatewayChild[] = [];
	readonly #records: Array<Promise<ExchangeRecord>> = [];
	readonly #faults: FaultInjector;
	readonly #faultsDone: Array<Promise<void>> = [];

	private constructor(seed: number, random: Random, platform: SoakPlatform) {
		this.#seed = seed;
		this.#random = random;
		this.#platform = platform;
		this.#faults = FaultInjector.create({random, platform, gateways: this.#gateways});
	}

	async run(): Promise<SeedResult> {
		const found: string[] = [];
		for (const gateway of this.#gateways) {
			if (!await gateway.ready()) {
				found.push(`${gateway.options.instance} was not ready at the start`);
			}
		}

		const count = faultCount.low + Math.floor(this.#random.uniform() * (faultCount.high - faultCount.low + 1));
		const faultsAt = Array.from({length: count}, () => this.#random.uniform() * trafficMilliseconds * 0.8);
		for (const at of faultsAt) {
			this.#faultsDone.push(sleep(at).then(async () => this.#faults.inject()));
		}

		// Early, since a statement is judged over seconds.
		this.#faultsDone.push(sleep(this.#random.uniform() * statementMilliseconds).then(async () => this.#faults.injectStatement()));
		await this.#sendTraffic();
		await Promise.all(this.#faultsDone);
		found.push(...await this.#checkRecovery());
		const records = await Promise.all(this.#records);
		const workers = this.#platform.workers.map(({worker}) => worker);
		found.push(...violations(records, workers), ...statementViolations({workers, gatewayOf: ({id}) => this.#gatewayOf(id), disturbances: this.#faults.disturbances}), ...await this.#checkDuties(workers));
		for (const gateway of this.#gateways.filter(({unexpectedExits}) => unexpectedExits.length > 0)) {
			found.push(`${gateway.options.instance} ended by itself (${gateway.unexpectedExits.join(', ')})`);
		}

		return {
			seed: this.#seed, requests: records.length, served: records.filter(({status, isWhole}) => status === 200 && isWhole).length,
			faults: this.#faults.injected, violations: found, lines: this.#gateways.map(({lines}) => lines).join(''),
		};
	}

	async [Symbol.asyncDispose](): Promise<void> {
		await Promise.all(this.#gateways.map(async gateway => gateway[Symbol.asyncDispose]()));
		await this.#platform[Symbol.asyncDispose]();
		rmSync(this.#folder, {recursive: true});
	}

	async #sendTraffic(): Promise<void> {
		const until = performance.now() + trafficMilliseconds;
		for (let number = 0; performance.now() < until; number++) {
			const gateway = this.#gateways[number % this.#gateways.length]!;
			const key = number % 5 === 0 && !this.#platform.isRevoked ? revokedKey : validKey;
			this.#records.push(sendRequest({id: `s${this.#seed}-${number}`, kind: kinds[Math.floor(this.#random.uniform() * kinds.length)]!, port: gateway.callerPort, key}));
			await sleep(requestPauseMilliseconds);
		}
	}

	/** Number of the gateway that a request was sent to, by its id. */
	#gatewayOf(id: string): number {
		const afterFaults = this.#gateways.findIndex(({options}) => id.includes(options.instance));
		return afterFaults === -1 ? Number(id.split('-')[1]) % this.#gateways.length : afterFaults;
	}

	/** Checks that after all faults every gateway serves again with the newest routing table and rejects the revoked key. */
	async #checkRecovery(): Promise<string[]> {
		const found: string[] = [];
		for (const gateway of this.#gateways) {
			const until = performance.now() + settleMilliseconds;
			let consecutiveGood = 0;
			let last = 0;
			for (let number = 0; consecutiveGood < 10 && performance.now() < until; number++) {
				const {status} = await sendRequest({id: `s${this.#seed}-after-${gateway.options.instance}-${number}`, kind: 'lookup', port: gateway.callerPort, key: validKey});
				const revoked = await sendRequest({id: `s${this.#seed}-revoked-${gateway.options.instance}-${number}`, kind: 'lookup', port: gateway.callerPort, key: revokedKey});
				consecutiveGood = status === 200 && (revoked.status === 401) === this.#platform.isRevoked ? consecutiveGood + 1 : 0;
				last = status;
				await sleep(consecutiveGood > 0 ? 0 : 100);
			}

			if (consecutiveGood < 10) {
				found.push(`${gateway.options.instance} did not recover, last status ${last}`);
			}
		}

		return found;
	}

	/** Checks the reports of usage, and that there still are some after all faults. */
	async #checkDuties(workers: readonly FakePlatformWorker[]): Promise<string[]> {
		const before = this.#platform.receiver.calls.length;
		const until = performance.now() + settleMilliseconds;
		while (this.#platform.receiver.calls.length === before && performance.now() < until) {
			await sleep(100);
		}

		const found = dutyViolations(this.#platform.receiver.calls, workers, dutySettings.leaseMilliseconds);
		return this.#platform.receiver.calls.length === before ? [...found, 'usage is not reported any more'] : found;
	}
}

async function sleep(milliseconds: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, milliseconds);
	});
}
