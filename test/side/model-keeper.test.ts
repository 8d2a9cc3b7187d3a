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

/** A platform, engines with nothing loaded, and a catalogue that the test sets. */
class Site implements AsyncDisposable {
	static async create(endpoints: number): Promise<Site> {
		const site = new Site(await FakeLog.create(), await FakeMembers.create(), await FakeWeights.create());
		for (let index = 0; index < endpoints; index++) {
			site.engines.push(await FakeEngine.create({models: []}));
			site.members.set({instance: `side-${index}`, role: 'side', address: `127.0.0.1:${index + 1}`, zone: `zone-${index}`, state: 'live', endpoint: `engine-${index}`, targets: []});
		}

		return site;
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

	keeper(index: number, instance = `side-${index}`): ModelReconciler {
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
			roundMilliseconds: 20,
		});
	}

	holders(version: string): number {
		return this.engines.filter(({loaded}) => loaded.models.get('model-a') === version).length;
	}

	async [Symbol.asyncDispose](): Promise<void> {
		for (const part of [...this.engines, this.log, this.members, this.weights]) {
			await part[Symbol.asyncDispose]();
		}
	}
}

function demand(version: string, replicas: number): ModelEntry {
	return {kind: 'model', name: 'model-a', owner: 'platform', version, replicas, adapters: []};
}

tap.test('as many endpoints load a model as the catalogue says, and a new version follows', async t => {
	await using site = await Site.create(3);
	await using first = site.keeper(0);
	await using second = site.keeper(1);
	await using third = site.keeper(2);
	site.models = [demand('1', 2)];
	await until(() => site.holders('1') === 2);
	site.models = [demand('2', 2)];
	await until(() => site.holders('2') === 2);
	t.equal(site.holders('1'), 0);
	t.notOk(first.isSuperseded || second.isSuperseded || third.isSuperseded);
});

// Nobody sees anything: while the log is down nothing is ordered, since the side can't know whether
// it owns the endpoint. Once the log is back the load follows without help.
tap.test('a log that is down delays a load and does not lose it', async t => {
	await using site = await Site.create(1);
	site.log.faults.mode = 'error';
	site.models = [demand('1', 1)];
	await using keeper = site.keeper(0);
	await new Promise(resolve => {
		setTimeout(resolve, 300);
	});
	t.equal(site.engines[0]!.loaded.taken.length, 0);
	site.log.faults.mode = 'up';
	await until(() => site.holders('1') === 1);
	t.notOk(keeper.isSuperseded);
});

// A replaced side wakes after its replacement took over. Its order would load the old version over
// the new one; it finds the later owner in the log and gives no more orders.
tap.test('a side that was replaced gives no more orders', async t => {
	await using site = await Site.create(1);
	await using _old = site.keeper(0, 'old');
	site.models = [demand('1', 1)];
	await until(() => site.holders('1') === 1);
	await using replacement = site.keeper(0, 'new');
	site.models = [demand('2', 1)];
	await until(() => site.holders('2') === 1);
	site.models = [demand('3', 1)];
	await until(() => site.holders('3') === 1);
	const fences = site.engines[0]!.loaded.taken.map(({fence}) => fence);
	t.same(fences, fences.toSorted((left, right) => left - right), 'no order with an older number was taken');
	t.ok(fences.at(-1)! > fences[0]!, 'the last order is the replacement\'s');
	t.notOk(replacement.isSuperseded);
});
