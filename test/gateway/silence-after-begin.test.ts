import {once} from 'node:events';
import {createServer} from 'node:http';
import {type AddressInfo} from 'node:net';
import tap from 'tap';
import {Testbed} from './testbed.js';

/** Longer than the silence after which a lookup is tried elsewhere, and shorter than its route's timeout. */
const gapMilliseconds = 800;
/** More than an instance holds back of an answer. */
const begin = 'x'.repeat(1_000_000);
const endpoints = ['begins-0', 'begins-1'];

// A lookup whose answer had begun was given up when its endpoint fell silent, though nobody could go on with that answer: its caller got half of it.
tap.test('an answer that has begun and can only go on where it began is not given up for silence', async t => {
	await using testbed = await Testbed.create({services: ['models']});
	const runs: string[] = [];
	for (const id of endpoints) {
		const server = createServer((request, response) => {
			runs.push(id);
			response.writeHead(200, {'Request-Id': String(request.headers['request-id']), 'Upstream-Signature': id}).write(begin);
			setTimeout(() => {
				response.end('end');
			}, gapMilliseconds);
		});
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		t.teardown(() => {
			server.close();
			server.closeAllConnections();
		});
		testbed.store.put('keyed.servers', id, {service: 'orders', address: `127.0.0.1:${(server.address() as AddressInfo).port}`, zone: 'zone-a', version: 'v1', slots: 16, state: 'ready', seq: 1});
	}

	await testbed.startGateway();
	const {status, body} = await testbed.send({path: '/lookup/1', id: 'first'});
	t.equal(status, 200);
	t.equal(body, `${begin}end`);
	t.equal(runs.length, 1);
});
