import {once} from 'node:events';
import net from 'node:net';
import tap from 'tap';
import {eventually, Testbed} from './testbed.js';

const workMilliseconds = 300;
const order = 'POST /release/1 HTTP/1.1\r\nHost: studio.example\r\nRequest-Id: order\r\nAuthorization: Bearer key-a\r\nDeadline-Ms: 9000\r\nContent-Length: 2\r\n\r\nhi';

/** Whether the instance stops while the order runs, so that its answer says that the connection closes. */
const moments = [{name: 'before a stop', isStopping: false}, {name: 'in a stop', isStopping: true}] as const;

// A response that said that its connection closes kept only the last of an endpoint's headers that have one name.
for (const {name, isStopping} of moments) {
	tap.test(`headers that an endpoint repeats all reach the caller ${name}`, async t => {
		await using testbed = await Testbed.create();
		// Two spellings of one name, since the worker's headers are an object.
		testbed.respondWith('orders', () => ({type: 'whole', body: 'done', headers: {'Set-Cookie': 'first=1', 'set-cookie': 'second=2'}, afterMilliseconds: workMilliseconds}));
		const gateway = await testbed.startGateway({stopSeconds: 6});
		const [host, port] = gateway.gateway.address.split(':');
		const socket = net.connect(Number(port), host);
		await once(socket, 'connect');
		let text = '';
		socket.on('data', (bytes: Uint8Array) => {
			text += String(bytes);
		});
		socket.write(order);
		await eventually(() => testbed.attemptCount('order') === 1);
		const drained = isStopping ? gateway.drain() : undefined;
		await eventually(() => text.includes('done'));
		t.equal(/^connection: close/imv.test(text), isStopping);
		t.match(text, 'first=1');
		t.match(text, 'second=2');
		socket.destroy();
		await drained;
	});
}
