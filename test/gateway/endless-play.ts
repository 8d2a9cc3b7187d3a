import {Buffer} from 'node:buffer';
import {type ChildProcess, spawn} from 'node:child_process';
import {once} from 'node:events';
import {mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {Agent, request as httpRequest} from 'node:http';
import net, {type AddressInfo} from 'node:net';
import {tmpdir} from 'node:os';
import process from 'node:process';
import {desiredState} from '../../fakes/platform-state.js';
import {FakePlatformStore} from '../../fakes/platform-store.js';
import {FakePlatformWorker} from '../../fakes/platform-worker.js';
import {freePort} from './testbed.js';

const program = new URL('../../platform/cassiaflow-gateway.js', import.meta.url).pathname;
/** The limit of the deployed process, and the flags that it runs with. */
export const memoryMegabytes = 200;
const nodeFlags = ['--max-old-space-size=120', '--max-semi-space-size=8'];
const faultyWorkers = 6;
const requestsAtOnce = 60;
/** Of one caller: all of them together send twice as much as one of four instances gets of 190 requests a second. */
const betweenMilliseconds = 500;
const playMilliseconds = 4000;
const pieceBytes = 65_536;
/** Between two pieces on a connection, so that this process has time for its sound worker and its callers. */
const pieceMilliseconds = 10;

/** What faulty endpoints send, until their connections close: a head, and then the same piece again and again. */
export type Endless = {readonly name: string; readonly head: (id: string) => string; readonly piece: string};

/** What became of the instance and of the requests beside the faulty endpoints'. */
export type EndlessPlay = {readonly endedBy: string; readonly peakMegabytes: number; readonly served: number; readonly failed: readonly number[]};

/** The head of an answer that looks sound. */
export const signedHead = (id: string): string => `HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nUpstream-Signature: s\r\nContent-Type: text/event-stream\r\n`;

/** A worker whose every answer, also that to a question for its list of prompt parts, goes on without end. */
async function serveEndless({head, piece}: Endless): Promise<net.Server> {
	const block = Buffer.from(piece.repeat(Math.ceil(pieceBytes / piece.length)));
	const server = net.createServer(socket => {
		socket.on('error', () => undefined);
		socket.once('data', (bytes: Uint8Array) => {
			socket.write(head(/^request-id: (?<id>\S+)/imv.exec(String(bytes))?.groups?.id ?? ''));
			const timer = setInterval(() => {
				if (!socket.writableNeedDrain) {
					socket.write(block);
				}
			}, pieceMilliseconds);
			socket.once('close', () => {
				clearInterval(timer);
			});
		});
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	return server;
}

function peakMegabytesOf({pid}: ChildProcess): number {
	return Number(/VmHWM:\s+(?<kilobytes>\d+)/v.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))?.groups?.kilobytes) / 1024;
}

/** Starts a gateway as it is deployed, with a file of settings in a folder. */
async function startGateway(folder: string, storeAddress: string, port: number): Promise<ChildProcess> {
	const file = `${folder}/gateway.json`;
	writeFileSync(file, JSON.stringify({
		instance: 'gateway', isFirstStart: true, availabilityZone: 'zone-a', callerAddress: `127.0.0.1:${port}`, adminAddress: `127.0.0.1:${await freePort()}`,
		peerAddress: `127.0.0.1:${await freePort()}`, storeAddress, memoryMegabytes, retryRatio: 0.2, retrySlack: 54, logLevel: 'error',
	}));
	// The test runner adds a loader to the processes that a test starts, which takes fifty megabytes of its own.
	return spawn('env', ['-u', 'NODE_OPTIONS', process.execPath, ...nodeFlags, program], {env: {PATH: process.env.PATH, CASSIAFLOW_CONFIG: file}, stdio: 'ignore'});
}

function send(port: number, path: string, {id, agent}: {id: string; agent: Agent}): Promise<number> {
	return new Promise(resolve => {
		const sent = httpRequest({host: '127.0.0.1', port, path, agent, headers: {Host: 'studio.example', 'Request-Id': id, 'Deadline-Ms': '1500', Authorization: 'Bearer key-a'}}, response => {
			response.resume();
			response.once('close', () => {
				resolve(response.complete ? response.statusCode ?? 0 : 0);
			});
		});
		sent.on('error', () => {
			resolve(0);
		});
		sent.end();
	});
}

async function sleep(milliseconds: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, milliseconds);
	});
}

/** Plays one instance, as it is deployed, before faulty endpoints of one service and a sound one of another. */
export async function playEndless(one: Endless): Promise<EndlessPlay> {
	const folder = mkdtempSync(`${tmpdir()}/cassiaflow-endless-`);
	await using store = await FakePlatformStore.create();
	await using sound = await FakePlatformWorker.create('sound', 'orders');
	sound.answer = () => ({type: 'whole', body: 'done', afterMilliseconds: 20});
	store.put('keyed.servers', sound.id, sound.beat());
	const servers = await Promise.all(Array.from({length: faultyWorkers}, async () => serveEndless(one)));
	for (const [number, server] of servers.entries()) {
		store.put('keyed.servers', `faulty-${number}`, {service: 'models', address: `127.0.0.1:${(server.address() as AddressInfo).port}`, zone: 'zone-a', version: 'v1', slots: 16, state: 'ready', seq: 1});
	}

	store.put('keyed.op', 'config', desiredState(1, {services: [{name: 'orders', maxConnections: 100}, {name: 'models', maxConnections: 100, engine: {slots: 16, kvCapacity: 400_000, stride: 7, most: 4}}]}));
	const port = await freePort();
	const gateway = await startGateway(folder, store.address, port);
	const agent = new Agent({keepAlive: true});
	const ended = {reason: ''};
	gateway.once('exit', (code, signal) => {
		ended.reason = signal ?? `code ${code}`;
	});
	while (await send(port, '/lookup/1', {id: 'first', agent}) !== 200 && ended.reason === '') {
		await sleep(50);
	}

	const until = performance.now() + playMilliseconds;
	const soundStatuses: number[] = [];
	const faulty = Array.from({length: requestsAtOnce}, async (_, number) => {
		for (let turn = 0; performance.now() < until; turn++) {
			await send(port, number % 2 === 0 ? '/chart/1' : '/question/1', {id: `faulty-${number}-${turn}`, agent});
			await sleep(betweenMilliseconds);
		}
	});
	for (let number = 0; performance.now() < until; number++) {
		soundStatuses.push(await send(port, '/lookup/1', {id: `sound-${number}`, agent}));
		await sleep(20);
	}

	const endedBy = ended.reason;
	const peak = endedBy === '' ? peakMegabytesOf(gateway) : Infinity;
	gateway.kill('SIGKILL');
	await Promise.all(faulty);
	agent.destroy();
	for (const server of servers) {
		server.close();
	}

	rmSync(folder, {recursive: true});
	return {endedBy, peakMegabytes: peak, served: soundStatuses.filter(status => status === 200).length, failed: soundStatuses.filter(status => status !== 200 && status !== 503)};
}
