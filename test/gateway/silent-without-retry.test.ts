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
		routes: routes.map(route => ({...route, timeoutMs: 9000, targetLatencyMs: targetMilliseconds, ...(route.gapAimMs !== undefined && {targetLatencyMs: workMilliseconds, gapAimMs: targetMilliseconds})})),
	}));
	testbed.respondWith('orders', () => ({type: 'whole', body: 'late', afterMilliseconds: workMilliseconds}));
	testbed.respondWith('models', () => ({type: 'events', count: 4, gapMilliseconds: workMilliseconds}));
	const gateway = await testbed.startGateway(settings);
	await eventually(() => gateway.routingState.table?.version === 2);
	return testbed;
}

// Its silence ended the attempt, and only then no retry was left: the caller got a stream that broke off in place of events that were on their way.
tap.test('a stream that has begun stays at a silent endpoint while no retry is left', async t => {
	await using testbed = await createTestbed({retryRatio: 0});
	const {status, isComplete, body} = await testbed.send({path: '/chart/1', method: 'POST', id: 'kept', headers: {'deadline-ms': '9000'}});
	t.same([status, isComplete], [200, true]);
	t.same([...body.matchAll(/^id: (\d)$/gmv)].map(([, id]) => Number(id)), [1, 2, 3, 4]);
	t.equal(testbed.attemptCount('kept'), 1);
});

// Its engine was still reading the prompt: the stream was given up for its silence, and failed with 502 since no retry was left.
tap.test('a stream without its first event stays at a silent endpoint while no retry is left', async t => {
	await using testbed = await createTestbed({retryRatio: 0});
	testbed.respondWith('models', () => ({type: 'events', count: 4, gapMilliseconds: 10, firstAfterMilliseconds: 4 * workMilliseconds}));
	const {status, isComplete, body} = await testbed.send({path: '/chart/1', method: 'POST', id: 'read', headers: {'deadline-ms': '9000'}});
	t.same([status, isComplete], [200, true]);
	t.equal(body.match(/^id: /gmv)?.length, 4);
	t.equal(testbed.attemptCount('read'), 1);
});

// Nothing has begun: its caller learns at once that it has to come back, and may go to another instance.
tap.test('a lookup at a silent endpoint fails while no retry is left', async t => {
	await using testbed = await createTestbed({retryRatio: 0});
	t.equal(await testbed.statusOf({id: 'failed', headers: {'deadline-ms': '9000'}}), 502);
	t.equal(testbed.attemptCount('failed'), 1);
});

// What is left of the allowance is still used.
tap.test('a lookup leaves a silent endpoint while a retry is left', async t => {
	await using testbed = await createTestbed({retryRatio: 4});
	const {status, isComplete} = await testbed.send({id: 'moved', headers: {'deadline-ms': '9000'}});
	t.same([status, isComplete], [200, true]);
	t.equal(testbed.attemptCount('moved'), 2);
});

tap.test('a stream leaves a silent endpoint while a retry is left, and is whole', async t => {
	await using testbed = await createTestbed({retryRatio: 4});
	let runs = 0;
	testbed.respondWith('models', () => {
		runs += 1;
		return runs === 1 ? {type: 'crash', isSilent: true, afterEvents: 2} : {type: 'events', count: 4, gapMilliseconds: 10};
	});
	const {isComplete, body} = await testbed.send({path: '/chart/1', method: 'POST', id: 'moved', headers: {'deadline-ms': '9000'}});
	t.ok(isComplete);
	t.same([...body.matchAll(/^id: (\d)$/gmv)].map(([, id]) => Number(id)), [1, 2, 3, 4]);
	t.equal(testbed.attemptCount('moved'), 2);
});
