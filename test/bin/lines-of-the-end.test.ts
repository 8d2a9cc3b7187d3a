import net from 'node:net';
import {once} from 'node:events';
import tap from 'tap';
import {eventually} from '../gateway/testbed.js';
import {GatewayPlatform, GatewayRun} from './gateway-child.js';

/** Answers that an instance holds whole, and together more than the connection of a caller that does not read can hold. */
const answers = 30;
const body = 'x'.repeat(480 * 1024);

function lookupOf(id: string): string {
	return `GET /lookup/1 HTTP/1.1\r\nHost: studio.example\r\nRequest-Id: ${id}\r\nAuthorization: Bearer key-a\r\nDeadline-Ms: 9000\r\n\r\n`;
}

const endMilliseconds = 9000;

// The last lines were lost with the process: of an answer that a stop cut off, since its caller did not read it, nothing in the log told.
tap.test('each response that the end of a stop cuts off has its line in the log', async t => {
	await using platform = await GatewayPlatform.create();
	platform.worker.answer = () => ({type: 'whole', body});
	await using gateway = await GatewayRun.startOn(platform, t.testdir({}));
	t.ok(await gateway.isReady(), gateway.lines);
	const socket = net.connect(gateway.callerPort, '127.0.0.1');
	socket.on('error', () => undefined);
	await once(socket, 'connect');
	socket.write(Array.from({length: answers}, (_, number) => lookupOf(`unread-${number}`)).join(''));
	await eventually(() => platform.worker.requests.length === answers);
	gateway.child.kill('SIGTERM');
	await eventually(() => gateway.endedBy !== undefined, endMilliseconds);
	socket.destroy();
	t.equal(gateway.endedBy, 'code 0');
	const open = Number(/"open":(?<open>\d+),"msg":"Gateway: Stopped\."/v.exec(gateway.lines)?.groups?.open);
	t.ok(open > 0, gateway.lines.slice(-300));
	t.equal(gateway.lines.split('Closed a connection without a whole response.').length - 1, open);
});
