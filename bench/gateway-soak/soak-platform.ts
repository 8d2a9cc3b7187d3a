import {FakeDutyReceiver} from '../../fakes/duty-receiver.js';
import {FakePath} from '../../fakes/network-path.js';
import {desiredState} from '../../fakes/platform-state.js';
import {FakePlatformStore} from '../../fakes/platform-store.js';
import {FakePlatformWorker, type WorkerAnswer, type WorkerRequest} from '../../fakes/platform-worker.js';
import {type Random} from '../harness/random.js';
import {eventCount} from './caller.js';

/** Upper bound on the time after a restore until the lost records are written again. */
const rewriteMilliseconds = 2000;
const workersEach = 3;
/** The version of the software of all workers until a release. */
export const firstBuild = 'v1';
/** A crashed worker is back after this time. */
const restartMilliseconds = 700;
/** The store removes a worker after this time without a heartbeat. */
const lapseMilliseconds = 3600;
export const validKey = 'key-a';
export const revokedKey = 'key-b';

export type CrashAnswer = Extract<WorkerAnswer, {type: 'crash'}>;
export type SoakWorker = {readonly worker: FakePlatformWorker; readonly path: FakePath; readonly build: string; revision: number; isDraining: boolean; hasCrashed: boolean};

function crashesNever(): undefined {
	return undefined;
}

/** What stands around the gateways: the store, the receiver of reports, and workers behind network paths with fault injection. */
export class SoakPlatform implements AsyncDisposable {
	static async create(random: Random): Promise<SoakPlatform> {
		const platform = new SoakPlatform(random, await FakePlatformStore.create(), await FakeDutyReceiver.create());
		for (const service of ['orders', 'models']) {
			for (let number = 0; number < workersEach; number++) {
				await platform.addWorker(`${service}-${number}`, service);
			}
		}

		platform.publish();
		return platform;
	}

	readonly store: FakePlatformStore;
	readonly receiver: FakeDutyReceiver;
	readonly workers: SoakWorker[] = [];
	/** The fault of about a third of the workers' responses. */
	answerMode: WorkerAnswer['type'] | 'cut' = 'whole';
	/** Part of the requests that workers refuse while no other fault is set. */
	refusedShare = 0;
	/** How a request crashes the worker that runs it, if it does. */
	crashOn: (request: WorkerRequest) => CrashAnswer | undefined = crashesNever;
	/** A response that a course gives in place of that of the current fault, if it does. */
	answerBy: (request: WorkerRequest) => WorkerAnswer | undefined = crashesNever;
	isRevoked = false;
	/** Timeout of all routes; without it, that of the stand-in's desired state. */
	routeTimeoutMilliseconds: number | undefined;
	/** Limit of the bodies of requests; without it, that of the stand-in's desired state. */
	maxBodyBytes: number | undefined;
	/** A further key of the second workspace, if it has one. */
	#seriesKey: string | undefined;
	readonly #random: Random;
	#version = 0;
	#isDisposed = false;

	private constructor(random: Random, store: FakePlatformStore, receiver: FakeDutyReceiver) {
		this.#random = random;
		this.store = store;
		this.receiver = receiver;
	}

	/** Adds a worker, at the address of a former one if its path is given. */
	async addWorker(id: string, service: string, build = firstBuild, formerPath?: FakePath): Promise<void> {
		const worker = await FakePlatformWorker.create(id, service);
		const path = formerPath ?? await FakePath.create(worker.address);
		path.redirect(worker.address);
		path.faults.refusing = false;
		const added = {worker, path, build, revision: 0, isDraining: false, hasCrashed: false};
		worker.onCrash = ({isSilent}) => {
			added.hasCrashed = true;
			path.faults.silent = isSilent;
			setTimeout(() => {
				this.store.put('keyed.servers', id);
			}, isSilent ? lapseMilliseconds : 0).unref();
			setTimeout(() => {
				void this.#restartWorker(id, service, build);
			}, restartMilliseconds).unref();
		};

		worker.answer = request => this.answerBy(request) ?? this.crashOn(request) ?? (worker.statements['Retry-After'] === undefined ? this.#answer(request) : {type: 'not-run'});
		this.workers.push(added);
		this.#register(added);
	}

	/** Lets a worker state something about itself in all its responses; one that asks for rest refuses all requests meanwhile. */
	state(worker: FakePlatformWorker, statements: Readonly<Record<string, string>>): void {
		worker.statements = statements;
	}

	drainWorker(id: string): void {
		const drained = this.workers.find(({worker}) => worker.id === id)!;
		drained.isDraining = true;
		this.#register(drained);
	}

	/** Restores the store from a backup; the operator and the workers then write again what was lost. */
	async restoreStore(milliseconds: number): Promise<void> {
		const backup = this.store.copy();
		await sleep(milliseconds);
		this.store.comeBackFrom(backup);
		await sleep(this.#random.uniform() * rewriteMilliseconds);
		this.#publishAgain();
		for (const worker of this.workers) {
			this.#register(worker);
		}
	}

	publish(): void {
		this.#version += 1;
		this.#publishAgain();
	}

	/** Publishes a table in which the second workspace has this key in place of the one that was published so before. */
	publishKey(key: string): void {
		this.#seriesKey = key;
		this.publish();
	}

	async [Symbol.asyncDispose](): Promise<void> {
		this.#isDisposed = true;
		await Promise.all(this.workers.flatMap(({worker, path}) => [worker[Symbol.asyncDispose](), path[Symbol.asyncDispose]()]));
		await this.store[Symbol.asyncDispose]();
		await this.receiver[Symbol.asyncDispose]();
	}

	/** A crashed worker comes back under another id. */
	async #restartWorker(id: string, service: string, build: string): Promise<void> {
		if (!this.#isDisposed) {
			await this.addWorker(`${id}'`, service, build);
		}
	}

	/** Writes a worker's heartbeat with the next revision. */
	#register(registered: SoakWorker): void {
		const {worker, path, build, isDraining} = registered;
		registered.revision += 1;
		this.store.put('keyed.servers', worker.id, {...worker.beat({version: build, state: isDraining ? 'draining' : 'ready', seq: registered.revision}), address: path.address});
	}

	/** Chooses a worker's response; about one in three gets the current fault. */
	#answer(request: WorkerRequest): WorkerAnswer {
		const mode = this.#random.uniform() < 0.34 ? this.answerMode : 'whole';
		if (this.refusedShare > 0 && this.#random.uniform() < this.refusedShare) {
			return {type: 'not-run'};
		}

		if (mode === 'reset' || mode === 'not-run') {
			return {type: mode};
		}

		return request.path.startsWith('/chart') || request.path.startsWith('/question')
			? {type: 'events', count: eventCount, gapMilliseconds: 10, ...(mode === 'cut' && {cutAfter: 3})}
			: {type: 'whole', body: `answer to ${request.id}`, afterMilliseconds: 5};
	}

	#publishAgain(): void {
		const tenants = [{name: 'studio-a', apiKeys: [validKey]}, {name: 'studio-b', apiKeys: [...(this.isRevoked ? [] : [revokedKey]), ...(this.#seriesKey === undefined ? [] : [this.#seriesKey])]}];
		const state = desiredState(this.#version, {tenants});
		const routes = (state.routes as ReadonlyArray<Readonly<Record<string, unknown>>>).map(route => this.routeTimeoutMilliseconds === undefined ? route : {...route, timeoutMs: this.routeTimeoutMilliseconds});
		const limits = {...state.limits as Readonly<Record<string, unknown>>, ...(this.maxBodyBytes !== undefined && {maxBodyBytes: this.maxBodyBytes})};
		this.store.put('keyed.op', 'config', {...state, routes, limits});
	}
}

async function sleep(milliseconds: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, milliseconds);
	});
}
