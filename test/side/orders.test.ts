import fc from 'fast-check';
import tap from 'tap';
import {FakeEngine, FakeLog} from '../../fakes/index.js';
import {EngineControl, type OrderResult} from '../../src/endpoint/index.js';
import {HttpLogClient} from '../../src/platform/index.js';
import {createOwnership, decideOrder, foldOwnership, ownershipLeaseMilliseconds} from '../../src/policy/ownership/index.js';
import {OrderSender, type OrderSenderSettings} from '../../src/side/orders/index.js';

const order = (version: string) => ({order: 'load-model' as const, name: 'model', version});

tap.test('with arbitrary pauses, no order of an earlier owner is sent after the first one of a later owner, even if the endpoint ignores fencing numbers', async () => {
	// Two sides own the endpoint one after the other. The old one reads the stream, is paused, resumes and
	// sends if it is allowed to. The new one waits for the lease to expire. The old version must never be loaded again.
	fc.assert(fc.property(fc.nat(10_000), fc.nat(10_000), fc.nat(10_000), (oldReadAt, pause, newOwnedAt) => {
		const records = [{offset: 0, value: {type: 'owner', endpoint: 'e', instance: 'side-1'}}];
		const newRecord = {offset: 1, value: {type: 'owner', endpoint: 'e', instance: 'side-2'}};
		const seenByOld = foldOwnership(createOwnership(), oldReadAt >= newOwnedAt ? [...records, newRecord] : records);
		const sentAt = oldReadAt + pause;
		const old = decideOrder(seenByOld, {instance: 'side-1', ownedAt: -100_000, readAt: oldReadAt, endpointChecksFences: false}, sentAt);
		const seenByNew = foldOwnership(createOwnership(), [...records, newRecord]);
		const first = decideOrder(seenByNew, {instance: 'side-2', ownedAt: newOwnedAt, readAt: newOwnedAt, endpointChecksFences: false}, newOwnedAt);
		const newFirstAt = newOwnedAt + (first.type === 'wait' ? first.milliseconds : 0);
		return old.type !== 'send' || sentAt < newFirstAt;
	}), {seed: 21, numRuns: 2000});
});

type Harness = {log: FakeLog; engine: FakeEngine; client: HttpLogClient; control: EngineControl};

async function withHarness(checksFences: boolean, use: (harness: Harness) => Promise<void>): Promise<void> {
	await using log = await FakeLog.create();
	await using engine = await FakeEngine.create({checksFences});
	await using client = HttpLogClient.create({baseUrl: log.url, timeoutMilliseconds: 2000});
	await using control = EngineControl.create({baseUrl: engine.url, timeoutMilliseconds: 2000});
	await use({log, engine, client, control});
}

async function createSender({client, control}: Harness, instance: string, more: Partial<OrderSenderSettings>): Promise<OrderSender> {
	return OrderSender.create({log: client, control, instance, endpoint: 'e', endpointChecksFences: true, ...more});
}

for (const endpointChecksFences of [true, false]) {
	tap.test(`an old side that resumes after its replacement took over sends no order (endpoint checks fencing numbers: ${endpointChecksFences})`, async t => {
		// The first side loads version 1 and is paused. Its replacement loads version 2. The first resumes with
		// an order for version 1: it reads the stream again, finds that it has been superseded, and sends nothing.
		await withHarness(endpointChecksFences, async harness => {
			let skew = 0;
			const now = () => Date.now() + skew;
			const first = await createSender(harness, 'side-1', {endpointChecksFences, now});
			skew += 2 * ownershipLeaseMilliseconds;
			t.match(await first.order(order('1')), {type: 'taken'});
			const second = await createSender(harness, 'side-2', {endpointChecksFences, now});
			skew += 2 * ownershipLeaseMilliseconds;
			t.match(await second.order(order('2')), {type: 'taken'});
			t.match(await first.order(order('1')), {type: 'superseded'});
			t.same(harness.engine.loaded.taken.map(({version}) => version), ['1', '2']);
		});
	});
}

tap.test('the order of a side that is paused between reading and ordering is rejected by the engine\'s fencing check', async t => {
	await withHarness(true, async harness => {
		const pausingControl = {
			async order(...parameters: Parameters<EngineControl['order']>): Promise<OrderResult> {
				const second = await createSender(harness, 'side-2', {});
				await second.order(order('2'));
				return harness.control.order(...parameters);
			},
			models: async () => harness.control.models(),
		};
		const first = await createSender(harness, 'side-1', {control: pausingControl});
		t.match(await first.order(order('1')), {type: 'superseded'});
		t.same(harness.engine.loaded.taken.map(({version}) => version), ['2']);
	});
});

tap.test('no order is sent while the log is down, and a side whose record has left the log counts as superseded', async t => {
	await withHarness(true, async harness => {
		const first = await createSender(harness, 'side-1', {});
		await harness.log.stop();
		t.match(await first.order(order('1')), {type: 'failed'});
		await harness.log.start();
		t.match(await first.order(order('1')), {type: 'taken'});
		harness.log.faults.retainRecords = 1;
		harness.log.put('orders-e', 'another record');
		const late = await createSender({...harness}, 'side-3', {});
		t.match(await late.order(order('3')), {type: 'taken'});
		t.match(await first.order(order('1')), {type: 'superseded'});
	});
});
