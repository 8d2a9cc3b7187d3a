import tap from 'tap';
import {desiredState} from '../../fakes/platform-state.js';
import {eventually, Testbed} from './testbed.js';

const targetMilliseconds = 60;
/** Longer than an endpoint may be silent before its request is sent elsewhere. */
const workMilliseconds = targetMilliseconds * 10;

/** Two endpoints that are silent for long and then answer, at an instance that may send few requests again. */
async function createTestbed(settings: Readonly<Record<string, unknown>>): Promise<Testbed> {
	const testbed = await Testbed.create();
	const {routes} = desiredState(2) as {routes: ReadonlyArray<Record<string, unknown>>};
	testbed.store.put('keyed.op', 'config', desiredState(2, {
		routes: routes.map(route => ({...route, timeoutMs: 9000, targetLatencyMs: targetMilliseconds, ...(route.gapAimMs !== undefined && {gapAimMs: targetMilliseconds})})),
	}));
	testbed.respondWith('orders', () => ({type: 'whole', body: 'late', afterMilliseconds: workMilliseconds}));
	testbed.respondWith('models', () => ({type: 'events', count: 4, gapMilliseconds: workMilliseconds}));
	const gateway = await testbed.startGateway(settings);
	await eventually(() => gateway.routingState.table?.version === 2);
	return testbed;
}

/** Kinds of requests that may be sent again, and how many events their answers have. */
const requests = [
	{name: 'a lookup', path: '/lookup/1', method: 'GET', events: 0},
	{name: 'a stream that may be resumed', path: '/chart/1', method: 'POST', events: 4},
] as const;

// Its silence ended the attempt, and only then nobody was left to send the request to: the caller got a failure, or a stream that broke off, in place of an answer that was on its way.
for (const {name, path, method, events} of requests) {
	tap.test(`${name} stays at a silent endpoint while no retry is left`, async t => {
		await using testbed = await createTestbed({retryRatio: 0});
		const {status, isComplete, body} = await testbed.send({path, method, id: 'kept', headers: {'deadline-ms': '9000'}});
		t.same([status, isComplete], [200, true]);
		t.equal([...body.matchAll(/^id: /gmv)].length, events);
		t.equal(testbed.attemptCount('kept'), 1);
	});
}

// What is left of the allowance is still used.
tap.test('a lookup leaves a silent endpoint while a retry is left', async t => {
	await using testbed = await createTestbed({retryRatio: 4});
	const {status, isComplete} = await testbed.send({id: 'moved', headers: {'deadline-ms': '9000'}});
	t.same([status, isComplete], [200, true]);
	t.equal(testbed.attemptCount('moved'), 2);
});
