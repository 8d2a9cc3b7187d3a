import {once} from 'node:events';
import {Agent, type IncomingMessage, request as httpRequest} from 'node:http';
import tap from 'tap';
import {desiredState} from '../../fakes/platform-state.js';
import {type WorkerAnswer} from '../../fakes/platform-worker.js';
import {eventually, Testbed} from './testbed.js';

const targetMilliseconds = 60;
/** Longer than an endpoint may be silent before its request is sent elsewhere. */
const pauseMilliseconds = targetMilliseconds * 10;
const pieceBytes = 128 * 1024;
const pieces = 64;

async function createTestbed(answer: WorkerAnswer): Promise<Testbed> {
	const testbed = await Testbed.create();
	const {routes} = desiredState(2) as {routes: ReadonlyArray<Record<string, unknown>>};
	testbed.store.put('keyed.op', 'config', desiredState(2, {
		routes: routes.map(route => ({...route, timeoutMs: 9000, targetLatencyMs: targetMilliseconds, ...(route.gapAimMs !== undefined && {gapAimMs: targetMilliseconds})})),
	}));
	for (const worker of testbed.workers) {
		worker.answer = () => answer;
	}

	const gateway = await testbed.startGateway();
	await eventually(() => gateway.routingState.table?.version === 2);
	return testbed;
}

async function sleep(milliseconds: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, milliseconds);
	});
}

/** Sends a request whose caller reads nothing of the body for a while; returns how many bytes arrive, and whether they are all. */
async function readLate(testbed: Testbed, path: string, method: string): Promise<{bytes: number; isComplete: boolean}> {
	const [host, port] = testbed.gateways[0]!.gateway.address.split(':');
	const sent = httpRequest({
		host, port, method, path, agent: new Agent(), headers: {host: 'studio.example', 'request-id': 'late', authorization: 'Bearer key-a', 'deadline-ms': '9000'},
	});
	sent.end();
	const [response] = await once(sent, 'response') as [IncomingMessage];
	response.on('error', () => undefined);
	await sleep(pauseMilliseconds);
	let bytes = 0;
	response.on('data', (part: Uint8Array) => {
		bytes += part.length;
	});
	await once(response, 'close');
	return {bytes, isComplete: response.complete};
}

// An answer that had begun was taken for silence, however much of it arrived, and cut off: it could not be sent by another endpoint any more.
tap.test('an answer that takes long to be sent is not cut off', async t => {
	await using testbed = await createTestbed({type: 'pieces', count: pieces, bytes: pieceBytes, gapMilliseconds: 10});
	const {status, isComplete, body} = await testbed.send({id: 'long', headers: {'deadline-ms': '9000'}});
	t.same([status, isComplete, body.length], [200, true, pieces * pieceBytes]);
	t.equal(testbed.attemptCount('long'), 1);
});

// The same for a caller that stops reading for a while.
tap.test('an answer whose caller reads late is not cut off', async t => {
	await using testbed = await createTestbed({type: 'pieces', count: pieces, bytes: pieceBytes, gapMilliseconds: 0});
	t.same(await readLate(testbed, '/lookup/1', 'GET'), {bytes: pieces * pieceBytes, isComplete: true});
	t.equal(testbed.attemptCount('late'), 1);
});

// An answer that still fits into the buffer counted as silent while it arrived, and ran twice.
tap.test('an answer that arrives slowly is not asked for again', async t => {
	await using testbed = await createTestbed({type: 'pieces', count: 40, bytes: 100, gapMilliseconds: 20});
	const {status, isComplete} = await testbed.send({id: 'slow', headers: {'deadline-ms': '9000'}});
	t.same([status, isComplete], [200, true]);
	t.equal(testbed.attemptCount('slow'), 1);
});
