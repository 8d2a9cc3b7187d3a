import net from 'node:net';
import {once} from 'node:events';
import tap from 'tap';
import {eventually} from '../gateway/testbed.js';
import {GatewayPlatform, GatewayRun, sleep} from './gateway-child.js';

const workMilliseconds = 300;
/** Long enough for bytes to be read, and shorter than an order runs. */
const laterMilliseconds = 100;
const order = 'POST /release/1 HTTP/1.1\r\nHost: studio.example\r\nRequest-Id: order\r\nAuthorization: Bearer key-a\r\nDeadline-Ms: 9000\r\nContent-Length: 2\r\n\r\nhi';
const tunnel = 'CONNECT studio.example:443 HTTP/1.1\r\nHost: studio.example\r\n\r\n';

async function connect(port: number): Promise<net.Socket> {
	const socket = net.connect(port, '127.0.0.1');
	socket.on('error', () => undefined);
	await once(socket, 'connect');
	return socket;
}

/** How a caller of a tunnel leaves: at once, or with an order before it still running. */
const leavings = [
	{name: 'that resets its connection', before: '', leave: (socket: net.Socket) => socket.resetAndDestroy()},
	{name: 'behind an order that runs, and resets its connection', before: order, leave: (socket: net.Socket) => socket.resetAndDestroy()},
	{name: 'behind an order that runs, and closes its connection', before: order, leave: (socket: net.Socket) => socket.destroy()},
] as const;

// Node takes its own listener of errors off a connection whose caller asks for a tunnel: the error of its end ended the process, with all requests in progress.
for (const {name, before, leave} of leavings) {
	tap.test(`a caller that asks for a tunnel ${name}, ends nothing but its connection`, async t => {
		await using platform = await GatewayPlatform.create();
		platform.worker.answer = () => ({type: 'whole', body: 'done', afterMilliseconds: workMilliseconds});
		await using gateway = await GatewayRun.startOn(platform, t.testdir({}));
		t.ok(await gateway.isReady(), gateway.lines);
		const socket = await connect(gateway.callerPort);
		if (before !== '') {
			socket.write(before);
			await eventually(() => platform.worker.requests.length === 1);
		}

		socket.write(`${tunnel}more`);
		await sleep(before === '' ? 0 : laterMilliseconds);
		leave(socket);
		await sleep(workMilliseconds + laterMilliseconds);
		t.equal(gateway.endedBy, undefined, 'the process goes on');
		t.ok(await gateway.isReady());
	});
}
