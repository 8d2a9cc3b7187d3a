import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import net from 'node:net';
import tap from 'tap';
import {splitAddress} from '../../src/model/index.js';
import {Testbed} from './testbed.js';

/** Sends bytes, and returns the status of the answer; 0 if the connection closes without one. */
async function exchange({host, port}: {host: string; port: number}, bytes: Uint8Array): Promise<{status: number}> {
	const socket = net.connect(port, host);
	let answer = '';
	socket.on('error', () => undefined);
	socket.on('data', (part: Uint8Array) => {
		answer += String(part);
	});
	socket.write(bytes);
	await once(socket, 'close');
	return {status: Number(/^HTTP\/1\.1 (?<status>\d+)/v.exec(answer)?.groups?.status ?? 0)};
}

// A tab in a path or query passed Node's parser on some processors; its client threw at it, and the instance ended. Each caller could end them all.
for (const {name, before} of [{name: 'path', before: '/lookup/'}, {name: 'query', before: '/lookup/1?x='}]) {
	tap.test(`no byte in a ${name} ends an instance, and those that a URL cannot have are refused`, async t => {
		await using testbed = await Testbed.create({services: ['orders'], workersEach: 1});
		const {gateway} = await testbed.startGateway();
		for (let code = 1; code <= 255; code++) {
			const request = `GET ${before}${String.fromCodePoint(code)}x HTTP/1.1\r\nHost: studio.example\r\nRequest-Id: odd\r\nAuthorization: Bearer key-a\r\nDeadline-Ms: 1500\r\nConnection: close\r\n\r\n`;
			const {status} = await exchange(splitAddress(gateway.address), Buffer.from(request, 'latin1'));
			// A line end or a space ends the target.
			const isVisible = code > 0x20 && code < 0x7F;
			t.ok(isVisible ? status === 200 : status === 400 || status === 0, `${status} for ${code}`);
		}

		t.equal(await testbed.statusOf(), 200);
	});
}

// The same of what callers write into other parts of a request.
for (const {name, head} of [
	{name: 'the value of a header', head: (odd: string) => `GET /lookup/1 HTTP/1.1\r\nX-Odd: a${odd}b\r\n`},
	{name: 'the name of a header', head: (odd: string) => `GET /lookup/1 HTTP/1.1\r\nX-Odd${odd}: b\r\n`},
	{name: 'the method', head: (odd: string) => `GE${odd}T /lookup/1 HTTP/1.1\r\n`},
	{name: 'a part of the prompt', head: (odd: string) => `GET /lookup/1 HTTP/1.1\r\nPrefix-Hash: 5c${odd}:800,91:410\r\n`},
]) {
	tap.test(`no byte in ${name} ends an instance`, async t => {
		await using testbed = await Testbed.create({services: ['orders'], workersEach: 1});
		const {gateway} = await testbed.startGateway();
		for (let code = 0; code <= 255; code++) {
			const request = `${head(String.fromCodePoint(code))}Host: studio.example\r\nRequest-Id: odd\r\nAuthorization: Bearer key-a\r\nDeadline-Ms: 1500\r\nConnection: close\r\n\r\n`;
			const {status} = await exchange(splitAddress(gateway.address), Buffer.from(request, 'latin1'));
			t.ok([0, 200, 400, 404].includes(status), `${status} for ${code}`);
		}

		t.equal(await testbed.statusOf(), 200);
	});
}
