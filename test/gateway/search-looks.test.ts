import tap from 'tap';
import {desiredState} from '../../fakes/platform-state.js';
import {type WorkerAnswer, type WorkerRequest} from '../../fakes/platform-worker.js';
import {Alarm} from '../../src/concurrency/alarm.js';
import {eventually, Testbed} from './testbed.js';

const gapAimMilliseconds = 60;
const count = 8;
const shortGap = 20;
/** For so long the stream's endpoint is silent, while all places elsewhere are taken. */
const pauseMilliseconds = 3000;
/** A search that waits in the line needs no look of its own more often than this, and there is one other stream. */
const lookMilliseconds = 50;

function answerOf({id}: WorkerRequest): WorkerAnswer {
	return id === 'other'
		? {type: 'events', count: 4, gapMilliseconds: 2000}
		: {type: 'events', count, gapsMilliseconds: [0, shortGap, shortGap, pauseMilliseconds, ...Array.from({length: count}, () => shortGap)]};
}

async function createTestbed(): Promise<Testbed> {
	const testbed = await Testbed.create();
	const {routes} = desiredState(2) as {routes: ReadonlyArray<Record<string, unknown>>};
	testbed.store.put('keyed.op', 'config', desiredState(2, {
		routes: routes.map(route => ({...route, timeoutMs: 12_000, targetLatencyMs: 3000, maxAttempts: 3, ...(route.gapAimMs !== undefined && {gapAimMs: gapAimMilliseconds})})),
	}));
	for (const worker of testbed.ofService('models')) {
		testbed.store.put('keyed.servers', worker.id, worker.beat({slots: 1, seq: 2}));
	}

	testbed.respondWith('models', answerOf);
	const gateway = await testbed.startGateway({retryRatio: 4});
	await eventually(() => gateway.routingState.table?.version === 2);
	await eventually(() => testbed.ofService('models').every(({id}) => gateway.routingState.directory.entries.get(id)?.record.slots === 1));
	return testbed;
}

// While its search stood in the line, the stream's alarm fired in each turn of the event loop: a crowded instance spent its processor on it.
tap.test('a stream that waits for a place beside its attempt looks at it now and then', async t => {
	await using testbed = await createTestbed();
	const other = testbed.send({path: '/chart/1', method: 'POST', id: 'other', body: 'other', headers: {'deadline-ms': '12000'}});
	await eventually(() => testbed.attemptCount('other') === 1);
	let looks = 0;
	const {set} = Alarm.prototype;
	t.teardown(() => {
		Alarm.prototype.set = set;
	});
	Alarm.prototype.set = function (milliseconds) {
		looks += 1;
		set.call(this, milliseconds);
	};

	const {isComplete} = await testbed.send({path: '/chart/2', method: 'POST', id: 'pausing', body: 'pausing', headers: {'deadline-ms': '12000'}});
	t.ok(isComplete);
	t.equal(testbed.attemptCount('pausing'), 1);
	t.ok(looks <= 2 * pauseMilliseconds / lookMilliseconds, `${looks} looks in ${pauseMilliseconds} ms`);
	await other;
});
