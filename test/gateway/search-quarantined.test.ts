import tap from 'tap';
import {desiredState} from '../../fakes/platform-state.js';
import {CrashLedger} from '../../src/gateway/crashes/index.js';
import {eventually, Testbed} from './testbed.js';

const gapAimMilliseconds = 60;
const count = 8;
const shortGap = 20;
/** Long enough for a search, and for the place elsewhere that ends it. */
const pauseMilliseconds = 3000;
const otherGap = 700;

// The request became suspect while its search stood in the line: the place came, its attempt was ended for it, and the retry was then refused.
tap.test('a stream whose request has become suspect in its search stays at its endpoint', async t => {
	await using testbed = await Testbed.create();
	const {routes} = desiredState(2) as {routes: ReadonlyArray<Record<string, unknown>>};
	testbed.store.put('keyed.op', 'config', desiredState(2, {
		routes: routes.map(route => ({...route, timeoutMs: 9000, targetLatencyMs: 3000, maxAttempts: 3, ...(route.gapAimMs !== undefined && {gapAimMs: gapAimMilliseconds})})),
	}));
	for (const worker of testbed.ofService('models')) {
		testbed.store.put('keyed.servers', worker.id, worker.beat({slots: 1, seq: 2}));
	}

	testbed.respondWith('models', ({id}) => id === 'other'
		? {type: 'events', count: 3, gapMilliseconds: otherGap}
		: {type: 'events', count, gapsMilliseconds: [0, shortGap, shortGap, pauseMilliseconds, ...Array.from({length: count}, () => shortGap)]});
	const gateway = await testbed.startGateway({retryRatio: 4});
	await eventually(() => gateway.routingState.table?.version === 2);
	await eventually(() => testbed.ofService('models').every(({id}) => gateway.routingState.directory.entries.get(id)?.record.slots === 1));
	const {isSuspect} = CrashLedger.prototype;
	t.teardown(() => {
		CrashLedger.prototype.isSuspect = isSuspect;
	});
	let questions = 0;
	// As if another instance had told of its crash between two questions.
	CrashLedger.prototype.isSuspect = () => {
		questions += 1;
		return questions > 1;
	};

	const other = testbed.send({path: '/chart/1', method: 'POST', id: 'other', body: 'other', headers: {'deadline-ms': '9000'}});
	await eventually(() => testbed.attemptCount('other') === 1);
	const {isComplete, body} = await testbed.send({path: '/chart/2', method: 'POST', id: 'pausing', body: 'pausing', headers: {'deadline-ms': '9000'}});
	t.ok(questions > 1, 'the place came while the request was suspect');
	t.ok(isComplete);
	t.same([...body.matchAll(/^id: (\d+)$/gmv)].map(([, id]) => Number(id)), Array.from({length: count}, (_, index) => index + 1));
	t.equal(testbed.attemptCount('pausing'), 1);
	const {isComplete: isOtherComplete} = await other;
	t.ok(isOtherComplete);
});
