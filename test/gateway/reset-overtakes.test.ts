import {once} from 'node:events';
import net from 'node:net';
import tap from 'tap';
import {eventually, Testbed} from './testbed.js';

/** More than the kernel takes for a caller that does not read, and less than it takes from the instance. */
const bodyBytes = 400_000;

function textOf(id: string): string {
	return `POST /release/1 HTTP/1.1\r\nHost: studio.example\r\nRequest-Id: ${id}\r\nAuthorization: Bearer key-a\r\nDeadline-Ms: 9000\r\nContent-Length: 2\r\n\r\nhi`;
}

async function sleep(milliseconds: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, milliseconds);
	});
}

// The instance closed the connection with its last answer on the way; the caller's next request, which crossed that close, was answered by a reset, and the
// reset took the rest of the answer with it.
tap.test('a request that crosses the close of its connection does not cost its caller the answer before it', async t => {
	await using testbed = await Testbed.create();
	testbed.respondWith('orders', () => ({type: 'whole', body: 'x'.repeat(bodyBytes), afterMilliseconds: 200}));
	const gateway = await testbed.startGateway({stopSeconds: 6});
	const [host, port] = gateway.gateway.address.split(':');
	const socket = net.connect(Number(port), host);
	let bytes = 0;
	let isClosed = false;
	socket.on('data', (part: Uint8Array) => {
		bytes += part.length;
	});
	socket.on('error', () => undefined);
	socket.once('close', () => {
		isClosed = true;
	});
	await once(socket, 'connect');
	socket.write(textOf('first'));
	await eventually(() => testbed.attemptCount('first') === 1);
	socket.pause();
	const drained = gateway.drain();
	await eventually(() => gateway.gateway.openRequests === 0);
	await sleep(50);
	socket.write(textOf('second'));
	await sleep(50);
	socket.resume();
	await eventually(() => isClosed);
	t.ok(bytes > bodyBytes, `${bytes} bytes of the answer arrived`);
	t.equal(testbed.attemptCount('second'), 0);
	t.ok(await drained);
});
