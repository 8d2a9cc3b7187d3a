import {once} from 'node:events';
import net from 'node:net';
import tap from 'tap';
import {desiredState} from '../../fakes/platform-state.js';
import {eventually, Testbed} from './testbed.js';

const stopSeconds = 4;
/** The route's timeout and the caller's deadline reach beyond the end of the grace. */
const longMilliseconds = 9000;
const workMilliseconds = 2500;

type Reply = {text: string; isClosed: boolean; closedAfterMilliseconds: number};

const route = {host: 'studio.example', timeoutMs: longMilliseconds, targetLatencyMs: 100, priority: 1, maxAttempts: 2, public: false, sticky: false, resumable: false};

async function createTestbed(workMillisecondsOf: (id: string) => number, more: Readonly<Record<string, unknown>> = {}): Promise<Testbed> {
	const testbed = await Testbed.create({services: ['orders'], workersEach: 1});
	testbed.store.put('keyed.op', 'config', desiredState(2, {
		routes: [
			{...route, name: 'release', pathPrefix: '/release/', kind: 'unsafe', service: 'orders', maxAttempts: 1},
			{...route, name: 'lookup', pathPrefix: '/lookup/', kind: 'safe', service: 'orders'},
		], ...more,
	}));
	testbed.respondWith('orders', ({id}) => ({type: 'whole', body: `answer to ${id}`, afterMilliseconds: workMillisecondsOf(id)}));
	const gateway = await testbed.startGateway({stopSeconds});
	await eventually(() => gateway.routingState.table?.version === 2);
	return testbed;
}

async function sleep(milliseconds: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, milliseconds);
	});
}

/** Opens a connection that a caller keeps until the process is gone. */
async function connect(testbed: Testbed): Promise<{socket: net.Socket; reply: Reply}> {
	const startedAt = performance.now();
	const [host, port] = testbed.gateways[0]!.gateway.address.split(':');
	const socket = net.connect(Number(port), host);
	const reply: Reply = {text: '', isClosed: false, closedAfterMilliseconds: Infinity};
	socket.on('data', (bytes: Uint8Array) => {
		reply.text += String(bytes);
	});
	socket.on('error', () => undefined);
	socket.once('close', () => {
		reply.isClosed = true;
		reply.closedAfterMilliseconds = performance.now() - startedAt;
	});
	await once(socket, 'connect');
	return {socket, reply};
}

function headOf(id: string, path = '/release/1'): string {
	return `POST ${path} HTTP/1.1\r\nHost: studio.example\r\nRequest-Id: ${id}\r\nAuthorization: Bearer key-a\r\nDeadline-Ms: ${longMilliseconds}\r\nContent-Length: 4\r\n\r\n`;
}

/** Stops the gateway and then ends it, as its program does. */
async function stop(testbed: Testbed): Promise<boolean> {
	const [gateway] = testbed.gateways;
	const isWhole = await gateway!.drain();
	await gateway![Symbol.asyncDispose]();
	testbed.gateways.shift();
	return isWhole;
}

// A body that ended late in the grace was taken and its request passed on; the end of the grace cut it off, and nobody knew whether it had run.
tap.test('a request whose body ends too late in the grace is answered that it has not run', async t => {
	await using testbed = await createTestbed(() => workMilliseconds);
	await testbed.send({path: '/release/1', method: 'POST', id: 'before'});
	const {socket, reply} = await connect(testbed);
	socket.write(headOf('late'));
	socket.write('hi');
	await sleep(50);
	const stopped = stop(testbed);
	await sleep(2600);
	socket.write('!!');
	const isWhole = await stopped;
	t.match(reply.text, /^HTTP\/1\.1 503 /v);
	t.match(reply.text, /retry-after: /iv);
	t.equal(testbed.attemptCount('late'), 0);
	t.ok(isWhole, 'nothing is cut off');
});

// A body that does not end at all: its caller must not wait for the end of the process either.
tap.test('a request whose body does not end is answered while there is still time to go elsewhere', async t => {
	await using testbed = await createTestbed(() => workMilliseconds);
	await testbed.send({path: '/release/1', method: 'POST', id: 'before'});
	const {socket, reply} = await connect(testbed);
	socket.write(headOf('unfinished'));
	const startedAt = performance.now();
	const stopped = stop(testbed);
	await eventually(() => reply.text.length > 0 || reply.isClosed);
	t.match(reply.text, /^HTTP\/1\.1 503 /v);
	t.ok(performance.now() - startedAt < 1500, 'at the last moment at which it could have been begun');
	t.ok(await stopped);
});

// Short requests do end in the grace, however late they come: refusing them would cost their callers a way to another instance.
tap.test('a short request whose body ends late in the grace is served', async t => {
	await using testbed = await createTestbed(() => 20);
	await Promise.all(Array.from({length: 10}, async (_, number) => testbed.send({path: '/release/1', method: 'POST', id: `before-${number}`})));
	const {socket, reply} = await connect(testbed);
	socket.write(headOf('short'));
	await sleep(50);
	const stopped = stop(testbed);
	await sleep(2600);
	socket.write('hi!!');
	t.ok(await stopped);
	t.match(reply.text, /^HTTP\/1\.1 200 [\s\S]*answer to short/v);
});

// Requests that waited for a place were begun late in the grace, and cut off.
tap.test('a request that waits for room until too late in the grace is answered that it has not run', async t => {
	await using testbed = await createTestbed(() => workMilliseconds, {services: [{name: 'orders', maxConnections: 1}]});
	const [worker] = testbed.workers;
	testbed.store.put('keyed.servers', worker!.id, worker!.beat({slots: 1, seq: 2}));
	await sleep(200);
	await testbed.send({path: '/release/1', method: 'POST', id: 'before', headers: {'deadline-ms': String(longMilliseconds)}});
	const sent = Array.from({length: 4}, async (_, number) => testbed.send({path: '/release/1', method: 'POST', id: `waits-${number}`, headers: {'deadline-ms': String(longMilliseconds)}}));
	await eventually(() => testbed.attemptCount('waits-0') === 1);
	const isWhole = await stop(testbed);
	const answers = await Promise.all(sent);
	t.ok(answers.every(({status, isComplete}) => (status === 200 || status === 503) && isComplete), answers.map(({status}) => status).join(', '));
	t.ok(answers.every(({status}, number) => status !== 503 || testbed.attemptCount(`waits-${number}`) === 0), 'what is answered 503 has not run');
	t.ok(isWhole);
});

// A request that failed late in the grace was sent again, and cut off.
tap.test('a request that fails too late in the grace is not sent again', async t => {
	await using testbed = await createTestbed(() => workMilliseconds);
	await testbed.addWorker('other', 'orders');
	testbed.respondWith('orders', () => ({type: 'whole', body: 'slow', afterMilliseconds: workMilliseconds}));
	await testbed.send({path: '/lookup/1', id: 'before', headers: {'deadline-ms': String(longMilliseconds)}});
	let attempts = 0;
	testbed.respondWith('orders', ({id}) => {
		attempts += id === 'fails' ? 1 : 0;
		return id === 'fails' && attempts === 1 ? {type: 'crash', afterMilliseconds: 2000} : {type: 'whole', body: 'late', afterMilliseconds: workMilliseconds};
	});
	const sent = testbed.send({path: '/lookup/1', id: 'fails', headers: {'deadline-ms': String(longMilliseconds)}});
	await eventually(() => testbed.attemptCount('fails') === 1);
	t.ok(await stop(testbed));
	const {status, isComplete} = await sent;
	t.same([status, isComplete], [502, true], 'it may have run');
	t.equal(testbed.attemptCount('fails'), 1);
});

// A request that takes longer than the grace was cut off without an answer at its end.
tap.test('a request that does not end in the grace is answered that it may have run', async t => {
	await using testbed = await createTestbed(() => 2 * longMilliseconds);
	const sent = testbed.send({path: '/release/1', method: 'POST', id: 'long', headers: {'deadline-ms': String(longMilliseconds)}});
	await eventually(() => testbed.attemptCount('long') === 1);
	t.ok(await stop(testbed));
	const {status, isComplete} = await sent;
	t.same([status, isComplete], [502, true]);
});

// The connection was closed while the body still came; the reset overtook the answer, and the caller saw a closed connection alone.
tap.test('a caller who is still sending its body gets the answer that its request has not run', async t => {
	await using testbed = await createTestbed(() => workMilliseconds);
	await testbed.send({path: '/release/1', method: 'POST', id: 'before'});
	const {socket, reply} = await connect(testbed);
	socket.pause();
	socket.write(headOf('sending').replace('Content-Length: 4', 'Content-Length: 60000'));
	const timer = setInterval(() => {
		socket.write('x'.repeat(100));
	}, 10);
	await sleep(50);
	const stopped = stop(testbed);
	await sleep(200);
	socket.resume();
	await eventually(() => reply.isClosed);
	clearInterval(timer);
	t.match(reply.text, /^HTTP\/1\.1 503 [\s\S]*has not run/v);
	t.ok(await stopped);
});

const moments = 17;
const momentMilliseconds = 200;
const shortMilliseconds = 100;
/** The process ends so long before the platform would end it, and has sent its last answers. */
const marginsMilliseconds = 800;

// At each moment of the grace something may become ready to be begun: none of it may be cut off, and none refused that had the time.
tap.test('of requests whose bodies end at each moment of the grace none is cut off, and none refused that could have ended', async t => {
	await using testbed = await createTestbed(() => shortMilliseconds);
	await Promise.all(Array.from({length: 20}, async (_, number) => testbed.send({path: '/release/1', method: 'POST', id: `before-${number}`})));
	const connections = await Promise.all(Array.from({length: moments}, async () => connect(testbed)));
	for (const [number, {socket}] of connections.entries()) {
		socket.write(headOf(`moment-${number}`));
	}

	await sleep(50);
	const stopped = stop(testbed);
	for (const [number, {socket}] of connections.entries()) {
		setTimeout(() => {
			socket.write('hi!!');
		}, number * momentMilliseconds);
	}

	t.ok(await stopped);
	const statuses = connections.map(({reply}) => Number(/^HTTP\/1\.1 (?<status>\d+)/v.exec(reply.text)?.groups?.status ?? 0));
	const lastMilliseconds = (stopSeconds * 1000) - marginsMilliseconds - (5 * shortMilliseconds);
	for (const [number, status] of statuses.entries()) {
		const couldEnd = number * momentMilliseconds < lastMilliseconds;
		t.ok(couldEnd ? status === 200 : [200, 502, 503].includes(status), `${number * momentMilliseconds} ms: ${status}`);
		t.ok(status !== 503 || testbed.attemptCount(`moment-${number}`) === 0, 'what is answered 503 has not run');
	}
});
