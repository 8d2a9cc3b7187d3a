import {once} from 'node:events';
import net, {type AddressInfo} from 'node:net';
import tap from 'tap';
import {httpCall} from '../../platform/http-call.js';
import {Attempt, type AttemptEvent} from '../../src/gateway/requests/attempt.js';
import {ConnectionPool} from '../../src/gateway/endpoints/connection-pool.js';

const waitMilliseconds = 5000;
const pieceBytes = 65_536;
const maxReceivedBytes = 8 * 1024 * 1024;
const head = 'HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nUpstream-Signature: s\r\n';

type Endless = {readonly name: string; readonly start: string; readonly piece: string; readonly isAnswered?: boolean};
/** Bytes that are no response, or no part of one that means anything, for as long as the connection is open. */
const endless: readonly Endless[] = [
	{name: 'no status line', start: '', piece: 'x'},
	{name: 'a header', start: `${head}X: `, piece: 'x'},
	{name: 'informational responses', start: '', piece: 'HTTP/1.1 100 Continue\r\n\r\n'},
	{name: 'the length of a chunk', start: `${head}Transfer-Encoding: chunked\r\n\r\n`, piece: '0'},
	{name: 'the extension of a chunk', start: `${head}Transfer-Encoding: chunked\r\n\r\n1;x=`, piece: 'x'},
	{name: 'trailers', start: `${head}Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n`, piece: 'x: x\r\n'},
	{name: 'chunks of a byte with a long extension', start: `${head}Transfer-Encoding: chunked\r\n\r\n`, piece: `1;${'x'.repeat(200)}\r\nx\r\n`},
	{name: 'more than the length', start: `${head}Content-Length: 1\r\n\r\n`, piece: 'x', isAnswered: true},
];

type Source = {readonly port: number; written: () => number; [Symbol.asyncDispose](): Promise<void>};

/** A server that writes without end to whoever connects, until the connection closes. */
async function serveEndless({start, piece}: Endless): Promise<Source> {
	const sockets = new Set<net.Socket>();
	const server = net.createServer(socket => {
		sockets.add(socket);
		socket.on('error', () => undefined);
		const block = piece.repeat(Math.ceil(pieceBytes / piece.length));
		const write = (): void => {
			while (!socket.destroyed && socket.write(block)) {
				// Until the connection takes no more for the moment.
			}
		};

		socket.on('drain', write);
		socket.once('data', () => {
			socket.write(start);
			write();
		});
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	return {
		port: (server.address() as AddressInfo).port,
		written: () => [...sockets].reduce((sum, {bytesWritten, writableLength}) => sum + bytesWritten - writableLength, 0),
		async [Symbol.asyncDispose]() {
			for (const socket of sockets) {
				socket.destroy();
			}

			server.close();
		},
	};
}

// A length of a chunk without end was read until the deadline, hundreds of megabytes from a few connections.
for (const one of endless) {
	tap.test(`an endpoint that sends ${one.name} without end is given up after a bounded number of bytes`, async t => {
		await using source = await serveEndless(one);
		const connectionPool = ConnectionPool.create(4);
		const events: AttemptEvent[] = [];
		await new Promise<void>(resolve => {
			const timer = setTimeout(resolve, waitMilliseconds);
			Attempt.start({
				address: `127.0.0.1:${source.port}`, method: 'GET', path: '/', headers: ['Host', 'a.example'], body: undefined, connectionPool, mayRunAgain: true,
				onEvent(event) {
					events.push(event);
					if (event.type === 'end' || event.type === 'broken') {
						clearTimeout(timer);
						resolve();
					}
				},
			});
		});
		connectionPool.destroy();
		t.ok(events.at(-1)?.type === 'broken' || (one.isAnswered && events.at(-1)?.type === 'end'));
		t.ok(source.written() < maxReceivedBytes, `${source.written()} bytes`);
	});
}

const megabyte = 1024 * 1024;
const maxCallBytes = 64 * megabyte;

// Calls to the store, to the receiver of reports and to engines read whatever came until their time was over.
for (const one of [...endless, {name: 'a body', start: `${head}\r\n`, piece: 'x'}]) {
	tap.test(`a call to the platform that gets ${one.name} without end fails after a bounded number of bytes`, async t => {
		await using source = await serveEndless(one);
		const startedAt = performance.now();
		const call = httpCall({host: '127.0.0.1', port: source.port, method: 'GET', path: '/', timeoutMilliseconds: 60_000});
		const isAnswered = await call.then(() => true, () => false);
		t.ok(!isAnswered || one.isAnswered, 'no response');
		t.ok(performance.now() - startedAt < 20_000);
		t.ok(source.written() < maxCallBytes, `${source.written()} bytes`);
	});
}
