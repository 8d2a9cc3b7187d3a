import tap from 'tap';
import {type BrokenAnswer, brokenAnswers, BrokenServer, longUploadBytes} from '../../fakes/broken-server.js';
import {ConnectionPool} from '../../src/gateway/endpoints/connection-pool.js';
import {Attempt, type AttemptEvent} from '../../src/gateway/requests/attempt.js';
import {Testbed} from './testbed.js';

/** Longer than a reset comes after the head. */
const pauseMilliseconds = 50;

type Play = {
	/** Whether the answer is not read for a moment once its head has come. */
	readonly pausesAtHead: boolean;
	/** Whether a request before it has left its connection open. */
	readonly isKept: boolean;
};

/** Sends a request with a long body, and returns the last event of its attempt. */
async function lastEventOf(port: number, {pausesAtHead, isKept}: Play): Promise<AttemptEvent> {
	const connectionPool = ConnectionPool.create(4);
	if (isKept) {
		await attempt(port, {connectionPool, body: new Uint8Array(1), pausesAtHead: false});
	}

	const last = await attempt(port, {connectionPool, body: new Uint8Array(longUploadBytes), pausesAtHead});
	connectionPool.destroy();
	return last;
}

async function attempt(port: number, {connectionPool, body, pausesAtHead}: {connectionPool: ConnectionPool; body: Uint8Array; pausesAtHead: boolean}): Promise<AttemptEvent> {
	return new Promise<AttemptEvent>(resolve => {
		const started = Attempt.start({
			address: `127.0.0.1:${port}`, method: 'POST', path: '/', headers: ['Host', 'a.example', 'Content-Length', String(body.length)], body, connectionPool, mayRunAgain: true,
			onEvent(event) {
				if (event.type === 'head' && pausesAtHead) {
					started.pause();
					setTimeout(() => {
						started.resume();
					}, pauseMilliseconds);
				}

				if (event.type === 'end' || event.type === 'broken') {
					resolve(event);
				}
			},
		});
	});
}

// A caller got the part of an answer that was reset as a whole one.
for (const isKept of [false, true]) {
	tap.test(`an attempt on a ${isKept ? 'kept' : 'new'} connection whose answer breaks off is broken, also while its body is being written`, async t => {
		let answer: BrokenAnswer;
		await using server = await BrokenServer.create(() => answer, {keepsFirst: isKept});
		for (const broken of brokenAnswers) {
			for (const pausesAtHead of [false, true]) {
				for (const part of ['half of it', '']) {
					answer = {...broken, headers: [], part};
					t.match(await lastEventOf(server.port, {pausesAtHead, isKept}), {type: 'broken', verdict: 'may-have-run'}, JSON.stringify({...broken, pausesAtHead, part}));
				}
			}
		}
	});
}

// A caller who read slowly got a failure in place of the answer that its endpoint had made.
tap.test('an answer that is whole by its length is whole although its connection is reset while its caller reads slowly', async t => {
	await using server = await BrokenServer.create(() => ({framing: 'length', ending: 'reset', readsRequest: false, missingBytes: 0, headers: [], part: 'all of it.'}));
	t.match(await lastEventOf(server.port, {pausesAtHead: true, isKept: false}), {type: 'end'});
});

const requests = [
	{name: 'a request that may run once', method: 'POST', path: '/release/1', service: 'orders', part: 'half of it'},
	{name: 'a stream', method: 'POST', path: '/question/1', service: 'models', part: 'id: 0\ndata: a\n\n'},
] as const;

// The same, as its caller sees it.
for (const {name, method, path, service, part} of requests) {
	tap.test(`the answer to ${name} that breaks off does not look whole`, async t => {
		for (const broken of brokenAnswers) {
			await using testbed = await Testbed.create({services: []});
			await using server = await BrokenServer.create(() => ({...broken, headers: ['Request-Id: cut', 'Upstream-Signature: s', 'Content-Type: text/event-stream'], part}));
			testbed.store.put('keyed.servers', 'cut', {service, address: `127.0.0.1:${server.port}`, zone: 'zone-a', version: 'v1', slots: 16, state: 'ready', seq: 1});
			await testbed.startGateway();
			const {status, isComplete} = await testbed.send({id: 'cut', method, path, body: 'x'.repeat(90_000)});
			t.ok(status === 502 || !isComplete, `${status}, ${isComplete}: ${JSON.stringify(broken)}`);
		}
	});
}

// A caller's parser took the first bytes of the next endpoint's events for the end of the stream, and the others for another answer.
tap.test('a stream whose endpoint said its length and that goes on elsewhere has no such length', async t => {
	await using testbed = await Testbed.create({services: ['models'], workersEach: 1});
	testbed.respondWith('models', () => ({type: 'events', count: 6}));
	const [sound] = testbed.workers;
	testbed.store.put('keyed.servers', sound!.id, sound!.beat({zone: 'zone-b', seq: 2}));
	let id = '';
	await using server = await BrokenServer.create(() => ({
		framing: 'length', ending: 'closed', readsRequest: true, headers: [`Request-Id: ${id}`, 'Upstream-Signature: s', 'Content-Type: text/event-stream'], part: `id: 1\ndata: ${id} 1\n\n`,
	}));
	testbed.store.put('keyed.servers', 'cut', {service: 'models', address: `127.0.0.1:${server.port}`, zone: 'zone-a', version: 'v1', slots: 16, state: 'ready', seq: 1});
	await testbed.startGateway();
	for (let number = 0; number < 10; number++) {
		id = `length-${number}`;
		const {status, isComplete, body} = await testbed.send({id, method: 'POST', path: '/chart/1', body: 'x'});
		t.match({status, events: body.split('\n\n').length - 1, isComplete}, {status: 200, events: 6, isComplete: true}, JSON.stringify(body));
	}
});

const closed = {framing: 'none', ending: 'closed', readsRequest: true} as const;

// Callers got an answer whose status is none.
tap.test('an answer whose status is none is not forwarded', async t => {
	for (const {method, path, service} of [...requests, {method: 'GET', path: '/lookup/1', service: 'orders'}]) {
		for (const status of ['000', '001', '099', '600', '999']) {
			await using testbed = await Testbed.create({services: []});
			await using server = await BrokenServer.create(() => ({...closed, statusLine: `HTTP/1.1 ${status} X`, headers: ['Request-Id: odd', 'Upstream-Signature: s'], part: 'ok'}));
			testbed.store.put('keyed.servers', 'odd', {service, address: `127.0.0.1:${server.port}`, zone: 'zone-a', version: 'v1', slots: 16, state: 'ready', seq: 1});
			await testbed.startGateway();
			const received = await testbed.send({id: 'odd', method, path, body: method === 'POST' ? 'x' : undefined});
			t.match({status: received.status, signature: received.headers['upstream-signature']}, {status: 502, signature: undefined}, `${path}, ${status}`);
		}
	}
});
