/**
 * Real gateways whose endpoints refuse part of the requests for twenty seconds, while the gateways are killed, restarted, frozen and cut
 * off, often several at a time. What the endpoints see must stay within the allowance of retries of all gateways together.
 */
import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {FakePath} from '../../fakes/network-path.js';
import {createRandom, type Random} from '../harness/random.js';
import {sendRequest, type ExchangeRecord} from './caller.js';
import {violations} from './checker.js';
import {GatewayChild} from './child.js';
import {fullestWindows, retryAllowance, retryViolations} from './retry-checker.js';
import {portsPerGateway, type SeedOptions, type SeedResult} from './run-seed.js';
import {SoakPlatform, validKey} from './soak-platform.js';

const trafficMilliseconds = 22_000;
const requestPauseMilliseconds = 22;
const faultCount = {low: 5, high: 14};
/** Faults begin after this time, so that the first of them meet gateways that know each other. */
const firstFaultMilliseconds = 2000;
/** Part of the requests that endpoints refuse. */
const refusedShare = {low: 0.35, high: 0.9};
const chartShare = 0.25;

/** Kinds of faults of the course. */
export const courseFaults = ['kill', 'term', 'freeze', 'peers-cut', 'peers-apart', 'store-cut', 'all-killed'] as const;
export type CourseFault = (typeof courseFaults)[number];

export type RetrySeedOptions = SeedOptions & {readonly faults: readonly CourseFault[]};

/** Runs one seed of the course with faults of these kinds; with none, the gateways are left alone. */
export async function runRetrySeed(options: RetrySeedOptions): Promise<SeedResult> {
	await using course = await RetryCourse.create(options);
	const result = await course.run();
	return result;
}

class RetryCourse implements AsyncDisposable {
	static async create({seed, gateways, firstPort, faults}: RetrySeedOptions): Promise<RetryCourse> {
		const random = createRandom(seed);
		const course = new RetryCourse({seed, random, faults, platform: await SoakPlatform.create(random)});
		for (let number = 0; number < gateways; number++) {
			await course.#addGateway(`gateway-${number}`, firstPort + (number * portsPerGateway));
		}

		return course;
	}

	readonly #seed: number;
	readonly #kinds: readonly CourseFault[];
	readonly #random: Random;
	readonly #platform: SoakPlatform;
	readonly #folder = mkdtempSync(`${tmpdir()}/cassiaflow-retries-`);
	readonly #gateways: GatewayChild[] = [];
	/** Paths over which the other gateways reach each one. */
	readonly #peerPaths: FakePath[] = [];
	readonly #records: Array<Promise<ExchangeRecord>> = [];
	readonly #faults: string[] = [];

	private constructor({seed, random, faults, platform}: {seed: number; random: Random; faults: readonly CourseFault[]; platform: SoakPlatform}) {
		this.#seed = seed;
		this.#kinds = faults;
		this.#random = random;
		this.#platform = platform;
		platform.refusedShare = this.#between(refusedShare);
	}

	async run(): Promise<SeedResult> {
		const notReady = await this.#listNotReady();
		// An instance has no share of the slack before it has run for a window; without one, the first faults would find little to forget.
		await sleep(retryAllowance.windowSeconds * 1000);
		const count = this.#kinds.length === 0 ? 0 : Math.floor(this.#between(faultCount));
		const faultTimes = Array.from({length: count}, () => this.#between({low: firstFaultMilliseconds, high: trafficMilliseconds * 0.9}));
		const faults = faultTimes.map(async at => {
			await sleep(at);
			await this.#inject(at);
		});
		await this.#sendTraffic();
		await Promise.all(faults);
		const records = await Promise.all(this.#records);
		const workers = this.#platform.workers.map(({worker}) => worker);
		const retryWindows = fullestWindows(records, workers);
		return {
			seed: this.#seed, requests: records.length, served: records.filter(({status, isWhole}) => status === 200 && isWhole).length, faults: this.#faults, retryWindows,
			violations: [...notReady, ...violations(records, workers), ...retryViolations(retryWindows)], lines: this.#gateways.map(({lines}) => lines).join(''),
		};
	}

	async [Symbol.asyncDispose](): Promise<void> {
		await Promise.all(this.#gateways.map(async gateway => gateway[Symbol.asyncDispose]()));
		await Promise.all(this.#peerPaths.map(async path => path[Symbol.asyncDispose]()));
		await this.#platform[Symbol.asyncDispose]();
		rmSync(this.#folder, {recursive: true});
	}

	async #addGateway(instance: string, port: number): Promise<void> {
		const {store} = this.#platform;
		const peerPath = await FakePath.create(`127.0.0.1:${port + 2}`);
		this.#peerPaths.push(peerPath);
		const rewriteOthers = store.rewrite;
		store.rewrite = (topic, key, value) => key === instance ? {...value as Readonly<Record<string, unknown>>, address: peerPath.address} : rewriteOthers(topic, key, value);
		this.#gateways.push(await GatewayChild.create({
			instance, folder: this.#folder, storeAddress: store.address, ports: [port, port + 1, port + 2, port + 3], seedHosts: [],
			clockMilliseconds: 0, retryAllowance,
		}));
	}

	async #listNotReady(): Promise<string[]> {
		const isReady = await Promise.all(this.#gateways.map(async gateway => gateway.ready()));
		return this.#gateways.filter((_, index) => !isReady[index]).map(({options}) => `${options.instance} was not ready at the start`);
	}

	async #sendTraffic(): Promise<void> {
		const until = performance.now() + trafficMilliseconds;
		for (let number = 0; performance.now() < until; number++) {
			const gateway = this.#gateways[number % this.#gateways.length]!;
			const kind = this.#random.uniform() < chartShare ? 'chart' : 'lookup';
			this.#records.push(sendRequest({id: `s${this.#seed}-${number}`, kind, port: gateway.callerPort, key: validKey}));
			await sleep(requestPauseMilliseconds);
		}
	}

	async #inject(at: number): Promise<void> {
		const index = Math.floor(this.#random.uniform() * this.#gateways.length);
		const kind = this.#kinds[Math.floor(this.#random.uniform() * this.#kinds.length)]!;
		const milliseconds = this.#between({low: 300, high: 5000});
		this.#faults.push(`${kind} ${index} at ${Math.round(at)} for ${Math.round(milliseconds)} ms`);
		await this.#apply(kind, {gateway: this.#gateways[index]!, peerPath: this.#peerPaths[index]!, milliseconds});
	}

	async #apply(kind: CourseFault, {gateway, peerPath, milliseconds}: {gateway: GatewayChild; peerPath: FakePath; milliseconds: number}): Promise<void> {
		switch (kind) {
			case 'kill': {
				return gateway.kill();
			}

			case 'term': {
				return gateway.restart();
			}

			case 'all-killed': {
				await Promise.all(this.#gateways.map(async one => one.kill()));
				return;
			}

			case 'freeze': {
				gateway.freeze();
				await sleep(milliseconds);
				gateway.wake();
				return;
			}

			case 'peers-cut': {
				return cutFor([peerPath], milliseconds);
			}

			case 'peers-apart': {
				return cutFor(this.#peerPaths, milliseconds);
			}

			case 'store-cut': {
				return cutFor([gateway.storePath], milliseconds);
			}
		}
	}

	#between({low, high}: {readonly low: number; readonly high: number}): number {
		return low + (this.#random.uniform() * (high - low));
	}
}

/** Breaks the connections of these paths, and refuses new ones for a time. */
async function cutFor(paths: readonly FakePath[], milliseconds: number): Promise<void> {
	for (const path of paths) {
		path.faults.refusing = true;
		path.cut();
	}

	await sleep(milliseconds);
	for (const path of paths) {
		path.heal();
	}
}

async function sleep(milliseconds: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, milliseconds);
	});
}
