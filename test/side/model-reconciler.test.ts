import tap from 'tap';
import {
	FakeEngine, FakeLog, FakeMembers, FakeWeights,
} from '../../fakes/index.js';
import {until} from '../../bench/harness/local-fleet.js';
import {type Catalogue, type ModelEntry} from '../../src/catalogue/index.js';
import {EngineControl} from '../../src/endpoint/index.js';
import {type EndpointId} from '../../src/model/index.js';
import {HttpLogClient, HttpMembershipClient, HttpWeightStoreClient} from '../../src/platform/index.js';
import {ModelReconciler, OrderSender} from '../../src/side/orders/index.js';
import {createLogger, forPart} from '../../src/telemetry/index.js';

const timeoutMilliseconds = 2000;
const logger = forPart(createLogger({name: 'test', level: 'fatal'}), 'Models');

/** Fakes of the platform, engines without loaded models, and a catalogue that the test sets. */
class TestFleet implements AsyncDisposable {
	static async create(endpoints: number): Promise<TestFleet> {
		const fleet = new TestFleet(await FakeLog.create(), await FakeMembers.create(), await FakeWeights.create());
		for (let index = 0; index < endpoints; index++) {
			fleet.engines.push(await FakeEngine.create({models: []}));
			fleet.members.set({instance: `side-${index}`, role: 'side', address: `127.0.0.1:${index + 1}`, zone: `zone-${index}`, state: 'live', endpoint: `engine-${index}`, targets: []});
		}

		return fleet;
	}

	readonly engines: FakeEngine[] = [];
	models: ModelEntry[] = [];
	readonly log: FakeLog;
	readonly members: FakeMembers;
	readonly weights: FakeWeights;

	private constructor(log: FakeLog, members: FakeMembers, weights: FakeWeights) {
		this.log = log;
		this.members = members;
		this.weights = weights;
	}

	reconciler(index: number, instance = `side-${index}`): ModelReconciler {
		const control = EngineControl.create({baseUrl: this.engines[index]!.url, timeoutMilliseconds});
		const endpoint = `engine-${index}`;
		return ModelReconciler.create({
			endpoint: endpoint as EndpointId,
			catalogue: () => ({models: () => this.models}) as unknown as Catalogue,
			membership: HttpMembershipClient.create({baseUrl: this.members.url, timeoutMilliseconds}),
			weights: HttpWeightStoreClient.create({baseUrl: this.weights.url, timeoutMilliseconds, endpoint}),
			control,
			openOrderSender: async () => OrderSender.create({
				log: HttpLogClient.create({baseUrl: this.log.url, timeoutMilliseconds}), instance, endpoint, control, endpointChecksFences: true,
			}),
			logger,
			onModels: names => {
				this.members.set({instance: `side-${index}`, role: 'side', address: `127.0.0.1:${index + 1}`, zone: `zone-${index}`, state: 'live', endpoint, targets: names});
			},
			reconcileIntervalMilliseconds: 20,
		});
	}

	endpointsWithVersion(version: string): number {
		return this.engines.filter(({loaded}) => loaded.models.get('model-a') === version).length;
	}

	async [Symbol.asyncDispose](): Promise<void> {
		for (const part of [...this.engines, this.log, this.members, this.weights]) {
			await part[Symbol.asyncDispose]();
		}
	}
}

function modelEntry(version: string, replicas: number): ModelEntry {
	return {kind: 'model', name: 'model-a', owner: 'platform', version, replicas, adapters: []};
}

tap.test('as many endpoints load a model as the catalogue demands, and a new version replaces the old one', async t => {
	await using fleet = await TestFleet.create(3);
	await using first = fleet.reconciler(0);
	await using second = fleet.reconciler(1);
	await using third = fleet.reconciler(2);
	fleet.models = [modelEntry('1', 2)];
	await until(() => fleet.endpointsWithVersion('1') === 2);
	fleet.models = [modelEntry('2', 2)];
	await until(() => fleet.endpointsWithVersion('2') === 2);
	t.equal(fleet.endpointsWithVersion('1'), 0);
	t.notOk(first.isSuperseded || second.isSuperseded || third.isSuperseded);
});

// While the log is down no order is sent, since the side can't know whether it owns the endpoint. Once
// the log is available again, the model is loaded without intervention and without an effect on callers.
tap.test('a log that is down delays a load but does not lose it', async t => {
	await using fleet = await TestFleet.create(1);
	fleet.log.faults.mode = 'error';
	fleet.models = [modelEntry('1', 1)];
	await using reconciler = fleet.reconciler(0);
	await new Promise(resolve => {
		setTimeout(resolve, 300);
	});
	t.equal(fleet.engines[0]!.loaded.taken.length, 0);
	fleet.log.faults.mode = 'up';
	await until(() => fleet.endpointsWithVersion('1') === 1);
	t.notOk(reconciler.isSuperseded);
});

// A side resumes after its replacement took over. Its order would load the old version over the new
// one; it finds the later owner in the log and sends no more orders.
tap.test('a side that was replaced sends no more orders', async t => {
	await using fleet = await TestFleet.create(1);
	await using _old = fleet.reconciler(0, 'old');
	fleet.models = [modelEntry('1', 1)];
	await until(() => fleet.endpointsWithVersion('1') === 1);
	await using replacement = fleet.reconciler(0, 'new');
	fleet.models = [modelEntry('2', 1)];
	await until(() => fleet.endpointsWithVersion('2') === 1);
	fleet.models = [modelEntry('3', 1)];
	await until(() => fleet.endpointsWithVersion('3') === 1);
	const fences = fleet.engines[0]!.loaded.taken.map(({fence}) => fence);
	t.same(fences, fences.toSorted((left, right) => left - right), 'no order with a lower fencing number was accepted');
	t.ok(fences.at(-1)! > fences[0]!, 'the last order was sent by the replacement');
	t.notOk(replacement.isSuperseded);
});
