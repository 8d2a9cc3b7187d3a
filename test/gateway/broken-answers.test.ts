import tap from 'tap';
import {type BrokenAnswer, brokenAnswers, BrokenServer, longUploadBytes} from '../../fakes/broken-server.js';
import {ConnectionPool} from '../../src/gateway/endpoints/connection-pool.js';
import {Attempt, type AttemptEvent} from '../../src/gateway/requests/attempt.js';
import {Testbed} from './testbed.js';

/** Sends one request with a long body, and returns the last event of the attempt. */
async function lastEventOf(port: number, pausesAtHead: boolean): Promise<AttemptEvent> {
	const connectionPool = ConnectionPool.create(4);
	const last = await new Promise<AttemptEvent>(resolve => {
		const attempt = Attempt.start({
			address: `127.0.0.1:${port}`, method: 'POST', path: '/', headers: ['Host', 'a.example', 'Content-Length', String(longUploadBytes)],
			body: new Uint8Array(longUploadBytes), connectionPool, mayRunAgain: true,
			onEvent(event) {
				if (event.type === 'head' && pausesAtHead) {
					attempt.pause();
					setTimeout(() => {
						attempt.resume();
					}, 50);
				}

				if (event.type === 'end' || event.type === 'broken') {
					resolve(event);
				}
			},
		});
	});
	connectionPool.destroy();
	return last;
}

// A caller got the part of an answer that was reset as a whole one.
tap.test('an attempt whose answer breaks off is broken, also while its body is being written', async t => {
	let answer: BrokenAnswer;
	await using server = await BrokenServer.create(() => answer);
	for (const broken of brokenAnswers) {
		for (const pausesAtHead of [false, true]) {
			answer = {...broken, headers: [], part: 'half of it'};
			t.match(await lastEventOf(server.port, pausesAtHead), {type: 'broken', verdict: 'may-have-run'}, JSON.stringify({...broken, pausesAtHead}));
		}
	}
});

// A caller who read slowly got a failure in place of the answer that its endpoint had made.
tap.test('an answer that is whole by its length is whole although its connection is reset while its caller reads slowly', async t => {
	await using server = await BrokenServer.create(() => ({framing: 'none', ending: 'reset', readsRequest: false, headers: ['Content-Length: 10'], part: 'all of it.'}));
	t.match(await lastEventOf(server.port, true), {type: 'end'});
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

// Callers got an answer whose status is none.
tap.test('an answer whose status is none is not forwarded', async t => {
	for (const {method, path, service} of [...requests, {method: 'GET', path: '/lookup/1', service: 'orders'}]) {
		for (const status of ['000', '001', '099', '600', '999']) {
			await using testbed = await Testbed.create({services: []});
			const answer: BrokenAnswer = {framing: 'none', ending: 'closed', readsRequest: true, headers: ['Request-Id: odd', 'Upstream-Signature: s'], part: 'ok'};
			await using server = await BrokenServer.create(() => answer, `HTTP/1.1 ${status} X`);
			testbed.store.put('keyed.servers', 'odd', {service, address: `127.0.0.1:${server.port}`, zone: 'zone-a', version: 'v1', slots: 16, state: 'ready', seq: 1});
			await testbed.startGateway();
			const received = await testbed.send({id: 'odd', method, path, body: method === 'POST' ? 'x' : undefined});
			t.match({status: received.status, signature: received.headers['upstream-signature']}, {status: 502, signature: undefined}, `${path}, ${status}`);
		}
	}
});
