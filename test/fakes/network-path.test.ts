import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {connect, createServer, type AddressInfo, type Server, type Socket} from 'node:net';
import t from 'tap';
import {retransmissionAfter} from '../../fakes/network-direction.js';
import {FakePath} from '../../fakes/network-path.js';

const settleMilliseconds = 100;
const pathMilliseconds = 40;
const smallBytes = 20_000;
/** More than the buffers of both kernels hold. */
const largeBytes = 8_000_000;

type Way = 'close' | 'reset';

/** A process that accepts connections and reads only once it is told to. */
class Receiver implements AsyncDisposable {
	static async create(): Promise<Receiver> {
		const receiver = new Receiver();
		receiver.#server.listen(0, '127.0.0.1');
		await once(receiver.#server, 'listening');
		return receiver;
	}

	receivedBytes = 0;
	end: 'none' | 'orderly' | 'reset' = 'none';
	readonly sockets: Socket[] = [];
	readonly #server: Server = createServer({pauseOnConnect: true}, socket => {
		this.sockets.push(socket);
		socket.on('data', (bytes: Uint8Array) => {
			this.receivedBytes += bytes.length;
		});
		socket.on('error', () => {
			this.end = 'reset';
		});
		socket.once('end', () => {
			this.end = socket.remoteAddress === undefined ? 'reset' : 'orderly';
		});
	});

	get port(): number {
		return (this.#server.address() as AddressInfo).port;
	}

	async read(): Promise<void> {
		for (const socket of this.sockets) {
			socket.resume();
		}

		await sleep(settleMilliseconds);
	}

	async [Symbol.asyncDispose](): Promise<void> {
		for (const socket of this.sockets) {
			socket.destroy();
		}

		this.#server.close();
	}
}

async function connectTo(port: number): Promise<Socket> {
	const socket = connect(port, '127.0.0.1');
	socket.on('error', () => undefined);
	await once(socket, 'connect');
	await sleep(settleMilliseconds);
	return socket;
}

function giveUp(socket: Socket, way: Way): void {
	if (way === 'close') {
		socket.destroy();
	} else {
		socket.resetAndDestroy();
	}
}

/** Sends bytes to a receiver that does not read yet, gives the connection up, and lets the receiver read. */
async function sendWithoutPath(bytes: number, way: Way): Promise<Receiver> {
	const receiver = await Receiver.create();
	const socket = await connectTo(receiver.port);
	socket.write(Buffer.alloc(bytes));
	await sleep(settleMilliseconds);
	giveUp(socket, way);
	await sleep(settleMilliseconds);
	await receiver.read();
	return receiver;
}

type Fault = 'silent' | 'stalled';

/** The same over a path that is held meanwhile, with a receiver that reads all the time. */
async function sendOverPath(fault: Fault, way: Way): Promise<{receiver: Receiver; path: FakePath}> {
	const receiver = await Receiver.create();
	const path = await FakePath.create(`127.0.0.1:${receiver.port}`);
	const socket = await connectTo(Number(path.address.split(':')[1]));
	await receiver.read();
	path.faults[fault] = true;
	socket.write(Buffer.alloc(smallBytes));
	await sleep(settleMilliseconds);
	giveUp(socket, way);
	await sleep(settleMilliseconds);
	path.heal();
	await sleep(settleMilliseconds);
	return {receiver, path};
}

t.test('Real kernels deliver what was sent before an orderly close, and of what was sent before a reset only what the receiver has', async t => {
	await using closed = await sendWithoutPath(largeBytes, 'close');
	await using reset = await sendWithoutPath(largeBytes, 'reset');
	t.ok(closed.receivedBytes > 4 * reset.receivedBytes, `${closed.receivedBytes} bytes after a close, ${reset.receivedBytes} after a reset`);
	await using atReceiver = await sendWithoutPath(smallBytes, 'reset');
	t.equal(atReceiver.receivedBytes, smallBytes, 'what the receiver\'s kernel has is read after a reset');
});

t.test('A path held in transit delivers what was sent before an orderly close, and nothing that was reset', async t => {
	const closed = await sendOverPath('silent', 'close');
	t.equal(closed.receiver.receivedBytes, smallBytes);
	t.equal(closed.receiver.end, 'orderly');
	const reset = await sendOverPath('silent', 'reset');
	t.equal(reset.receiver.receivedBytes, 0);
	t.equal(reset.receiver.end, 'none', 'the reset is lost with the rest');
	reset.receiver.sockets[0]!.write('late');
	await sleep(settleMilliseconds);
	t.equal(reset.receiver.end, 'reset', 'the receiver learns of it when it sends');
	for (const {receiver, path} of [closed, reset]) {
		await receiver[Symbol.asyncDispose]();
		await path[Symbol.asyncDispose]();
	}
});

t.test('A receiver that stands still gets what was sent before a reset', async t => {
	const {receiver, path} = await sendOverPath('stalled', 'reset');
	t.equal(receiver.receivedBytes, smallBytes);
	t.equal(receiver.end, 'reset');
	await receiver[Symbol.asyncDispose]();
	await path[Symbol.asyncDispose]();
});

t.test('Retransmissions follow at intervals that double', async t => {
	t.equal(retransmissionAfter(0, 100), 200);
	t.equal(retransmissionAfter(0, 201), 600);
	t.equal(retransmissionAfter(1000, 4100), 7200);
});

async function sleep(milliseconds: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, milliseconds);
	});
}

/** A server that answers and ends, and reads on for a while, as one that closes with care (RFC 9112, 9.6). */
async function createLingering(): Promise<{readonly server: Server; readonly port: number}> {
	const server = createServer({allowHalfOpen: true}, socket => {
		socket.on('error', () => undefined);
		socket.once('data', () => {
			socket.end('answer');
			socket.resume();
		});
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	return {server, port: (server.address() as AddressInfo).port};
}

/** Sends a request, and more bytes that cross the end of the connection; returns what arrived. */
async function sendAcross(port: number): Promise<{readonly text: string; readonly end: string}> {
	const socket = connect(port, '127.0.0.1');
	const received = {text: '', end: 'none'};
	socket.on('data', (bytes: Uint8Array) => {
		received.text += String(bytes);
	});
	socket.on('error', () => {
		received.end = 'reset';
	});
	socket.once('end', () => {
		received.end = 'orderly';
	});
	const closed = new Promise(resolve => {
		socket.once('close', resolve);
	});
	await once(socket, 'connect');
	socket.write('request');
	await sleep(pathMilliseconds / 2);
	if (socket.writable) {
		socket.write('more');
	}

	await closed;
	return received;
}

// A path closed both directions at the end of one: bytes that crossed that end met a closed connection, whose reset took the answer on its way with it.
t.test('an answer arrives although more was sent across the end of its connection, as without a path', async t => {
	const {server, port} = await createLingering();
	await using path = await FakePath.create(`127.0.0.1:${port}`);
	path.faults.delayMilliseconds = pathMilliseconds;
	const expected = {text: 'answer', end: 'orderly'};
	t.same(await sendAcross(port), expected, 'without a path');
	t.same(await sendAcross(Number(path.address.split(':')[1])), expected, 'on a path');
	server.close();
});
