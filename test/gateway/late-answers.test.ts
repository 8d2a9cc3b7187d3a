import {once} from 'node:events';
import net from 'node:net';
import tap from 'tap';
import {desiredState} from '../../fakes/platform-state.js';
import {eventually, Testbed} from './testbed.js';

const route = {host: 'studio.example', timeoutMs: 9000, targetLatencyMs: 100, priority: 1, maxAttempts: 2, public: false, sticky: false, resumable: false};
const stopSeconds = 4;
/** A stop answers what is left so long before the platform ends the process. */
const endsAtMilliseconds = (stopSeconds * 1000) - 800;
const beforeMilliseconds = 150;
const deadlineMilliseconds = 300;
/** Longer than each of the moments is away. */
const blockedMilliseconds = 500;

/** A fleet whose endpoints answer at once; with the answer to `late` the loop is blocked, so that it lies unread. */
async function createTestbed(workersEach = 1): Promise<Testbed> {
	const testbed = await Testbed.create({services: ['orders'], workersEach});
	testbed.store.put('keyed.op', 'config', desiredState(2, {
		routes: [
			{...route, name: 'release', pathPrefix: '/release/', kind: 'unsafe', service: 'orders', maxAttempts: 1},
			{...route, name: 'lookup', pathPrefix: '/lookup/', kind: 'safe', service: 'orders'},
		],
	}));
	testbed.respondWith('orders', ({id}) => {
		if (id === 'late') {
			// Timers are run before the answer is read.
			setImmediate(block);
		}

		return {type: 'whole', body: `answer to ${id}`};
	});
	const gateway = await testbed.startGateway({stopSeconds});
	await eventually(() => gateway.routingState.table?.version === 2);
	await Promise.all(Array.from({length: 20}, async (_, number) => testbed.send({path: '/release/1', method: 'POST', id: `before-${number}`})));
	return testbed;
}

function block(): void {
	const end = performance.now() + blockedMilliseconds;
	while (performance.now() < end) {
		// The event loop reads nothing meanwhile.
	}
}

/** How the attempts and the exchange of `late` ended. */
async function outcomesOf({logLines}: Testbed): Promise<unknown[]> {
	const outcomes = (): unknown[] => logLines.filter(({request, outcome}) => request === 'late' && outcome !== undefined).map(({outcome}) => outcome);
	await eventually(() => outcomes().length > 0);
	return outcomes();
}

// The alarm of the deadline fired before the socket was read, and a 504 replaced the answer that lay there.
tap.test('an answer that lies unread when the deadline of its request passes is delivered', async t => {
	await using testbed = await createTestbed();
	const {status, body} = await testbed.send({path: '/release/1', method: 'POST', id: 'late', headers: {'deadline-ms': String(deadlineMilliseconds)}});
	t.same([status, body], [200, 'answer to late']);
	t.same(await outcomesOf(testbed), ['done']);
});

// The endpoint counted as silent, and the request was sent to another one.
tap.test('a request whose answer lies unread when its endpoint would count as silent is sent once', async t => {
	await using testbed = await createTestbed(2);
	const {status} = await testbed.send({id: 'late', headers: {'deadline-ms': '9000'}});
	t.equal(status, 200);
	t.equal(testbed.attemptCount('late'), 1);
	t.same(await outcomesOf(testbed), ['done'], 'its endpoint does not count as silent');
});

// The end of the stop replaced the answer by 502.
tap.test('an answer that lies unread at the end of a stop is delivered', async t => {
	await using testbed = await createTestbed();
	const [gateway] = testbed.gateways;
	const [host, port] = gateway!.gateway.address.split(':');
	const socket = net.connect(Number(port), host);
	let text = '';
	socket.on('data', (bytes: Uint8Array) => {
		text += String(bytes);
	});
	await once(socket, 'connect');
	socket.write('POST /release/1 HTTP/1.1\r\nHost: studio.example\r\nRequest-Id: late\r\nAuthorization: Bearer key-a\r\nDeadline-Ms: 9000\r\nContent-Length: 2\r\n\r\nh');
	void gateway!.drain();
	setTimeout(() => {
		socket.write('i');
	}, endsAtMilliseconds - beforeMilliseconds);
	await once(socket, 'close');
	t.equal(testbed.attemptCount('late'), 1);
	t.match(text, /^HTTP\/1\.1 200 [\s\S]*answer to late/v);
	t.same(await outcomesOf(testbed), ['done']);
});
