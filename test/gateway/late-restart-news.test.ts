import tap from 'tap';
import {FakePlatformWorker, type WorkerAnswer, type WorkerRequest} from '../../fakes/platform-worker.js';
import {ageMilliseconds, RestartPlay} from './restart-play.js';
import {eventually} from './testbed.js';

const deadlineMilliseconds = 12_000;
const workMilliseconds = ageMilliseconds + 4000;

function answer({id}: WorkerRequest): WorkerAnswer {
	return {type: 'whole', body: id, afterMilliseconds: id === 'long' ? workMilliseconds : 0};
}

async function sleep(milliseconds: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, milliseconds);
	});
}

// The store was out of reach: an endpoint that had restarted at its address served for seconds before its start was known, and its own orders passed for those of the process before.
tap.test('an order at an endpoint whose restart is told late is not taken for one of the process before', async t => {
	await using play = await RestartPlay.create(answer);
	const {testbed, paths} = play;
	const path = paths.get('orders')!;
	testbed.store.fault = () => 'silent';
	await using worker = await FakePlatformWorker.create('orders-0', 'orders');
	worker.answer = answer;
	path.redirect(worker.address);
	path.cut();
	const order = testbed.send({path: '/release/1', method: 'POST', id: 'long', body: 'draw', headers: {'deadline-ms': String(deadlineMilliseconds)}});
	await eventually(() => worker.requests.length === 1);
	await sleep(ageMilliseconds);
	testbed.store.fault = () => undefined;
	testbed.store.put('keyed.servers', 'orders-0', worker.beat({address: path.address, born: 2000, seq: 2}));
	await eventually(() => testbed.gateways[0]!.routingState.directory.entries.get('orders-0')?.record.bornAt === 2000);
	const {status, body} = await order;
	t.same([status, body], [200, 'long']);
});
