import {type FakePath} from '../../fakes/network-path.js';
import {type FakePlatformWorker} from '../../fakes/platform-worker.js';
import {type Random} from '../harness/random.js';
import {type GatewayChild} from './child.js';
import {type SoakPlatform, type SoakWorker} from './soak-platform.js';
import {type Disturbance} from './statement-checker.js';

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
	'worker-states-limit',
	'worker-states-leaving',
	'worker-states-rest',
	'key-revoked',
	'receiver-silent',
	'receiver-late',
	'holder-kill',
	'holder-freeze',
	'table-published',
] as const;
type FaultKind = (typeof faultKinds)[number];
const statementKinds: readonly FaultKind[] = ['worker-states-limit', 'worker-states-leaving', 'worker-states-rest'];

/** A gateway that starts again, or wakes, has read what came meanwhile after this time. */
const restartedMilliseconds = 500;
const statedRestSeconds = 2;
const statedLimit = 2;

export type FaultInjectorOptions = {readonly random: Random; readonly platform: SoakPlatform; readonly gateways: readonly GatewayChild[]};

/** Injects faults into gateways and what stands around them, and records them. */
export class FaultInjector {
	static create(options: FaultInjectorOptions): FaultInjector {
		return new FaultInjector(options);
	}

	readonly injected: string[] = [];
	readonly disturbances: Disturbance[] = [];
	readonly #options: FaultInjectorOptions;

	private constructor(options: FaultInjectorOptions) {
		this.#options = options;
	}

	/** Injects one fault that is drawn at random; resolves once it is over, or once it has begun if it lasts. */
	async inject(): Promise<void> {
		const {random, platform} = this.#options;
		await this.#draw(faultKinds, platform.workers[Math.floor(random.uniform() * platform.workers.length)]!);
	}

	/** Injects a statement of the worker that has got the most requests, so that many follow. */
	async injectStatement(): Promise<void> {
		const [busiest] = this.#options.platform.workers.toSorted((left, right) => right.worker.requests.length - left.worker.requests.length);
		await this.#draw(statementKinds, busiest!);
	}

	async #draw(candidates: readonly FaultKind[], {worker, path}: SoakWorker): Promise<void> {
		const {random, gateways} = this.#options;
		const kind = candidates[Math.floor(random.uniform() * candidates.length)]!;
		const milliseconds = 200 + (random.uniform() * 1500);
		const gateway = gateways[Math.floor(random.uniform() * gateways.length)]!;
		this.injected.push(`${kind} ${Math.round(milliseconds)} ms`);
		await this.#apply(kind, {milliseconds, gateway, worker, path});
	}

	async #apply(kind: FaultKind, {milliseconds, gateway, worker, path}: {milliseconds: number; gateway: GatewayChild; worker: FakePlatformWorker; path: FakePath}): Promise<void> {
		switch (kind) {
			case 'gateway-kill': {
				return this.#disturb(gateway, async () => gateway.kill());
			}

			case 'gateway-term': {
				return this.#disturb(gateway, async () => gateway.restart());
			}

			case 'gateway-reload': {
				gateway.reload();
				return;
			}

			case 'gateway-freeze': {
				return this.#freeze(gateway, milliseconds);
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
				this.#options.platform.store.forget('keyed.op');
				this.#options.platform.store.forget('keyed.servers');
				return;
			}

			case 'store-loses-answers': {
				this.#options.platform.store.fault = () => this.#options.random.uniform() < 0.3 ? 'lose-answer' : undefined;
				await sleep(milliseconds);
				this.#options.platform.store.fault = () => undefined;
				return;
			}

			case 'store-copy': {
				return this.#options.platform.restoreStore(milliseconds);
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
				this.#options.platform.answerMode = kind === 'worker-resets' ? 'reset' : (kind === 'worker-full' ? 'not-run' : 'cut');
				await sleep(milliseconds);
				this.#options.platform.answerMode = 'whole';
				return;
			}

			case 'worker-leaves': {
				this.#options.platform.drainWorker(worker.id);
				await this.#options.platform.addWorker(`${worker.id}-next`, worker.service);
				return;
			}

			case 'worker-states-limit': {
				this.#options.platform.state(worker, {'Server-Limit': String(statedLimit)});
				return;
			}

			case 'worker-states-leaving': {
				this.#options.platform.state(worker, {'Server-Leaving': '1'});
				await this.#options.platform.addWorker(`${worker.id}-after`, worker.service);
				return;
			}

			case 'worker-states-rest': {
				this.#options.platform.state(worker, {'Retry-After': String(statedRestSeconds)});
				await sleep(milliseconds);
				this.#options.platform.state(worker, {});
				return;
			}

			case 'receiver-silent':
			case 'receiver-late': {
				this.#options.platform.receiver.fault = () => kind === 'receiver-silent' ? 'silent' : 'execute-late';
				await sleep(milliseconds);
				this.#options.platform.receiver.fault = () => undefined;
				return;
			}

			case 'holder-kill': {
				const holder = this.#holder();
				return this.#disturb(holder, async () => holder.kill());
			}

			case 'holder-freeze': {
				return this.#freeze(this.#holder(), milliseconds);
			}

			case 'key-revoked':
			case 'table-published': {
				this.#options.platform.isRevoked ||= kind === 'key-revoked';
				this.#options.platform.publish();
			}
		}
	}

	async #freeze(gateway: GatewayChild, milliseconds: number): Promise<void> {
		await this.#disturb(gateway, async () => {
			gateway.freeze();
			await sleep(milliseconds);
			gateway.wake();
		});
	}

	/** Runs an action that stops a gateway for a time, and records when. */
	async #disturb(gateway: GatewayChild, action: () => Promise<void>): Promise<void> {
		const from = performance.now();
		const index = this.#options.gateways.indexOf(gateway);
		const disturbance = {gateway: index, from, until: Infinity};
		this.disturbances.push(disturbance);
		await action();
		disturbance.until = performance.now() + restartedMilliseconds;
	}

	/** The gateway whose report the receiver took last. */
	#holder(): GatewayChild {
		const name = this.#options.platform.receiver.calls.at(-1)?.holder;
		return this.#options.gateways.find(({options}) => options.instance === name) ?? this.#options.gateways[0]!;
	}
}

async function sleep(milliseconds: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, milliseconds);
	});
}
