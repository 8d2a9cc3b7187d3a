/** Endpoints of the course streams: they leave, expire and come back, restart under their ids at another address or their own, and have fewer slots for a while. */
import {FakePath} from '../../fakes/network-path.js';
import {FakePlatformWorker, type ChooseAnswer} from '../../fakes/platform-worker.js';
import {type Random} from '../harness/random.js';
import {type Range} from './course-world.js';
import {type EndpointWork, type LeftWorker} from './planned-workers.js';
import {type SoakPlatform} from './soak-platform.js';
import {between, sleep} from './traffic.js';

/** An endpoint that leaves serves on at least so long, and then until what it has begun is over. */
const drainMilliseconds = 2000;
const longestDrainMilliseconds = 14_000;
const idleLookMilliseconds = 50;
/** From the last byte of an endpoint, or its exit if that comes at a time, until its path is cut: what it has handed to its kernel must have passed the path. */
const lastBytesMilliseconds = 500;
/** An address is not assigned again before this time. */
const reuseMilliseconds = 2000;
const allSlots = 16;
const bornStep = 1000;
const ranges = {notice: {low: 0, high: 1500}, away: {low: 300, high: 2500}, exit: {low: 0, high: 3000}, few: {low: 800, high: 4000}} as const satisfies Record<string, Range>;
const fewestSlots = {low: 2, high: 8};
/** How often, of 1: said that it leaves, removed before its next start, ends while it has requests. */
const shares = {announced: 0.5, removed: 0.4, hard: 0.2} as const;
const steps = ['drains', 'is removed', 'expires and is back', 'restarts elsewhere', 'restarts elsewhere', 'restarts at its address', 'has fewer slots'] as const;

/** One process of an endpoint. Its name tells its start, too. */
export type EndpointProcess = {readonly name: string; readonly worker: FakePlatformWorker; exitedAt: number};
/** What was told or done about an endpoint. */
export type EndpointNews = {readonly at: number; readonly id: string; readonly text: string};
type Endpoint = {readonly id: string; readonly service: string; process: EndpointProcess; path: FakePath; born: number; revision: number; slots: number; isBusy: boolean; isLeaving: boolean};
type Draws = {readonly place: number; readonly isAnnounced: boolean; readonly isRemoved: boolean; readonly isHard: boolean; readonly notice: number; readonly away: number; readonly exit: number; readonly few: number; readonly slots: number};

export class StreamEndpoints implements EndpointWork {
	/** Takes over the endpoints that the platform has, and adds others until each service has a number. */
	static async create(platform: SoakPlatform, {services, each, answer}: {readonly services: readonly string[]; readonly each: number; readonly answer: ChooseAnswer}): Promise<StreamEndpoints> {
		const endpoints = new StreamEndpoints(platform, {services, each, answer});
		for (const {worker, path} of platform.workers) {
			worker.answer = answer;
			endpoints.#enter(worker.id, worker.service, {worker, path});
		}

		for (const service of services) {
			while (endpoints.#staying(service).length < each) {
				await endpoints.#add(service);
			}
		}

		return endpoints;
	}

	readonly processes: EndpointProcess[] = [];
	readonly left: LeftWorker[] = [];
	readonly news: EndpointNews[] = [];
	readonly #platform: SoakPlatform;
	readonly #options: {readonly services: readonly string[]; readonly each: number; readonly answer: ChooseAnswer};
	readonly #endpoints: Endpoint[] = [];
	readonly #begun: Array<Promise<void>> = [];
	/** Slots that no endpoint of a service exceeds. */
	readonly #scarce = new Map<string, number>();
	#names = 0;

	private constructor(platform: SoakPlatform, options: {readonly services: readonly string[]; readonly each: number; readonly answer: ChooseAnswer}) {
		this.#platform = platform;
		this.#options = options;
	}

	/** Begins one step with one endpoint; steps of several endpoints overlap. */
	async replaceOne(random: Random): Promise<void> {
		const step = random.pick(steps);
		const service = random.pick(this.#options.services);
		const draws: Draws = {
			place: random.uniform(), isAnnounced: random.uniform() < shares.announced, isRemoved: random.uniform() < shares.removed, isHard: random.uniform() < shares.hard, notice: between(random, ranges.notice),
			away: between(random, ranges.away), exit: between(random, ranges.exit), few: between(random, ranges.few), slots: Math.round(between(random, fewestSlots)),
		};
		const free = this.#staying(service).filter(({isBusy}) => !isBusy);
		if (free.length < this.#options.each - 1) {
			await this.#add(service);
			return;
		}

		const endpoint = free[Math.floor(draws.place * free.length)]!;
		endpoint.isBusy = true;
		this.#begun.push(this.#play(step, endpoint, draws));
	}

	/** All endpoints of a service have hardly any slots for a time; those within a step say so at their next registration. */
	async makeScarce(service: string, {slots, milliseconds}: {readonly slots: number; readonly milliseconds: number}): Promise<void> {
		this.#scarce.set(service, slots);
		this.#registerFree(service);
		await sleep(milliseconds);
		this.#scarce.delete(service);
		this.#registerFree(service);
	}

	/** Resolves once all steps are over. */
	async settled(): Promise<void> {
		await Promise.all(this.#begun);
	}

	async #play(step: (typeof steps)[number], endpoint: Endpoint, draws: Draws): Promise<void> {
		this.#note(endpoint, `${step}${draws.isAnnounced ? ', announced' : ''}${draws.isRemoved ? ', removed before' : ''}${draws.isHard ? ', hard' : ''}`);
		switch (step) {
			case 'drains': {
				await this.#leave(endpoint, draws, {isAnnounced: true});
				return;
			}

			case 'is removed': {
				await this.#leave(endpoint, draws, {isAnnounced: false});
				return;
			}

			case 'expires and is back': {
				this.#remove(endpoint);
				await sleep(draws.away);
				this.#register(endpoint);
				break;
			}

			case 'restarts elsewhere': {
				await this.#restartElsewhere(endpoint, draws);
				break;
			}

			case 'restarts at its address': {
				await this.#restartAtItsAddress(endpoint, draws);
				break;
			}

			case 'has fewer slots': {
				endpoint.slots = draws.slots;
				this.#register(endpoint);
				await sleep(draws.few);
				endpoint.slots = allSlots;
				this.#register(endpoint);
			}
		}

		endpoint.isBusy = false;
	}

	async #leave(endpoint: Endpoint, draws: Draws, {isAnnounced}: {readonly isAnnounced: boolean}): Promise<void> {
		endpoint.isLeaving = true;
		this.#tellLeaving(endpoint, isAnnounced);
		await this.#add(endpoint.service);
		await this.#exit(endpoint, endpoint.process, draws);
		this.#remove(endpoint);
	}

	/** The next process begins at another address while the earlier one goes on with what it has begun. */
	async #restartElsewhere(endpoint: Endpoint, draws: Draws): Promise<void> {
		const {process: earlier, path: earlierPath} = endpoint;
		if (draws.isAnnounced) {
			this.#tellLeaving(endpoint, true);
			await sleep(draws.notice);
		}

		if (draws.isRemoved) {
			this.#remove(endpoint);
			await sleep(draws.notice);
		}

		const worker = await this.#startProcess(endpoint.id, endpoint.service);
		endpoint.path = await FakePath.create(worker.address);
		this.#begin(endpoint, worker);
		if (!draws.isAnnounced) {
			this.#noteLeft(earlier);
		}

		await this.#exit({...endpoint, path: earlierPath}, earlier, draws);
		await earlierPath[Symbol.asyncDispose]();
	}

	/** The address is assigned again once the earlier process has ended. */
	async #restartAtItsAddress(endpoint: Endpoint, draws: Draws): Promise<void> {
		const {process: earlier, path} = endpoint;
		this.#tellLeaving(endpoint, draws.isAnnounced);
		await this.#exit(endpoint, earlier, draws);
		path.faults.refusing = true;
		if (draws.isRemoved) {
			this.#remove(endpoint);
		}

		await sleep(reuseMilliseconds);
		const worker = await this.#startProcess(endpoint.id, endpoint.service);
		path.redirect(worker.address);
		path.faults.refusing = false;
		this.#begin(endpoint, worker);
	}

	/** Ends a process, once it has nothing to do or at a time. */
	async #exit({id, path}: Endpoint, process: EndpointProcess, {isHard, exit}: Draws): Promise<void> {
		const latest = performance.now() + (isHard ? 0 : longestDrainMilliseconds);
		await sleep(drainMilliseconds + exit);
		while (isAtWork(process) && performance.now() < latest) {
			await sleep(idleLookMilliseconds);
		}

		if (!isHard) {
			await sleep(lastBytesMilliseconds);
		}

		process.exitedAt = performance.now();
		this.news.push({at: process.exitedAt, id, text: `${process.name} exits`});
		await process.worker[Symbol.asyncDispose]();
		if (isHard) {
			await sleep(lastBytesMilliseconds);
		}

		path.cut();
	}

	#tellLeaving(endpoint: Endpoint, isAnnounced: boolean): void {
		if (isAnnounced) {
			this.#register(endpoint, 'draining');
		} else {
			this.#remove(endpoint);
		}

		this.#noteLeft(endpoint.process);
	}

	#noteLeft({name}: EndpointProcess): void {
		this.left.push({worker: {id: name}, acknowledgedAt: performance.now(), exitedAt: Infinity});
	}

	#staying(service: string): readonly Endpoint[] {
		return this.#endpoints.filter(one => one.service === service && !one.isLeaving);
	}

	async #add(service: string): Promise<void> {
		this.#names += 1;
		const id = `${service}-next-${this.#names}`;
		const worker = await this.#startProcess(id, service);
		this.#enter(id, service, {worker, path: await FakePath.create(worker.address)});
	}

	#enter(id: string, service: string, {worker, path}: {readonly worker: FakePlatformWorker; readonly path: FakePath}): void {
		const endpoint: Endpoint = {id, service, process: {name: '', worker, exitedAt: Infinity}, path, born: 0, revision: 0, slots: allSlots, isBusy: false, isLeaving: false};
		this.#endpoints.push(endpoint);
		this.#begin(endpoint, worker);
	}

	async #startProcess(id: string, service: string): Promise<FakePlatformWorker> {
		const worker = await FakePlatformWorker.create(id, service);
		worker.answer = this.#options.answer;
		return worker;
	}

	/** A process registers with a later start than those before it. */
	#begin(endpoint: Endpoint, worker: FakePlatformWorker): void {
		endpoint.born += bornStep;
		endpoint.process = {name: `${endpoint.id}@${endpoint.born}`, worker, exitedAt: Infinity};
		this.processes.push(endpoint.process);
		if (!this.#platform.workers.some(one => one.worker === worker)) {
			this.#platform.workers.push({worker, path: endpoint.path, build: '', revision: 0, isDraining: false, hasCrashed: false});
		}

		this.#register(endpoint);
	}

	#registerFree(service: string): void {
		for (const endpoint of this.#staying(service).filter(({isBusy}) => !isBusy)) {
			this.#register(endpoint);
		}
	}

	#register(endpoint: Endpoint, state: 'ready' | 'draining' = 'ready'): void {
		endpoint.revision += 1;
		const {id, service, process: {worker}, path, born, revision} = endpoint;
		const slots = Math.min(endpoint.slots, this.#scarce.get(service) ?? allSlots);
		this.#platform.store.put('keyed.servers', id, {...worker.beat({state, slots, seq: revision, born}), address: path.address});
		this.#note(endpoint, `${state}, born ${born}, ${slots} slots at ${path.address}`);
	}

	#remove(endpoint: Endpoint): void {
		this.#platform.store.put('keyed.servers', endpoint.id);
		this.#note(endpoint, 'entry removed');
	}

	#note({id}: Endpoint, text: string): void {
		this.news.push({at: performance.now(), id, text});
	}
}

function isAtWork({worker: {requests, finishedAt, abandonedAt}}: EndpointProcess): boolean {
	return requests.some(({id}) => !finishedAt.has(id) && !abandonedAt.has(id));
}
