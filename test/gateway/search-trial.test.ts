import tap from 'tap';
import {desiredState} from '../../fakes/platform-state.js';
import {type GatewayProcess} from '../../src/bin/gateway-process.js';
import {EndpointPool} from '../../src/gateway/placement/endpoint-pool.js';
import {eventually, Testbed} from './testbed.js';

const gapAimMilliseconds = 60;
const count = 8;
const shortGap = 20;
/** Longer than an endpoint may be silent before its stream looks for another one. */
const pauseMilliseconds = 1500;
/** Of the stream that fills the healthy endpoint: it ends after the stop. */
const longGap = 2000;
const stopSeconds = 5;

/** A suspension ends, and a trial is due, after this time. */
const suspensionMilliseconds = 700;

/** Reports an endpoint as unreachable until it is suspended, and waits until it is due for a trial. */
async function suspend(gateway: GatewayProcess, id: string): Promise<void> {
	const {record} = gateway.routingState.directory.entries.get(id)!;
	const pool = pools.at(-1)!;
	while (pool.isOpen(record, performance.now())) {
		pool.report(record, 'unreachable');
	}

	await new Promise(resolve => {
		setTimeout(resolve, suspensionMilliseconds);
	});
}

/** The endpoints of each gateway that was asked for one. */
const pools: EndpointPool[] = [];
const {available} = EndpointPool.prototype;
EndpointPool.prototype.available = function (...parameters) {
	pools.push(this);
	return available.apply(this, parameters);
};

// It left its endpoint, which was silent for a moment, for a suspended one that was due for a trial and gone; the stop ended it in the line.
tap.test('a stream that has begun does not leave a silent endpoint to try a suspended one', async t => {
	await using testbed = await Testbed.create({workersEach: 3});
	const {routes} = desiredState(2) as {routes: ReadonlyArray<Record<string, unknown>>};
	testbed.store.put('keyed.op', 'config', desiredState(2, {
		routes: routes.map(route => ({...route, timeoutMs: 9000, targetLatencyMs: 3000, maxAttempts: 4, ...(route.gapAimMs !== undefined && {gapAimMs: gapAimMilliseconds})})),
	}));
	for (const worker of testbed.ofService('models')) {
		testbed.store.put('keyed.servers', worker.id, worker.beat({slots: 1, seq: 2}));
	}

	testbed.respondWith('models', ({id}) => id === 'other'
		? {type: 'events', count, gapMilliseconds: longGap}
		: (id === 'pausing'
			? {type: 'events', count, gapsMilliseconds: [0, shortGap, shortGap, pauseMilliseconds, ...Array.from({length: count}, () => shortGap)]}
			: {type: 'events', count: 2, gapMilliseconds: 1}));
	const gateway = await testbed.startGateway({stopSeconds, retryRatio: 8});
	await eventually(() => gateway.routingState.table?.version === 2);
	await eventually(() => testbed.ofService('models').every(({id}) => gateway.routingState.directory.entries.get(id)?.record.slots === 1));
	const [gone] = testbed.ofService('models');
	await gone![Symbol.asyncDispose]();
	await testbed.send({path: '/chart/0', method: 'POST', id: 'first', body: 'first'});
	await suspend(gateway, gone!.id);
	const other = testbed.send({path: '/chart/1', method: 'POST', id: 'other', body: 'other', headers: {'deadline-ms': '9000'}});
	await eventually(() => testbed.attemptCount('other') === 1);
	const pausing = testbed.send({path: '/chart/2', method: 'POST', id: 'pausing', body: 'pausing', headers: {'deadline-ms': '9000'}});
	await eventually(() => testbed.attemptCount('pausing') === 1);
	const drained = gateway.drain();
	const {status, isComplete, body} = await pausing;
	t.same([status, isComplete], [200, true]);
	t.same([...body.matchAll(/^id: (\d+)$/gmv)].map(([, id]) => Number(id)), Array.from({length: count}, (_, index) => index + 1));
	t.equal(testbed.attemptCount('pausing'), 1);
	await drained;
	await other;
});
