import net from 'node:net';
import {once} from 'node:events';
import tap from 'tap';
import {eventually} from '../gateway/testbed.js';
import {GatewayPlatform, GatewayRun, sleep} from './gateway-child.js';

const answerMilliseconds = 500;

// A target that is no URL was an error that nobody caught: one line to the port of the health checks ended the process, with all requests in progress.
tap.test('a target that is no URL, at the admin port, ends no process', async t => {
	await using platform = await GatewayPlatform.create();
	await using gateway = await GatewayRun.startOn(platform, t.testdir({}));
	t.ok(await gateway.isReady());
	const adminPort = (): number => Number(/"adminAddress":"127\.0\.0\.1:(?<port>\d+)"/v.exec(gateway.lines)?.groups?.port);
	await eventually(() => adminPort() > 0);
	const socket = net.connect(adminPort(), '127.0.0.1');
	socket.on('error', () => undefined);
	await once(socket, 'connect');
	socket.write('GET // HTTP/1.1\r\nHost: admin\r\n\r\n');
	await sleep(answerMilliseconds);
	t.equal(gateway.endedBy, undefined, 'the process goes on');
	t.ok(await gateway.isReady());
	socket.destroy();
});
