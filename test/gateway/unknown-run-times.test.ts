import {once} from 'node:events';
import net from 'node:net';
import tap from 'tap';
import {desiredState} from '../../fakes/platform-state.js';
import {eventually, Testbed} from './testbed.js';

const stopSeconds = 6;
const timeoutMilliseconds = 9000;
/** After the port has closed, and later than any request whose cut the rules excuse. */
const sentAfterMilliseconds = 3200;
const eventCount = 6;

// An instance that had served one short stream took a long one late in its grace, and cut it off: one run tells nothing of how long others take.
tap.test('a stream that is first on its connection late in a grace is not begun on the word of one short run', async t => {
	await using testbed = await Testbed.create({services: ['models'], workersEach: 1});
	testbed.store.put('keyed.op', 'config', desiredState(2, {
		routes: [{
			host: 'studio.example', name: 'question', pathPrefix: '/question/', kind: 'streaming', gapAimMs: 100, service: 'models', timeoutMs: timeoutMilliseconds, targetLatencyMs: 100, priority: 1, maxAttempts: 1, public: false, sticky: false, resumable: false,
		}],
	}));
	testbed.respondWith('models', ({id}) => ({type: 'events', count: eventCount, gapMilliseconds: id.startsWith('late') ? 700 : 2}));
	const gateway = await testbed.startGateway({stopSeconds});
	await eventually(() => gateway.routingState.table?.version === 2);
	await testbed.send({path: '/question/1', method: 'POST', id: 'before'});
	const drained = gateway.drain();
	const [host, port] = gateway.gateway.address.split(':');
	const socket = net.connect(Number(port), host);
	let text = '';
	let isClosed = false;
	socket.on('data', (bytes: Uint8Array) => {
		text += String(bytes);
	});
	socket.on('error', () => undefined);
	socket.once('close', () => {
		isClosed = true;
	});
	await once(socket, 'connect');
	const busy = testbed.send({path: '/question/1', method: 'POST', id: 'late-before', headers: {'deadline-ms': String(timeoutMilliseconds)}});
	await new Promise(resolve => {
		setTimeout(resolve, sentAfterMilliseconds);
	});
	socket.write(`POST /question/1 HTTP/1.1\r\nHost: studio.example\r\nRequest-Id: late\r\nAuthorization: Bearer key-a\r\nDeadline-Ms: ${timeoutMilliseconds}\r\nContent-Length: 2\r\n\r\nhi`);
	await eventually(() => isClosed);
	const answered = await busy;
	const {status} = answered;
	t.equal(status, 200, 'another request holds the process');
	t.match(text, /^HTTP\/1\.1 (?:503|200[\s\S]*id: 6[\s\S]*0\r\n\r\n$)/v);
	t.ok(await drained);
});
