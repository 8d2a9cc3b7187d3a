import {once} from 'node:events';
import {writeFileSync} from 'node:fs';
import {createServer} from 'node:net';
import tap from 'tap';
import {GatewayPlatform, GatewayRun, sleep} from './gateway-child.js';

const troubleMilliseconds = 1000;

// The platform was writing the settings file while the instance started: half of it was no JSON, and the process ended.
tap.test('a settings file that is half written at the start is read once it is whole', async t => {
	await using platform = await GatewayPlatform.create();
	const file = `${t.testdir({})}/gateway.json`;
	const {text, adminPort} = await platform.settings();
	writeFileSync(file, text.slice(0, text.length / 2));
	await using gateway = GatewayRun.start(file, adminPort);
	await sleep(troubleMilliseconds);
	writeFileSync(file, text);
	t.ok(await gateway.isReady(), gateway.endedBy ?? 'not ready in time');
});

// Settings that stay wrong must end the start with their error, not wait for ever.
tap.test('a settings file that stays wrong ends the start', async t => {
	const file = `${t.testdir({})}/gateway.json`;
	writeFileSync(file, '{');
	await using gateway = GatewayRun.start(file, 1);
	const [code] = await once(gateway.child, 'exit') as [number | undefined];
	t.equal(code, 1);
});

// The process before this one was still in its grace and held the port; the new one ended at once.
tap.test('an instance that starts while its predecessor still holds a port waits for it', async t => {
	await using platform = await GatewayPlatform.create();
	const file = `${t.testdir({})}/gateway.json`;
	const {text, callerPort, adminPort} = await platform.settings();
	writeFileSync(file, text);
	const predecessor = createServer();
	predecessor.listen(callerPort, '127.0.0.1');
	await once(predecessor, 'listening');
	await using gateway = GatewayRun.start(file, adminPort);
	await sleep(troubleMilliseconds);
	predecessor.close();
	t.ok(await gateway.isReady(), gateway.endedBy ?? 'not ready in time');
});
