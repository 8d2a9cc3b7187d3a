import {createServer, type AddressInfo} from 'node:net';
import {once} from 'node:events';
import tap from 'tap';
import {eventually, Testbed} from './testbed.js';

const routeTimeoutMilliseconds = 1500;

// An endpoint that answers 101 ended the connection with neither a response nor an error: the request waited for its timeout.
tap.test('an answer that would switch protocols fails the attempt at once', async t => {
	const endpoint = createServer(socket => {
		socket.on('error', () => undefined);
		socket.once('data', () => {
			socket.write('HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: other\r\n\r\n');
		});
	});
	endpoint.listen(0, '127.0.0.1');
	await once(endpoint, 'listening');
	await using testbed = await Testbed.create({services: []});
	const {port} = endpoint.address() as AddressInfo;
	testbed.store.put('keyed.servers', 'switching', {service: 'orders', address: `127.0.0.1:${port}`, zone: 'zone-a', version: 'v1', slots: 16, state: 'ready', seq: 1});
	const gateway = await testbed.startGateway();
	await eventually(() => gateway.routingState.directory.entries.size === 1);
	const {status, isComplete, milliseconds} = await testbed.send({method: 'POST', path: '/release/1', body: 'hi'});
	t.same([status, isComplete], [502, true]);
	t.ok(milliseconds < routeTimeoutMilliseconds, `${Math.round(milliseconds)} ms`);
	endpoint.close();
});
