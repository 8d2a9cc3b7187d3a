import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import net, {type AddressInfo} from 'node:net';
import tap from 'tap';
import {Testbed} from './testbed.js';

const whole = 'HTTP/1.1 200 OK\r\nRequest-Id: cut\r\nUpstream-Signature: s\r\nConnection: close\r\nContent-Type: text/event-stream\r\n\r\n';
/** Places within the head of a response: in the status line, in a header's name, in its value, after a line, within the last line end. */
const places = ['HTTP/1.1 20', 'HTTP/1.1 200 OK', 'HTTP/1.1 200 OK\r\n', 'Upstream-Sig', 'Upstream-Signature: s', 'Connection: close\r\n', 'event-stream\r\n', 'event-stream\r\n\r'];
const requests = [
	{name: 'a request that may be repeated', method: 'GET', path: '/lookup/1', service: 'orders'},
	{name: 'one that may run once', method: 'POST', path: '/release/1', service: 'orders'},
	{name: 'a stream', method: 'POST', path: '/question/1', service: 'models'},
] as const;

/** An endpoint that stops in the middle of its answer's head and closes, in an orderly way or not. */
async function serveCut(head: string, isReset: boolean): Promise<net.Server> {
	const server = net.createServer(socket => {
		socket.on('error', () => undefined);
		socket.once('data', () => {
			socket.write(head, () => {
				if (isReset) {
					socket.resetAndDestroy();
				} else {
					socket.end();
				}
			});
		});
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	return server;
}

// Callers got a 200 with an empty or short body, framed as whole.
for (const {name, method, path, service} of requests) {
	tap.test(`the answer to ${name} whose endpoint closes within the head does not look like one`, async t => {
		for (const place of places) {
			for (const isReset of [false, true]) {
				await using testbed = await Testbed.create({services: []});
				const server = await serveCut(whole.slice(0, whole.indexOf(place) + place.length), isReset);
				const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
				testbed.store.put('keyed.servers', 'cut', {service, address, zone: 'zone-a', version: 'v1', slots: 16, state: 'ready', seq: 1});
				await testbed.startGateway();
				const {status, isComplete, body} = await testbed.send({id: 'cut', method, path, body: method === 'POST' ? 'x' : undefined});
				t.ok(status === 502 || !isComplete, `${status} ${body.trim()} after ${JSON.stringify(place)}, ${isReset ? 'reset' : 'closed'}`);
				server.close();
			}
		}
	});
}

// An endpoint's header that Node's parser lets pass on some processors and its server does not write ended the instance.
for (const {name, method, path, service} of requests) {
	tap.test(`no byte in the head of the answer to ${name} ends an instance`, async t => {
		for (const at of ['X-Odd', 'X-Odd: a', 'HTTP/1.1 200 OK']) {
			await using testbed = await Testbed.create({services: []});
			let code = 0;
			const server = net.createServer(socket => {
				socket.on('error', () => undefined);
				socket.once('data', () => {
					const end = at.includes('HTTP') ? '' : ': b';
					socket.end(Buffer.from(`${at.includes('HTTP') ? '' : 'HTTP/1.1 200 OK\r\n'}${at}${String.fromCodePoint(code)}${at.includes(':') ? '' : end}\r\nRequest-Id: odd\r\nUpstream-Signature: s\r\nContent-Length: 2\r\n\r\nok`, 'latin1'));
				});
			});
			server.listen(0, '127.0.0.1');
			await once(server, 'listening');
			const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
			testbed.store.put('keyed.servers', 'odd', {service, address, zone: 'zone-a', version: 'v1', slots: 16, state: 'ready', seq: 1});
			await testbed.startGateway();
			for (code = 0; code <= 255; code++) {
				const {status} = await testbed.send({id: 'odd', method, path, body: method === 'POST' ? 'x' : undefined});
				t.ok([0, 200, 502, 503, 504].includes(status), `${status} for ${code} after ${at}`);
			}

			server.close();
		}
	});
}

// Node's server throws at a status below 100.
tap.test('no status of an answer ends an instance', async t => {
	for (const {method, path, service} of requests) {
		await using testbed = await Testbed.create({services: []});
		let status = '';
		const server = net.createServer(socket => {
			socket.on('error', () => undefined);
			socket.once('data', () => {
				socket.end(`HTTP/1.1 ${status} X\r\nRequest-Id: odd\r\nUpstream-Signature: s\r\nContent-Length: 2\r\n\r\nok`);
			});
		});
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
		testbed.store.put('keyed.servers', 'odd', {service, address, zone: 'zone-a', version: 'v1', slots: 16, state: 'ready', seq: 1});
		await testbed.startGateway();
		for (status of ['000', '001', '099', '100', '101', '102', '103', '199', '204', '205', '304', '599', '600', '999', '1000', '20']) {
			const answer = await testbed.send({id: 'odd', method, path, body: method === 'POST' ? 'x' : undefined, headers: {'deadline-ms': '600'}});
			t.ok(answer.status === 0 || answer.status >= 200, `${answer.status} for ${status}`);
		}

		server.close();
	}
});
