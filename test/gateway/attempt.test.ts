import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import net, {type AddressInfo} from 'node:net';
import {setImmediate as nextTurn} from 'node:timers/promises';
import tap from 'tap';
import {Attempt, type AttemptEvent} from '../../src/gateway/requests/attempt.js';
import {ConnectionPool} from '../../src/gateway/endpoints/connection-pool.js';

type Respond = (socket: net.Socket) => void;

/** Sends one request to an endpoint that responds like this, and returns all events of the attempt. `onStarted` runs in the turn in which the attempt was started. */
async function attemptAgainst(respond: Respond, onStarted?: () => void): Promise<AttemptEvent[]> {
	const server = net.createServer(socket => {
		socket.once('data', () => {
			respond(socket);
		});
		socket.on('error', () => undefined);
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const connectionPool = ConnectionPool.create(4);
	const events: AttemptEvent[] = [];
	await nextTurn();
	await new Promise<void>(resolve => {
		Attempt.start({
			address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
			method: 'GET', path: '/', headers: ['Host', 'a.example'], body: undefined, connectionPool, mayRunAgain: true,
			onEvent(event) {
				events.push(event);
				if (event.type === 'end' || event.type === 'broken') {
					resolve();
				}
			},
		});
		onStarted?.();
	});
	connectionPool.destroy();
	server.close();
	return events;
}

/** A turn of the event loop that takes longer than an attempt waits for its connection. */
const lateTurnMilliseconds = 500;
const head = 'HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n';

// A response without a length ends with its connection. If the worker's process dies in the middle, the connection is reset; a
// parser that is told only that no more bytes come would take the part for a complete response, and the caller would get it
// framed as complete.
tap.test('a response without a length whose connection is reset is incomplete', async t => {
	const events = await attemptAgainst(socket => {
		socket.write(`${head}\r\nhalf of it`, () => {
			setTimeout(() => {
				socket.resetAndDestroy();
			}, 20);
		});
	});
	t.equal(events.at(-1)?.type, 'broken');
	t.notOk(events.some(event => event.type === 'end'));
});

// If the partial response and the reset are read in one turn of the event loop, libuv reports the reset as a plain end of the
// connection, and only the connection's state still distinguishes the two.
tap.test('a response without a length is incomplete if the reset is read in the same turn as its bytes', async t => {
	const events = await attemptAgainst(socket => {
		socket.write(`${head}\r\nhalf of it`);
		socket.resetAndDestroy();
	});
	t.equal(events.at(-1)?.type, 'broken');
	t.notOk(events.some(event => event.type === 'end'));
});

tap.test('a response without a length is complete when its connection ends', async t => {
	const events = await attemptAgainst(socket => {
		socket.end(`${head}\r\nall of it`);
	});
	t.equal(events.at(-1)?.type, 'end');
});

// The connection ends after fewer bytes than announced.
tap.test('a response shorter than its length is incomplete', async t => {
	const events = await attemptAgainst(socket => {
		socket.end(`${head}Content-Length: 20\r\n\r\nhalf of it`);
	});
	t.equal(events.at(-1)?.type, 'broken');
});

tap.test('a chunked response without its last chunk is incomplete', async t => {
	const events = await attemptAgainst(socket => {
		socket.end(`${head}Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n`);
	});
	t.equal(events.at(-1)?.type, 'broken');
});

// A worker with keep-alive connections sends a late second response, or bytes after a complete one. The next request must not
// read them as its own response, so the connection is closed and a new one is opened.
tap.test('a connection with bytes after a complete response is not reused', async t => {
	let connections = 0;
	const server = net.createServer(socket => {
		connections += 1;
		socket.on('data', () => {
			socket.write(`${head}Content-Length: 2\r\n\r\nok`);
			setTimeout(() => {
				socket.write(`${head}Content-Length: 5\r\n\r\nlate!`);
			}, 10);
		});
		socket.on('error', () => undefined);
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const connectionPool = ConnectionPool.create(4);
	const bodies: string[] = [];
	for (let turn = 0; turn < 2; turn++) {
		await new Promise<void>(resolve => {
			Attempt.start({
				address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
				method: 'GET', path: '/', headers: ['Host', 'a.example'], body: undefined, connectionPool, mayRunAgain: true,
				onEvent(event) {
					if (event.type === 'data') {
						bodies.push(Buffer.from(event.bytes).toString());
					}

					if (event.type === 'end') {
						setTimeout(resolve, 50);
					}
				},
			});
		});
	}

	connectionPool.destroy();
	server.close();
	t.same(bodies, ['ok', 'ok']);
	t.equal(connections, 2);
});

tap.test('a connection without extra bytes is reused', async t => {
	let connections = 0;
	const server = net.createServer(socket => {
		connections += 1;
		socket.on('data', () => {
			socket.write(`${head}Content-Length: 2\r\n\r\nok`);
		});
		socket.on('error', () => undefined);
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const connectionPool = ConnectionPool.create(4);
	for (let turn = 0; turn < 3; turn++) {
		const events = await new Promise<AttemptEvent[]>(resolve => {
			const received: AttemptEvent[] = [];
			Attempt.start({
				address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
				method: 'GET', path: '/', headers: ['Host', 'a.example'], body: undefined, connectionPool, mayRunAgain: true,
				onEvent(event) {
					received.push(event);
					if (event.type === 'end') {
						setTimeout(resolve, 10, received);
					}
				},
			});
		});
		t.equal(events.at(-1)?.type, 'end');
	}

	connectionPool.destroy();
	server.close();
	t.equal(connections, 1);
});

// A busy instance found endpoints unreachable that had accepted its connections, and suspended them.
tap.test('a connection that has been established is not given up by a late event loop', async t => {
	const events = await attemptAgainst(socket => {
		socket.end(`${head}Content-Length: 2\r\n\r\nok`);
	}, () => {
		const until = performance.now() + lateTurnMilliseconds;
		while (performance.now() < until) {
			// The event loop reads nothing meanwhile.
		}
	});
	t.same(events.map(({type}) => type), ['head', 'data', 'end']);
});
