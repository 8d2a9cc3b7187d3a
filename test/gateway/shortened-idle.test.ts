import {once} from 'node:events';
import net from 'node:net';
import tap from 'tap';
import {desiredState} from '../../fakes/platform-state.js';
import {eventually, Testbed} from './testbed.js';

const shortMilliseconds = 300;
/** Longer than a connection is kept under the shorter limit, and a margin. */
const pauseMilliseconds = 2500;

type Connection = {readonly socket: net.Socket; text: string; isClosed: boolean};

async function connect(testbed: Testbed): Promise<Connection> {
	const [host, port] = testbed.gateways[0]!.gateway.address.split(':');
	const connection: Connection = {socket: net.connect(Number(port), host), text: '', isClosed: false};
	connection.socket.on('data', (bytes: Uint8Array) => {
		connection.text += String(bytes);
	});
	connection.socket.on('error', () => undefined);
	connection.socket.once('close', () => {
		connection.isClosed = true;
	});
	await once(connection.socket, 'connect');
	return connection;
}

function orderOf(id: string): string {
	return `POST /release/1 HTTP/1.1\r\nHost: studio.example\r\nRequest-Id: ${id}\r\nAuthorization: Bearer key-a\r\nDeadline-Ms: 1500\r\nContent-Length: 2\r\n\r\nhi`;
}

async function shorten(testbed: Testbed): Promise<void> {
	testbed.store.put('keyed.op', 'config', desiredState(2, {limits: {maxHeaderBytes: 16_384, maxBodyBytes: 100_000, headerTimeoutMs: 3000, idleTimeoutMs: shortMilliseconds}}));
	await eventually(() => testbed.gateways[0]!.routingState.table?.version === 2);
}

async function sleep(milliseconds: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, milliseconds);
	});
}

/** When a version shortens the limit, and how long the answer takes before. */
const moments = [
	{name: 'while its request runs', workMilliseconds: 800, isDuring: true},
	{name: 'while it is idle', workMilliseconds: 0, isDuring: false},
] as const;

// The answer announced 15 s, and the connection was closed after the newer, shorter limit: the next request of a caller that relied on it crossed the close.
for (const {name, workMilliseconds, isDuring} of moments) {
	tap.test(`a connection is kept as long as was announced if the limit is shortened ${name}`, async t => {
		await using testbed = await Testbed.create();
		testbed.respondWith('orders', () => ({type: 'whole', body: 'done', afterMilliseconds: workMilliseconds}));
		await testbed.startGateway();
		const connection = await connect(testbed);
		connection.socket.write(orderOf('first'));
		await eventually(() => testbed.attemptCount('first') === 1 && (isDuring || connection.text.includes('done')));
		await shorten(testbed);
		await eventually(() => connection.text.includes('done'));
		t.match(connection.text, /keep-alive: timeout=15\r\n/iv);
		await sleep(pauseMilliseconds);
		t.notOk(connection.isClosed);
		connection.socket.write(orderOf('second'));
		await eventually(() => connection.isClosed || connection.text.split('done').length === 3);
		t.equal(testbed.attemptCount('second'), 1);
		await eventually(() => connection.isClosed, pauseMilliseconds * 2);
		t.equal(testbed.gateways[0]!.gateway.openRequests, 0, 'the next answer announces the shorter limit, which is kept');
	});
}
