import tap from 'tap';
import {type WorkerAnswer, type WorkerRequest} from '../../fakes/platform-worker.js';
import {plannedState, routesWith} from './planned-play.js';
import {eventually, Testbed} from './testbed.js';

const workerCount = 4;
const gapMilliseconds = 60;
const events = 70;
/** Longer than a break takes to count as a crash. */
const breakMilliseconds = 1300;

/** Streams go on; the same request under another id breaks off as long as it is told to. */
function answerOf({id}: WorkerRequest): WorkerAnswer {
	return id.startsWith('broken') ? {type: 'reset'} : {type: 'events', count: events, gapMilliseconds};
}

// A request that runs soundly was cut off when others like it were told as crashing endpoints.
tap.test('a stream goes on while the same request is refused as one that crashes endpoints', async t => {
	await using testbed = await Testbed.create({services: [], workersEach: 0});
	for (let number = 0; number < workerCount; number++) {
		const worker = await testbed.addWorker(`models-${number}`, 'models');
		worker.answer = answerOf;
	}

	testbed.store.put('keyed.op', 'config', plannedState(2, {routes: routesWith({maxAttempts: workerCount, timeoutMs: 20_000})}));
	const {routingState} = await testbed.startGateway({retryRatio: 9});
	await eventually(() => routingState.table?.version === 2 && routingState.directory.entries.size === workerCount);
	const send = async (id: string, path: string): Promise<{status: number; isComplete: boolean; body: string}> => testbed.send({path, method: 'POST', id, body: 'draw', headers: {'deadline-ms': '9000'}});
	const chart = send('chart', '/chart/1');
	const question = send('question', '/question/1');
	await eventually(() => testbed.attemptCount('chart') === 1 && testbed.attemptCount('question') === 1);
	await Promise.all([send('broken-1', '/chart/1'), send('broken-2', '/question/1')]);
	await new Promise(resolve => {
		setTimeout(resolve, breakMilliseconds);
	});
	t.ok(testbed.logLines.some(({msg}) => String(msg).includes('Endpoint crashed.')), 'endpoints are taken for crashed');
	const {status} = await send('again', '/chart/1');
	t.equal(status, 503, 'the same request is refused');
	for (const {body, isComplete} of [await chart, await question]) {
		t.ok(isComplete);
		t.equal(body.match(/^id: /gmv)?.length, events);
	}
});
