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

/** Loads take minutes and assignments change a few times an hour, so a short interval is not needed. */
const defaultReconcileIntervalMilliseconds = 5000;

/** A loaded model with its version; an empty version if the engine does not report it. */
type LoadedModel = {readonly name: string; readonly version: string};

export type ModelReconcilerOptions = {
	readonly endpoint: EndpointId;
	readonly catalogue: () => Catalogue;
	readonly membership: MembershipClient;
	readonly weights: WeightStoreClient;
	readonly control: Pick<EngineControl, 'models'>;
	/** Takes ownership of the endpoint. It fails while the log is down and is then retried. */
	readonly openOrderSender: () => Promise<Pick<OrderSender, 'order'>>;
	readonly logger: PartLogger;
	/** Called when the models that the engine serves have changed. */
	readonly onModels: (models: readonly TargetName[]) => void;
	readonly reconcileIntervalMilliseconds?: number;
};

/**
 * Reconciles the models of one engine with the catalogue: models assigned to this endpoint are fetched from the
 * weight store and then loaded by an order. Only models with `replicas` above 0 are assigned; the reconciler
 * leaves the others at the endpoints where the settings place them. Models are never unloaded.
 */
export class ModelReconciler implements AsyncDisposable {
	static create(options: ModelReconcilerOptions): ModelReconciler {
		const reconciler = new ModelReconciler(options);
		reconciler.#done = spawn('model-keeper', () => reconciler.#run());
		return reconciler;
	}

	readonly #options: ModelReconcilerOptions;
	readonly #abort = new AbortController();
	#assignment = createAssignment();
	#reportedModels = '';
	#superseded = false;
	#orderSender: Pick<OrderSender, 'order'> | undefined;
	#done: Promise<void> = Promise.resolve();

	private constructor(options: ModelReconcilerOptions) {
		this.#options = options;
	}

	/** True once a later side owns the endpoint: this one sends no more orders. */
	get isSuperseded(): boolean {
		return this.#superseded;
	}

	async [Symbol.asyncDispose](): Promise<void> {
		this.#abort.abort();
		await this.#done;
	}

	* #run(): Body<void> {
		while (!this.#abort.signal.aborted && !this.#superseded) {
			yield * this.#reconcile();
			yield * sleep(this.#options.reconcileIntervalMilliseconds ?? defaultReconcileIntervalMilliseconds);
		}
	}

	/** One check and at most one load, so that every load is decided on the latest state. */
	* #reconcile(): Body<void> {
		try {
			const loaded = yield * this.#readLoadedModels();
			if (loaded === undefined) {
				return;
			}

			const assignableModels = this.#options.catalogue().models().filter(({replicas}) => replicas > 0);
			if (assignableModels.length === 0) {
				return;
			}

			this.#orderSender ??= yield * wait(this.#options.openOrderSender());
			yield * this.#readMembership();
			const missing = this.#assignedModels(assignableModels).find(model => !isLoaded(loaded, model));
			if (missing !== undefined) {
				yield * this.#load(missing, this.#orderSender);
			}
		} catch (error) {
			this.#options.logger.warn('The models could not be reconciled.', {error: String(error)});
		}
	}

	* #readLoadedModels(): Body<readonly LoadedModel[] | undefined> {
		const models = yield * wait(this.#options.control.models());
		const loaded = models?.map(({id, version}) => ({name: id, version: version ?? ''}));
		if (loaded !== undefined) {
			this.#reportModels(loaded);
		}

		return loaded;
	}

	#reportModels(loaded: readonly LoadedModel[]): void {
		const names = loaded.map(({name}) => name).toSorted();
		const text = names.join(' ');
		if (text !== this.#reportedModels) {
			this.#reportedModels = text;
			this.#options.onModels(names as TargetName[]);
		}
	}

	* #readMembership(): Body<void> {
		const members = yield * wait(this.#options.membership.list(this.#abort.signal));
		this.#assignment = observeMembers(this.#assignment, members.flatMap(member => engineMembersOf(member)), performance.now());
	}

	#assignedModels(models: readonly ModelEntry[]): readonly ModelEntry[] {
		const demands = models.map(({name, replicas}) => ({name: name as TargetName, replicas}));
		const assigned = modelsForEndpoint(this.#assignment, demands, this.#options.endpoint);
		return models.filter(({name}) => assigned.includes(name as TargetName));
	}

	/**
	 * The weight store limits the rate of fetches by refusing some; the next reconciliation retries. The
	 * order is sent only after the weights have been fetched, so an engine never waits for them with a
	 * slot blocked.
	 */
	* #load(model: ModelEntry, orderSender: Pick<OrderSender, 'order'>): Body<void> {
		const {weights, logger} = this.#options;
		yield * wait(weights.fetch(model.name, model.version, this.#abort.signal));
		const orders: readonly OrderContent[] = [
			{order: 'load-model', name: model.name, version: model.version},
			...model.adapters.map(adapter => ({order: 'load-adapter' as const, name: adapter, version: model.version})),
		];
		for (const order of orders) {
			const outcome = yield * wait(orderSender.order(order));
			logger.info('An order was sent.', {...order, outcome: outcome.type});
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

function engineMembersOf(member: Member): EngineMember[] {
	if (member.role !== 'side' || member.endpoint === undefined) {
		return [];
	}

	return [{
		endpoint: member.endpoint as EndpointId, zone: member.zone as ZoneName, models: (member.targets ?? []) as TargetName[], leaving: member.state === 'leaving',
	}];
}
