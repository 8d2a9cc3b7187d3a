import {type Catalogue, type ModelEntry} from '../../catalogue/index.js';
import {type Body, sleep, spawn, wait} from '../../concurrency/index.js';
import {type EngineControl} from '../../endpoint/index.js';
import {type EndpointId, type TargetName, type ZoneName} from '../../model/index.js';
import {type Member, type MembershipClient, type WeightStoreClient} from '../../platform/index.js';
import {
	createAssignment, type EngineMember, modelsForEndpoint, observeMembers,
} from '../../policy/assignment/index.js';
import {type PartLogger} from '../../telemetry/index.js';
import {type OrderContent, type OrderSender} from './order-sender.js';

/** Loads take minutes and assignments change a few times an hour: a slower round costs nothing. */
const roundMilliseconds = 5000;

/** A model at a version, as it is loaded or wanted. */
type LoadedModel = {readonly name: string; readonly version: string};

export type ModelReconcilerOptions = {
	readonly endpoint: EndpointId;
	readonly catalogue: () => Catalogue;
	readonly membership: MembershipClient;
	readonly weights: WeightStoreClient;
	readonly control: Pick<EngineControl, 'models'>;
	/** Becomes the endpoint's owner. It fails while the log is down, and is then asked again. */
	readonly openOrderSender: () => Promise<Pick<OrderSender, 'order'>>;
	readonly logger: PartLogger;
	/** Called when the engine serves other models than before. */
	readonly onModels: (models: readonly TargetName[]) => void;
	readonly roundMilliseconds?: number;
};

/**
 * Brings one engine's models in line with the catalogue: what the assignment gives this endpoint is
 * fetched from the weight store, then loaded by an order. Only models with `replicas` above 0 are
 * placed; the others stay where the settings put them. Nothing is ever unloaded.
 */
export class ModelReconciler implements AsyncDisposable {
	static create(options: ModelReconcilerOptions): ModelReconciler {
		const keeper = new ModelReconciler(options);
		keeper.#done = spawn('model-keeper', () => keeper.#run());
		return keeper;
	}

	readonly #options: ModelReconcilerOptions;
	readonly #abort = new AbortController();
	#assignment = createAssignment();
	#known = '';
	#superseded = false;
	#desk: Pick<OrderSender, 'order'> | undefined;
	#done: Promise<void> = Promise.resolve();

	private constructor(options: ModelReconcilerOptions) {
		this.#options = options;
	}

	/** True once a later side owns the endpoint: this one gives no more orders. */
	get isSuperseded(): boolean {
		return this.#superseded;
	}

	async [Symbol.asyncDispose](): Promise<void> {
		this.#abort.abort();
		await this.#done;
	}

	* #run(): Body<void> {
		while (!this.#abort.signal.aborted && !this.#superseded) {
			yield * this.#round();
			yield * sleep(this.#options.roundMilliseconds ?? roundMilliseconds);
		}
	}

	/** One look and at most one load, so that every load is decided on what is known by then. */
	* #round(): Body<void> {
		try {
			const loaded = yield * this.#loaded();
			if (loaded === undefined) {
				return;
			}

			const placed = this.#options.catalogue().models().filter(({replicas}) => replicas > 0);
			if (placed.length === 0) {
				return;
			}

			this.#desk ??= yield * wait(this.#options.openOrderSender());
			yield * this.#readMembership();
			const missing = this.#wanted(placed).find(model => !isLoaded(loaded, model));
			if (missing !== undefined) {
				yield * this.#load(missing, this.#desk);
			}
		} catch (error) {
			this.#options.logger.warn('Models can not be brought in line now.', {error: String(error)});
		}
	}

	* #loaded(): Body<readonly LoadedModel[] | undefined> {
		const models = yield * wait(this.#options.control.models());
		const loaded = models?.map(({id, version}) => ({name: id, version: version ?? ''}));
		if (loaded !== undefined) {
			this.#tell(loaded);
		}

		return loaded;
	}

	#tell(loaded: readonly LoadedModel[]): void {
		const names = loaded.map(({name}) => name).toSorted();
		const text = names.join(' ');
		if (text !== this.#known) {
			this.#known = text;
			this.#options.onModels(names as TargetName[]);
		}
	}

	* #readMembership(): Body<void> {
		const members = yield * wait(this.#options.membership.list(this.#abort.signal));
		this.#assignment = observeMembers(this.#assignment, members.flatMap(member => siteOf(member)), performance.now());
	}

	#wanted(models: readonly ModelEntry[]): readonly ModelEntry[] {
		const demands = models.map(({name, replicas}) => ({name: name as TargetName, replicas}));
		const assigned = modelsForEndpoint(this.#assignment, demands, this.#options.endpoint);
		return models.filter(({name}) => assigned.includes(name as TargetName));
	}

	/**
	 * The store paces fetches by refusing some; the next round asks again. The order goes out only
	 * when the weights are there, so an engine never waits for them with a slot blocked.
	 */
	* #load(model: ModelEntry, desk: Pick<OrderSender, 'order'>): Body<void> {
		const {weights, logger} = this.#options;
		yield * wait(weights.fetch(model.name, model.version, this.#abort.signal));
		const orders: readonly OrderContent[] = [
			{order: 'load-model', name: model.name, version: model.version},
			...model.adapters.map(adapter => ({order: 'load-adapter' as const, name: adapter, version: model.version})),
		];
		for (const order of orders) {
			const outcome = yield * wait(desk.order(order));
			logger.info('An order was given.', {...order, outcome: outcome.type});
			if (outcome.type === 'superseded') {
				this.#superseded = true;
				return;
			}
		}
	}
}

function isLoaded(loaded: readonly LoadedModel[], wanted: ModelEntry): boolean {
	return loaded.some(({name, version}) => name === wanted.name && (version === '' || version === wanted.version));
}

function siteOf(member: Member): EngineMember[] {
	if (member.role !== 'side' || member.endpoint === undefined) {
		return [];
	}

	return [{
		endpoint: member.endpoint as EndpointId, zone: member.zone as ZoneName, models: (member.targets ?? []) as TargetName[], leaving: member.state === 'leaving',
	}];
}
