import tap from 'tap';
import {type WorkerAnswer} from '../../fakes/platform-worker.js';
import {eventually, Testbed} from './testbed.js';

const workersEach = 6;
/** A late second response to an earlier request of the connection, which says that that one has not run. */
const foreignRefusals: ReadonlyArray<{readonly name: string; readonly answer: WorkerAnswer}> = [
	{name: 'not run', answer: {type: 'whole', status: 503, body: '', headers: {'Request-Id': 'another', 'Not-Executed': '1'}}},
	{name: 'misdirected', answer: {type: 'whole', status: 421, body: '', headers: {'Request-Id': 'another'}}},
];

// The request was sent on while the endpoint that had it still ran it: to more endpoints than its route allows, and twice where once is allowed.
for (const {name, answer} of foreignRefusals) {
	tap.test(`a response to another request that says ${name} says nothing about this one`, async t => {
		await using testbed = await Testbed.create({workersEach});
		await testbed.startGateway();
		testbed.respondWith('orders', () => answer);
		const lookup = await testbed.send({id: 'safe-request'});
		t.equal(testbed.attemptCount('safe-request'), 2, 'as many endpoints as its route allows');
		t.equal(lookup.status, 502, 'its caller is told that it may have run');
		const release = await testbed.send({id: 'unsafe-request', method: 'POST', path: '/release/1', body: 'artwork'});
		t.equal(testbed.attemptCount('unsafe-request'), 1);
		t.equal(release.status, 502);
	});
}

// Its request may have been sent before the endpoint crashed.
tap.test('a response to another request does not show that an endpoint lives', async t => {
	await using testbed = await Testbed.create({workersEach: 1});
	await testbed.startGateway();
	testbed.respondWith('orders', ({id}) => id === 'first' ? {type: 'reset'} : {type: 'whole', body: '', headers: {'Request-Id': 'another'}});
	for (const id of ['first', 'second']) {
		await testbed.send({id, method: 'POST', path: '/release/1', body: 'artwork'});
	}

	await eventually(() => testbed.logLines.some(({msg}) => String(msg).includes('Endpoint crashed.')), 3000);
	t.notOk(testbed.logLines.some(({msg}) => String(msg).includes('Endpoint has not crashed.')));
});
