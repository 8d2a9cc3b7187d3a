/** Workers that leave, are released or replaced, at the same address or another; the course planned draws them one after the other. */
import {type FakePlatformWorker} from '../../fakes/platform-worker.js';
import {type Random} from '../harness/random.js';
import {type Range} from './course-world.js';
import {movedServices} from './planned-versions.js';
import {type SoakPlatform, type SoakWorker} from './soak-platform.js';
import {sleep} from './traffic.js';

/** How long a worker that leaves serves on at least, and by how much longer at most. */
const drainMilliseconds = 2000;
const exitMilliseconds: Range = {low: 0, high: 1500};
/** An address is not assigned again before this time. */
const reuseMilliseconds = 2000;
const workersEach = 3;
/** How often, of 1. */
const shares = {announced: 0.6, sameAddress: 0.5, otherService: 0.3} as const;

/** A worker that has left: when the store had accepted so, and when its process ended. */
export type LeftWorker = {readonly worker: Pick<FakePlatformWorker, 'id'>; readonly acknowledgedAt: number; exitedAt: number};
/** A worker that exits after a time, and the service of the next one, at its address or another. */
type Leaving = {readonly left: LeftWorker; readonly worker: SoakWorker; readonly exitAfter: number; readonly isSameAddress: boolean; readonly nextService: string};

/** What endpoints do in a course: one step of a series, and the end of what it has begun. */
export type EndpointWork = {
	readonly left: readonly LeftWorker[];
	replaceOne(random: Random): Promise<void>;
	settled(): Promise<void>;
};

export class PlannedWorkers implements EndpointWork {
	static create(platform: SoakPlatform, note: (text: string) => void): PlannedWorkers {
		return new PlannedWorkers(platform, note);
	}

	readonly left: LeftWorker[] = [];
	readonly #platform: SoakPlatform;
	readonly #note: (text: string) => void;
	readonly #exits: Array<Promise<void>> = [];
	#names = 0;

	private constructor(platform: SoakPlatform, note: (text: string) => void) {
		this.#platform = platform;
		this.#note = note;
	}

	/** Lets a worker leave, announced or not, and brings another one, which may get its address and may serve something else. */
	async replaceOne(random: Random): Promise<void> {
		const service = random.pick([...movedServices, 'models']);
		const isAnnounced = random.uniform() < shares.announced;
		const isSameAddress = random.uniform() < shares.sameAddress;
		const otherService = random.pick([...movedServices, 'models']);
		const nextService = random.uniform() < shares.otherService && isSameAddress ? otherService : service;
		const exitAfter = drainMilliseconds + exitMilliseconds.low + (random.uniform() * (exitMilliseconds.high - exitMilliseconds.low));
		const staying = this.#platform.workers.filter(one => one.worker.service === service && !this.left.some(({worker}) => worker === one.worker));
		if (staying.length < workersEach) {
			await this.#add(service);
			return;
		}

		const worker = staying[0]!;
		const {id} = worker.worker;
		this.#note(`${id} ${isAnnounced ? 'drains' : 'is released'}, next ${nextService} at ${isSameAddress ? 'its' : 'another'} address`);
		if (isAnnounced) {
			this.#platform.drainWorker(id);
		} else {
			this.#platform.store.put('keyed.servers', id);
		}

		const left: LeftWorker = {worker: worker.worker, acknowledgedAt: performance.now(), exitedAt: Infinity};
		this.left.push(left);
		this.#exits.push(this.#exit({left, worker, exitAfter, isSameAddress, nextService}));
	}

	/** Resolves once all that leave have ended. */
	async settled(): Promise<void> {
		await Promise.all(this.#exits);
	}

	async #exit({left, worker: {worker, path}, exitAfter, isSameAddress, nextService}: Leaving): Promise<void> {
		if (!isSameAddress) {
			await this.#add(nextService);
		}

		await sleep(exitAfter);
		left.exitedAt = performance.now();
		path.faults.refusing = true;
		path.cut();
		this.#platform.store.put('keyed.servers', worker.id);
		if (isSameAddress) {
			await sleep(reuseMilliseconds);
			await this.#add(nextService, path);
		}
	}

	/** Adds a worker, at the address of a former one if its path is given. */
	async #add(service: string, formerPath?: SoakWorker['path']): Promise<void> {
		this.#names += 1;
		await this.#platform.addWorker(`${service}-next-${this.#names}`, service, undefined, formerPath);
	}
}
