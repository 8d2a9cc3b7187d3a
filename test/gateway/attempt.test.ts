import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import net, {type AddressInfo} from 'node:net';
import tap from 'tap';
import {Attempt, type AttemptEvent} from '../../src/gateway/attempt.js';
import {ConnectionPool} from '../../src/gateway/connection-pool.js';

type Answering = (socket: net.Socket) => void;

/** Sends one request to an endpoint that answers so, and gives all events up to the last. */
async function attemptAgainst(answer: Answering): Promise<AttemptEvent[]> {
	const server = net.createServer(socket => {
		socket.once('data', () => {
			answer(socket);
		});
		socket.on('error', () => undefined);
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const channels = ConnectionPool.create(4);
	const events: AttemptEvent[] = [];
	await new Promise<void>(resolve => {
		Attempt.start({
			address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
			method: 'GET', path: '/', headers: ['Host', 'a.example'], body: undefined, connectionPool: channels,
			onEvent(event) {
				events.push(event);
				if (event.type === 'end' || event.type === 'broken') {
					resolve();
				}
			},
		});
	});
	channels.destroy();
	server.close();
	return events;
}

const head = 'HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n';

// A worker may send an answer without a length, which ends with its connection. Its process dies in
// the middle: the connection is reset, and a parser that knows only "no more bytes" takes the half
// answer for whole. The caller would get it framed as complete.
tap.test('an answer without a length that is reset is not whole', async t => {
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

// The same, but half answer and reset are read in one turn. libuv then reports the reset as a plain
// end of the connection, and only the connection's state still tells the two apart.
tap.test('an answer without a length that is reset in the turn of its bytes is not whole', async t => {
	const events = await attemptAgainst(socket => {
		socket.write(`${head}\r\nhalf of it`);
		socket.resetAndDestroy();
	});
	t.equal(events.at(-1)?.type, 'broken');
	t.notOk(events.some(event => event.type === 'end'));
});

tap.test('an answer without a length that ends with its connection is whole', async t => {
	const events = await attemptAgainst(socket => {
		socket.end(`${head}\r\nall of it`);
	});
	t.equal(events.at(-1)?.type, 'end');
});

// Fewer bytes than announced, then the end of the connection: never whole.
tap.test('an answer shorter than its length is not whole', async t => {
	const events = await attemptAgainst(socket => {
		socket.end(`${head}Content-Length: 20\r\n\r\nhalf of it`);
	});
	t.equal(events.at(-1)?.type, 'broken');
});

tap.test('a chunked answer without its last chunk is not whole', async t => {
	const events = await attemptAgainst(socket => {
		socket.end(`${head}Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n`);
	});
	t.equal(events.at(-1)?.type, 'broken');
});

// A worker that keeps its connections sends a late second answer, or bytes after a whole one. The
// next request must not read them as its own: the connection is given up, and a new one is made.
tap.test('a connection with bytes after a whole answer carries no further request', async t => {
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
	const channels = ConnectionPool.create(4);
	const bodies: string[] = [];
	for (let turn = 0; turn < 2; turn++) {
		await new Promise<void>(resolve => {
			Attempt.start({
				address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
				method: 'GET', path: '/', headers: ['Host', 'a.example'], body: undefined, connectionPool: channels,
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

	channels.destroy();
	server.close();
	t.same(bodies, ['ok', 'ok']);
	t.equal(connections, 2);
});

tap.test('a connection without such bytes is used again', async t => {
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
	const channels = ConnectionPool.create(4);
	for (let turn = 0; turn < 3; turn++) {
		const events = await new Promise<AttemptEvent[]>(resolve => {
			const seen: AttemptEvent[] = [];
			Attempt.start({
				address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
				method: 'GET', path: '/', headers: ['Host', 'a.example'], body: undefined, connectionPool: channels,
				onEvent(event) {
					seen.push(event);
					if (event.type === 'end') {
						setTimeout(resolve, 10, seen);
					}
				},
			});
		});
		t.equal(events.at(-1)?.type, 'end');
	}

	channels.destroy();
	server.close();
	t.equal(connections, 1);
});
