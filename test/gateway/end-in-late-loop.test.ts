import tap from 'tap';
import {type WorkerAnswer} from '../../fakes/platform-worker.js';
import {plannedRoute, plannedState} from './planned-play.js';
import {eventually, Testbed, type TestRequest} from './testbed.js';

const stopSeconds = 4;
/** The schedule of a stop ends 0.8 s before the platform would end the process, and the wait for it 0.6 s before: the loop is late over both. */
const blockedFromMilliseconds = 3100;
const blockedMilliseconds = 500;
/** Answers and last events come while the loop is late. */
const workMilliseconds = 3250;

const routes = [
	{...plannedRoute, timeoutMs: 9000, name: 'lookup', pathPrefix: '/lookup/', kind: 'safe', service: 'orders'},
	{...plannedRoute, timeoutMs: 9000, name: 'release', pathPrefix: '/release/', kind: 'unsafe', service: 'orders', maxAttempts: 1},
	{...plannedRoute, timeoutMs: 9000, name: 'chart', pathPrefix: '/chart/', kind: 'streaming', service: 'orders', resumable: true, gapAimMs: 9000},
	{...plannedRoute, timeoutMs: 9000, name: 'question', pathPrefix: '/question/', kind: 'streaming', service: 'orders', maxAttempts: 1, gapAimMs: 9000},
];

const whole: WorkerAnswer = {type: 'whole', body: 'done', afterMilliseconds: workMilliseconds};
const stream: WorkerAnswer = {type: 'events', count: 2, gapMilliseconds: workMilliseconds / 2};
const answers: Readonly<Record<string, WorkerAnswer>> = {lookup: whole, release: whole, parts: whole, chart: stream, question: stream, silent: {type: 'silent'}};

const requests: readonly TestRequest[] = [
	{id: 'lookup', path: '/lookup/1'},
	{id: 'release', path: '/release/1', method: 'POST', body: 'hi'},
	{id: 'parts', path: '/release/1', method: 'POST', body: 'hi', headers: {'transfer-encoding': 'chunked'}},
	{id: 'chart', path: '/chart/1', method: 'POST', body: 'hi'},
	{id: 'question', path: '/question/1', method: 'POST', body: 'hi'},
	{id: 'silent', path: '/release/1', method: 'POST', body: 'hi'},
];

function block(): void {
	const until = performance.now() + blockedMilliseconds;
	while (performance.now() < until) {
		// The event loop reads nothing meanwhile.
	}
}

// A loop that was late over the end of a stop closed its connections before it read what lay there and answered what was due: callers got nothing, and the log had no line.
tap.test('what ends or is due at the end of a stop has its answer although the loop is late then', async t => {
	await using testbed = await Testbed.create({services: ['orders'], workersEach: 1});
	testbed.store.put('keyed.op', 'config', plannedState(2, {routes}));
	testbed.respondWith('orders', ({id}) => answers[id]!);
	const gateway = await testbed.startGateway({stopSeconds});
	await eventually(() => gateway.routingState.table?.version === 2);
	const sent = requests.map(async request => testbed.send({...request, headers: {...request.headers, 'deadline-ms': '9000'}}));
	await eventually(() => requests.every(({id}) => testbed.attemptCount(id!) === 1));
	setTimeout(block, blockedFromMilliseconds);
	await gateway.drain();
	await gateway[Symbol.asyncDispose]();
	testbed.gateways.shift();
	const received = await Promise.all(sent);
	t.same(received.map(({status, isComplete}, number) => [requests[number]!.id, status, isComplete]), requests.map(({id}) => [id, id === 'silent' ? 502 : 200, true]));
	for (const {id} of requests) {
		t.ok(testbed.logLines.some(({msg, request}) => msg === 'Request: Sent.' && request === id), `${id} has its line`);
	}
});
