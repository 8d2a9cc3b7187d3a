import {once} from 'node:events';
import net from 'node:net';
import tap from 'tap';
import {drainListenMilliseconds} from '../../src/gateway/index.js';
import {eventually, World} from './testbed.js';

/** The balancer asks each second and takes an instance out after two misses; an answer takes up to this. */
const balancerMilliseconds = 2000;
const answerMilliseconds = 300;
/** What is taken later than this after the stop began is cut if it is long. */
const lastStartMilliseconds = 3000;
const timerMilliseconds = 200;

// An instance is stopped. A caller's connection was kept, and 3.1 s later it sent a request there whose stream
// lasts four seconds; the stop's end cut it in the middle. The port has to stay open until the balancer
// sends nobody any more, and no longer than what is taken can still end.
tap.test('a stopping instance takes requests until the balancer knows, and none that it would cut', async t => {
	t.ok(drainListenMilliseconds >= balancerMilliseconds + answerMilliseconds);
	t.ok(drainListenMilliseconds + timerMilliseconds < lastStartMilliseconds);
});

function textOf(id: string): string {
	return `POST /question/1 HTTP/1.1\r\nHost: studio.example\r\nRequest-Id: ${id}\r\nAuthorization: Bearer key-a\r\nDeadline-Ms: 9000\r\nContent-Length: 2\r\n\r\nhi`;
}

// A stream is under way on a kept connection, and its head left before the stop began, so without a word that
// the connection closes. The caller rightly sends its next request there seconds later; it was read and passed on, and
// the stop's end cut it in the middle. The connection is closed with the stream's last byte instead.
tap.test('a kept connection whose answer began before the stop carries nothing after it', async t => {
	await using world = await World.create();
	world.answerWith('models', () => ({type: 'events', count: 12, gapMilliseconds: 40}));
	const gateway = await world.startGateway();
	const [host, port] = gateway.gateway.address.split(':');
	const socket = net.connect(Number(port), host);
	let text = '';
	let isClosed = false;
	socket.on('data', (bytes: Uint8Array) => {
		text += String(bytes);
		if (text.endsWith('0\r\n\r\n')) {
			socket.write(textOf('second'));
		}
	});
	socket.on('error', () => undefined);
	socket.once('close', () => {
		isClosed = true;
	});
	await once(socket, 'connect');
	socket.write(textOf('first'));
	await eventually(() => text.includes('id: 1'));
	const drained = gateway.drain();
	await eventually(() => isClosed);
	t.match(text, 'id: 12', 'the answer that was under way is whole');
	t.ok(text.endsWith('0\r\n\r\n'));
	t.equal(world.arrivals('second'), 0, 'what came after it was not passed on');
	t.ok(await drained);
});

// The stop comes between a request's arrival and its answer's head: the head says that the connection closes.
tap.test('an answer that begins after the stop says that its connection closes', async t => {
	await using world = await World.create();
	world.answerWith('orders', () => ({type: 'whole', body: 'done', afterMilliseconds: 300}));
	const gateway = await world.startGateway();
	const asked = world.ask({id: 'slow'});
	await eventually(() => world.arrivals('slow') === 1);
	const drained = gateway.drain();
	const {status, headers} = await asked;
	t.equal(status, 200);
	t.equal(headers.connection, 'close');
	t.ok(await drained);
});
