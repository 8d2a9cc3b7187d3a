import tap from 'tap';
import {desiredState} from '../../fakes/platform-state.js';
import {type WorkerAnswer, type WorkerRequest} from '../../fakes/platform-worker.js';
import {eventually, Testbed} from './testbed.js';

const gapAimMilliseconds = 60;
const count = 8;
const shortGap = 20;
/** Longer than an endpoint may be silent before its stream looks for another one. */
const pauseMilliseconds = 1200;
/** Of the stream that fills the other endpoint: it ends after the stop. */
const longGap = 1500;
const stopSeconds = 4;

function ids(body: string): number[] {
	return [...body.matchAll(/^id: (\d+)$/gmv)].map(([, id]) => Number(id));
}

/** Two endpoints with one slot each, and how they answer. */
async function createTestbed(answer: (request: WorkerRequest) => WorkerAnswer): Promise<Testbed> {
	const testbed = await Testbed.create();
	const {routes} = desiredState(2) as {routes: ReadonlyArray<Record<string, unknown>>};
	testbed.store.put('keyed.op', 'config', desiredState(2, {
		routes: routes.map(route => ({...route, timeoutMs: 9000, targetLatencyMs: 3000, maxAttempts: 3, ...(route.gapAimMs !== undefined && {gapAimMs: gapAimMilliseconds})})),
	}));
	for (const worker of testbed.ofService('models')) {
		testbed.store.put('keyed.servers', worker.id, worker.beat({slots: 1, seq: 2}));
	}

	testbed.respondWith('models', answer);
	const gateway = await testbed.startGateway({stopSeconds, retryRatio: 4});
	await eventually(() => gateway.routingState.table?.version === 2);
	await eventually(() => testbed.ofService('models').every(({id}) => gateway.routingState.directory.entries.get(id)?.record.slots === 1));
	return testbed;
}

// It was given up for its silence, waited in the line for the one other place, and the stop ended it there, although its endpoint had gone on.
tap.test('a stream that has begun stays at a silent endpoint until it has a place at another one', async t => {
	await using testbed = await createTestbed(({id}) => id === 'other'
		? {type: 'events', count, gapMilliseconds: longGap}
		: {type: 'events', count, gapsMilliseconds: [0, shortGap, shortGap, pauseMilliseconds, ...Array.from({length: count}, () => shortGap)]});
	const other = testbed.send({path: '/chart/1', method: 'POST', id: 'other', body: 'other', headers: {'deadline-ms': '9000'}});
	await eventually(() => testbed.attemptCount('other') === 1);
	const pausing = testbed.send({path: '/chart/2', method: 'POST', id: 'pausing', body: 'pausing', headers: {'deadline-ms': '9000'}});
	await eventually(() => testbed.attemptCount('pausing') === 1);
	const drained = testbed.gateways[0]!.drain();
	const {status, isComplete, body} = await pausing;
	t.same([status, isComplete], [200, true]);
	t.same(ids(body), Array.from({length: count}, (_, index) => index + 1));
	t.equal(testbed.attemptCount('pausing'), 1);
	await drained;
	await other;
});

// Waiting for a place must not keep a stream at an endpoint that is gone once another one has room.
tap.test('a stream at an endpoint that stays silent leaves it once another one has room', async t => {
	let runs = 0;
	await using testbed = await createTestbed(({id}) => {
		if (id === 'other') {
			return {type: 'events', count: 3, gapMilliseconds: 500};
		}

		runs += 1;
		return {type: 'events', count, gapMilliseconds: shortGap, ...(runs === 1 && {silentAfter: 3})};
	});
	const other = testbed.send({path: '/chart/1', method: 'POST', id: 'other', body: 'other', headers: {'deadline-ms': '9000'}});
	await eventually(() => testbed.attemptCount('other') === 1);
	const {isComplete, body} = await testbed.send({path: '/chart/2', method: 'POST', id: 'pausing', body: 'pausing', headers: {'deadline-ms': '9000'}});
	t.ok(isComplete);
	t.same(ids(body), Array.from({length: count}, (_, index) => index + 1));
	t.equal(testbed.attemptCount('pausing'), 2);
	await other;
});
