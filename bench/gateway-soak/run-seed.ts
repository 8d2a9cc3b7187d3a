import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {type FakePath} from '../../fakes/network-path.js';
import {type FakePlatformWorker} from '../../fakes/platform-worker.js';
import {createRandom, type Random} from '../harness/random.js';
import {sendRequest, type ExchangeRecord, kinds} from './caller.js';
import {dutyViolations, violations} from './checker.js';
import {dutySettings, GatewayChild} from './child.js';
import {revokedKey, SoakPlatform, validKey} from './soak-platform.js';

export type SeedResult = {readonly seed: number; readonly requests: number; readonly served: number; readonly faults: readonly string[]; readonly violations: readonly string[]; readonly lines: string};

const faultKinds = [
	'gateway-kill',
	'gateway-freeze',
	'gateway-term',
	'gateway-reload',
	'store-silent',
	'store-refuses',
	'store-cut',
	'store-forgets',
	'store-loses-answers',
	'store-copy',
	'worker-cut',
	'worker-silent',
	'worker-resets',
	'worker-full',
	'worker-cuts-streams',
	'worker-leaves',
	'key-revoked',
	'receiver-silent',
	'receiver-late',
	'holder-kill',
	'holder-freeze',
	'table-published',
] as const;
type FaultKind = (typeof faultKinds)[number];

const trafficMilliseconds = 4500;
const requestPauseMilliseconds = 14;
const gatewayCount = 2;
const faultCount = {low: 2, high: 5};
/** Allowed time after the last fault: enough for the poll intervals of a routing table and for a graceful shutdown. */
const settleMilliseconds = 10_000;

/** Runs real gateways with faults drawn from a seed. */
export async function runSeed(seed: number, basePort: number): Promise<SeedResult> {
	await using world = await SoakWorld.create(seed, basePort);
	const result = await world.run();
	return result;
}

class SoakWorld implements AsyncDisposable {
	static async create(seed: number, basePort: number): Promise<SoakWorld> {
		const random = createRandom(seed);
		const world = new SoakWorld(seed, random, await SoakPlatform.create(random));
		for (let number = 0; number < gatewayCount; number++) {
			const port = basePort + (number * 4);
			world.#gateways.push(await GatewayChild.create({
				instance: `gateway-${number}`, folder: world.#folder, storeAddress: world.#platform.store.address, ports: [port, port + 1, port + 2, port + 3], receiverAddress: world.#platform.receiver.address, seedHosts: [],
				clockMilliseconds: Math.round((world.#random.uniform() - 0.5) * 7_200_000),
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
	readonly #injected: string[] = [];
	readonly #faultsDone: Array<Promise<void>> = [];

	private constructor(seed: number, random: Random, platform: SoakPlatform) {
		this.#seed = seed;
		this.#random = random;
		this.#platform = platform;
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
			this.#faultsDone.push(sleep(at).then(async () => this.#inject()));
		}

		await this.#sendTraffic();
		await Promise.all(this.#faultsDone);
		found.push(...await this.#checkRecovery());
		const records = await Promise.all(this.#records);
		const workers = this.#platform.workers.map(({worker}) => worker);
		found.push(...violations(records, workers), ...await this.#checkDuties(workers));
		for (const gateway of this.#gateways.filter(({unexpectedExits}) => unexpectedExits.length > 0)) {
			found.push(`${gateway.options.instance} ended by itself (${gateway.unexpectedExits.join(', ')})`);
		}

		return {
			seed: this.#seed, requests: records.length, served: records.filter(({status, isWhole}) => status === 200 && isWhole).length,
			faults: this.#injected, violations: found, lines: this.#gateways.map(({lines}) => lines).join(''),
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

	/** The gateway whose report the receiver took last. */
	#holder(): GatewayChild {
		const name = this.#platform.receiver.calls.at(-1)?.holder;
		return this.#gateways.find(({options}) => options.instance === name) ?? this.#gateways[0]!;
	}

	async #inject(): Promise<void> {
		const kind = faultKinds[Math.floor(this.#random.uniform() * faultKinds.length)]!;
		const milliseconds = 200 + (this.#random.uniform() * 1500);
		const gateway = this.#gateways[Math.floor(this.#random.uniform() * this.#gateways.length)]!;
		const {worker, path} = this.#platform.workers[Math.floor(this.#random.uniform() * this.#platform.workers.length)]!;
		this.#injected.push(`${kind} ${Math.round(milliseconds)} ms`);
		await this.#apply(kind, {milliseconds, gateway, worker, path});
	}

	async #apply(kind: FaultKind, {milliseconds, gateway, worker, path}: {milliseconds: number; gateway: GatewayChild; worker: FakePlatformWorker; path: FakePath}): Promise<void> {
		switch (kind) {
			case 'gateway-kill': {
				return gateway.kill();
			}

			case 'gateway-term': {
				return gateway.restart();
			}

			case 'gateway-reload': {
				gateway.reload();
				return;
			}

			case 'gateway-freeze': {
				gateway.freeze();
				await sleep(milliseconds);
				gateway.wake();
				return;
			}

			case 'store-silent':
			case 'store-refuses': {
				const {faults} = gateway.storePath;
				faults[kind === 'store-silent' ? 'silent' : 'refusing'] = true;
				gateway.storePath.cut();
				await sleep(milliseconds);
				gateway.storePath.heal();
				return;
			}

			case 'store-cut': {
				gateway.storePath.cut();
				return;
			}

			case 'store-forgets': {
				this.#platform.store.forget('keyed.op');
				this.#platform.store.forget('keyed.servers');
				return;
			}

			case 'store-loses-answers': {
				this.#platform.store.fault = () => this.#random.uniform() < 0.3 ? 'lose-answer' : undefined;
				await sleep(milliseconds);
				this.#platform.store.fault = () => undefined;
				return;
			}

			case 'store-copy': {
				return this.#platform.restoreStore(milliseconds);
			}

			case 'worker-cut': {
				path.cut();
				return;
			}

			case 'worker-silent': {
				path.faults.silent = true;
				await sleep(milliseconds);
				path.heal();
				return;
			}

			case 'worker-resets':
			case 'worker-full':
			case 'worker-cuts-streams': {
				this.#platform.answerMode = kind === 'worker-resets' ? 'reset' : (kind === 'worker-full' ? 'not-run' : 'cut');
				await sleep(milliseconds);
				this.#platform.answerMode = 'whole';
				return;
			}

			case 'worker-leaves': {
				this.#platform.drainWorker(worker.id);
				await this.#platform.addWorker(`${worker.id}-next`, worker.service);
				return;
			}

			case 'receiver-silent':
			case 'receiver-late': {
				this.#platform.receiver.fault = () => kind === 'receiver-silent' ? 'silent' : 'execute-late';
				await sleep(milliseconds);
				this.#platform.receiver.fault = () => undefined;
				return;
			}

			case 'holder-kill': {
				return this.#holder().kill();
			}

			case 'holder-freeze': {
				const holder = this.#holder();
				holder.freeze();
				await sleep(milliseconds);
				holder.wake();
				return;
			}

			case 'key-revoked':
			case 'table-published': {
				this.#platform.isRevoked ||= kind === 'key-revoked';
				this.#platform.publish();
			}
		}
	}
}

async function sleep(milliseconds: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, milliseconds);
	});
}
