import diagnosticsChannel from 'node:diagnostics_channel';
import {once} from 'node:events';
import net from 'node:net';
import tap from 'tap';
import {splitAddress} from '../../src/model/index.js';
import {eventually, Testbed} from './testbed.js';

const callerCount = 30;
/** Connections that are accepted before the first request is begun, at least: Node accepts one in a turn of the event loop. */
const acceptedFirst = 16;

// A turn of the event loop accepts one connection, however long it takes: callers on new connections waited a second and more, and those on open ones some twenty milliseconds.
tap.test('connections that wait are accepted before a request is begun', async t => {
	await using testbed = await Testbed.create({services: ['orders'], workersEach: 1});
	const gateway = await testbed.startGateway({lateLoop: {givesAway: false}});
	const {host, port} = splitAddress(gateway.gateway.address);
	await testbed.send({id: 'before'});
	let accepted = 0;
	const countAccepted = (message: unknown): void => {
		const {socket} = message as {socket: net.Socket};
		accepted += socket.localPort === port ? 1 : 0;
	};

	diagnosticsChannel.subscribe('net.server.socket', countAccepted);
	let acceptedAtFirst: number | undefined;
	testbed.respondWith('orders', () => {
		acceptedAtFirst ??= accepted;
		return {type: 'whole', body: 'ok'};
	});
	const callers = Array.from({length: callerCount}, (_, number) => {
		const caller = net.connect(port, host);
		caller.write(`GET /lookup/1 HTTP/1.1\r\nHost: studio.example\r\nRequest-Id: new-${number}\r\nAuthorization: Bearer key-a\r\nDeadline-Ms: 5000\r\n\r\n`);
		return caller;
	});
	const answers = callers.map(async caller => once(caller, 'data'));
	await eventually(() => acceptedAtFirst !== undefined);
	t.ok(acceptedAtFirst! >= acceptedFirst, `${acceptedAtFirst} accepted when the first request reached its endpoint`);
	const responses = await Promise.all(answers);
	t.ok(responses.every(([bytes]) => String(bytes).startsWith('HTTP/1.1 200 ')), 'and all are served');
	diagnosticsChannel.unsubscribe('net.server.socket', countAccepted);
	for (const caller of callers) {
		caller.destroy();
	}
});
