import {once} from 'node:events';
import net from 'node:net';
import tap from 'tap';
import {drainListenMilliseconds} from '../../src/gateway/index.js';
import {eventually, Testbed} from './testbed.js';

/** The load balancer checks each second and removes an instance after two failures; a response takes up to `responseMilliseconds`. */
const balancerMilliseconds = 2000;
const responseMilliseconds = 300;
/** A long request accepted later than this after the start of the shutdown would be cut off. */
const lastStartMilliseconds = 3000;
const timerMilliseconds = 200;

// 3.1 s after the start of a shutdown a caller sent a request on a keep-alive connection; its stream lasts four seconds and was cut
// off by the end of the shutdown. The port must stay open until the load balancer sends no more requests, and only as long as
// accepted requests can still complete.
tap.test('an instance that shuts down accepts requests until the load balancer has removed it, and none that it would cut off', async t => {
	t.ok(drainListenMilliseconds >= balancerMilliseconds + responseMilliseconds);
	t.ok(drainListenMilliseconds + timerMilliseconds < lastStartMilliseconds);
});

function textOf(id: string): string {
	return `POST /question/1 HTTP/1.1\r\nHost: studio.example\r\nRequest-Id: ${id}\r\nAuthorization: Bearer key-a\r\nDeadline-Ms: 9000\r\nContent-Length: 2\r\n\r\nhi`;
}

// A stream is in progress on a keep-alive connection. Its head was sent before the shutdown and does not announce that the connection
// closes, so the caller may send its next request there seconds later; that request was forwarded, and the end of the shutdown cut
// it off. The connection must be closed with the last byte of the stream instead.
tap.test('a keep-alive connection whose response began before the shutdown is closed after it', async t => {
	await using testbed = await Testbed.create();
	testbed.respondWith('models', () => ({type: 'events', count: 12, gapMilliseconds: 40}));
	const gateway = await testbed.startGateway();
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
	t.match(text, 'id: 12', 'the response in progress is complete');
	t.ok(text.endsWith('0\r\n\r\n'));
	t.equal(testbed.attemptCount('second'), 0, 'the next request was not forwarded');
	t.ok(await drained);
});

// The shutdown starts between a request's arrival and the head of its response, which then announces that the connection closes.
tap.test('a response that begins after the start of the shutdown announces that its connection closes', async t => {
	await using testbed = await Testbed.create();
	testbed.respondWith('orders', () => ({type: 'whole', body: 'done', afterMilliseconds: 300}));
	const gateway = await testbed.startGateway();
	const sent = testbed.send({id: 'slow'});
	await eventually(() => testbed.attemptCount('slow') === 1);
	const drained = gateway.drain();
	const {status, headers} = await sent;
	t.equal(status, 200);
	t.equal(headers.connection, 'close');
	t.ok(await drained);
});
