import tap from 'tap';
import {desiredState} from '../../fakes/platform-state.js';
import {eventually, Testbed} from './testbed.js';

const workMilliseconds = 600;
const requestCount = 20;
/** Of which an instance uses its share: 8, the least, and more than there are requests. */
const little = 10;
const much = 1000;

async function createTestbed(largestConnections: number): Promise<Testbed> {
	const testbed = await Testbed.create({services: ['orders'], workersEach: 1});
	const [worker] = testbed.workers;
	testbed.store.put('keyed.servers', worker!.id, worker!.beat({slots: 64, seq: 2}));
	const gateway = await testbed.startGateway();
	await eventually(() => gateway.routingState.directory.entries.get(worker!.id)?.record.slots === 64);
	await publish(testbed, 2, largestConnections);
	expectServed(await testbed.statusOf({id: 'first'}));
	worker!.answer = () => ({type: 'whole', body: 'done', afterMilliseconds: workMilliseconds});
	return testbed;
}

function expectServed(status: number): void {
	if (status !== 200) {
		throw new Error(`The first request got ${status}.`);
	}
}

async function publish(testbed: Testbed, version: number, maxConnections: number): Promise<void> {
	testbed.store.put('keyed.op', 'config', desiredState(version, {services: [{name: 'orders', maxConnections}, {name: 'models', maxConnections: 100}]}));
	await eventually(() => testbed.gateways[0]!.routingState.table?.version === version);
}

function sendAll(testbed: Testbed): ReadonlyArray<Promise<number>> {
	return Array.from({length: requestCount}, async (_, number) => testbed.statusOf({path: '/release/1', method: 'POST', id: `order-${number}`}));
}

// The room of a service was read at the first request to an endpoint and never again: orders were refused for want of a connection until the instance started again.
tap.test('a version that raises the room of a service is in force at endpoints that are in use', async t => {
	await using testbed = await createTestbed(little);
	await publish(testbed, 3, much);
	const statuses = await Promise.all(sendAll(testbed));
	t.ok(statuses.every(status => status === 200), statuses.join(', '));
});

// An endpoint resets connections beyond its room: orders on them may have run.
tap.test('a version that lowers the room of a service is in force at endpoints that are in use', async t => {
	await using testbed = await createTestbed(much);
	await publish(testbed, 3, little);
	const sent = sendAll(testbed);
	await eventually(() => testbed.workers[0]!.requests.length > 1);
	await new Promise(resolve => {
		setTimeout(resolve, workMilliseconds / 2);
	});
	t.ok(testbed.workers[0]!.requests.length <= 9, `${testbed.workers[0]!.requests.length - 1} at a time`);
	await Promise.all(sent);
});
