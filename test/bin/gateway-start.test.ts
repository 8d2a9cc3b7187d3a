import {type ChildProcess, spawn} from 'node:child_process';
import {once} from 'node:events';
import {writeFileSync} from 'node:fs';
import {createServer} from 'node:net';
import process from 'node:process';
import tap from 'tap';
import {desiredState} from '../../fakes/platform-state.js';
import {FakePlatformStore} from '../../fakes/platform-store.js';
import {FakePlatformWorker} from '../../fakes/platform-worker.js';
import {freePort} from '../gateway/testbed.js';

const program = new URL('../../platform/cassiaflow-gateway.js', import.meta.url).pathname;
const troubleMilliseconds = 1000;
const readyMilliseconds = 15_000;

type Start = {readonly child: ChildProcess; readonly endedBy: () => string | undefined; readonly isReady: () => Promise<boolean>};

async function settingsOf(store: FakePlatformStore): Promise<{text: string; callerPort: number; adminPort: number}> {
	const [callerPort, adminPort, peerPort] = [await freePort(), await freePort(), await freePort()];
	const text = JSON.stringify({
		instance: 'gateway', isFirstStart: true, availabilityZone: 'zone-a', callerAddress: `127.0.0.1:${callerPort}`, adminAddress: `127.0.0.1:${adminPort}`,
		peerAddress: `127.0.0.1:${peerPort}`, storeAddress: store.address, memoryMegabytes: 200,
	});
	return {text, callerPort, adminPort};
}

function start(file: string, adminPort: number): Start {
	const child = spawn(process.execPath, [program], {env: {PATH: process.env.PATH, CASSIAFLOW_CONFIG: file}, stdio: 'ignore'});
	let endedBy: string | undefined;
	child.once('exit', (code, signal) => {
		endedBy = signal ?? `code ${code}`;
	});
	return {
		child, endedBy: () => endedBy,
		async isReady() {
			const until = performance.now() + readyMilliseconds;
			while (performance.now() < until && child.exitCode === null && child.signalCode === null) {
				const response = await fetch(`http://127.0.0.1:${adminPort}/v1/ready`).catch(() => undefined);
				if (response?.status === 200) {
					return true;
				}

				await sleep(50);
			}

			return false;
		},
	};
}

async function sleep(milliseconds: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, milliseconds);
	});
}

async function createPlatform(): Promise<{store: FakePlatformStore; worker: FakePlatformWorker}> {
	const store = await FakePlatformStore.create();
	const worker = await FakePlatformWorker.create('worker', 'orders');
	store.put('keyed.servers', worker.id, worker.beat());
	store.put('keyed.op', 'config', desiredState(1));
	return {store, worker};
}

// The platform was writing the settings file while the instance started: half of it was no JSON, and the process ended.
tap.test('a settings file that is half written at the start is read once it is whole', async t => {
	const {store, worker} = await createPlatform();
	const file = `${t.testdir({})}/gateway.json`;
	const {text, adminPort} = await settingsOf(store);
	writeFileSync(file, text.slice(0, text.length / 2));
	const {child, endedBy, isReady} = start(file, adminPort);
	await sleep(troubleMilliseconds);
	writeFileSync(file, text);
	t.ok(await isReady(), endedBy() ?? 'not ready in time');
	child.kill('SIGKILL');
	await worker[Symbol.asyncDispose]();
	await store[Symbol.asyncDispose]();
});

// Settings that stay wrong must end the start with their error, not wait for ever.
tap.test('a settings file that stays wrong ends the start', async t => {
	const file = `${t.testdir({})}/gateway.json`;
	writeFileSync(file, '{');
	const {child} = start(file, 1);
	const [code] = await once(child, 'exit') as [number | undefined];
	t.equal(code, 1);
});

// The process before this one was still in its grace and held the port; the new one ended at once.
tap.test('an instance that starts while its predecessor still holds a port waits for it', async t => {
	const {store, worker} = await createPlatform();
	const file = `${t.testdir({})}/gateway.json`;
	const {text, callerPort, adminPort} = await settingsOf(store);
	writeFileSync(file, text);
	const predecessor = createServer();
	predecessor.listen(callerPort, '127.0.0.1');
	await once(predecessor, 'listening');
	const {child, endedBy, isReady} = start(file, adminPort);
	await sleep(troubleMilliseconds);
	predecessor.close();
	t.ok(await isReady(), endedBy() ?? 'not ready in time');
	child.kill('SIGKILL');
	await worker[Symbol.asyncDispose]();
	await store[Symbol.asyncDispose]();
});
