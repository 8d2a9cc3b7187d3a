import {once} from 'node:events';
import net from 'node:net';
import tap from 'tap';
import {desiredState} from '../../fakes/platform-state.js';
import {eventually, Testbed} from './testbed.js';

const stopSeconds = 4;
/** The route's timeout and the caller's deadline reach beyond the end of the grace. */
const longMilliseconds = 9000;
/** More than the share of a small instance's memory that bodies may take. */
const longBytes = 16 * 1024 * 1024;
const smallMegabytes = 64;
const workMilliseconds: Readonly<Record<string, number>> = {before: 2500, running: 1500};

type Connection = {readonly socket: net.Socket; text: string; isClosed: boolean};
type Answer = {readonly status: number; readonly id: string | undefined; readonly closes: boolean};

const route = {host: 'studio.example', timeoutMs: longMilliseconds, targetLatencyMs: 100, priority: 1, public: false, sticky: false, resumable: false, service: 'orders', maxAttempts: 1};

async function createTestbed(settings: Readonly<Record<string, unknown>> = {}): Promise<Testbed> {
	const testbed = await Testbed.create({services: ['orders'], workersEach: 1});
	testbed.store.put('keyed.op', 'config', desiredState(2, {
		limits: {maxHeaderBytes: 16_384, maxBodyBytes: 2 * longBytes, headerTimeoutMs: 3000, idleTimeoutMs: 15_000},
		routes: [
			{...route, name: 'release', pathPrefix: '/release/', kind: 'unsafe'},
			{...route, name: 'lookup', pathPrefix: '/lookup/', kind: 'safe'},
			{...route, name: 'report', pathPrefix: '/report/', kind: 'safe'},
		],
	}));
	testbed.respondWith('orders', ({id}) => ({type: 'whole', body: `answer to ${id}`, afterMilliseconds: workMilliseconds[id] ?? 20}));
	const gateway = await testbed.startGateway({stopSeconds, ...settings});
	await eventually(() => gateway.routingState.table?.version === 2);
	return testbed;
}

async function connect(testbed: Testbed): Promise<Connection> {
	const [host, port] = testbed.gateways[0]!.gateway.address.split(':');
	const connection: Connection = {socket: net.connect(Number(port), host), text: '', isClosed: false};
	connection.socket.on('data', (bytes: Uint8Array) => {
		connection.text += String(bytes);
	});
	connection.socket.on('error', () => undefined);
	connection.socket.once('close', () => {
		connection.isClosed = true;
	});
	await once(connection.socket, 'connect');
	return connection;
}

function headOf(id: string): string {
	return `POST /release/1 HTTP/1.1\r\nHost: studio.example\r\nRequest-Id: ${id}\r\nAuthorization: Bearer key-a\r\nDeadline-Ms: ${longMilliseconds}\r\nContent-Length: 4\r\n\r\n`;
}

function lookupOf(id: string, path = '/lookup/1'): string {
	return `GET ${path} HTTP/1.1\r\nHost: studio.example\r\nRequest-Id: ${id}\r\nAuthorization: Bearer key-a\r\nDeadline-Ms: ${longMilliseconds}\r\n\r\n`;
}

/** All responses of a connection, in their order. */
function answersOf({text}: Connection): Answer[] {
	return text.split(/(?=HTTP\/1\.1 \d)/v).filter(part => part !== '').map(part => ({
		status: Number(part.slice(9, 12)), id: /^request-id: (?<id>\S+)/imv.exec(part)?.groups?.id, closes: /^connection: close/imv.test(part),
	}));
}

async function sleep(milliseconds: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, milliseconds);
	});
}

/** Sends a report that runs, and behind it the beginning of a release, which no stop has time for. */
async function sendUnfinished(testbed: Testbed): Promise<Connection> {
	const lookups = Array.from({length: 10}, async (_, number) => testbed.send({path: '/lookup/1', id: `before-lookup-${number}`}));
	await Promise.all([testbed.send({path: '/release/1', method: 'POST', id: 'before'}), ...lookups]);
	const connection = await connect(testbed);
	connection.socket.write(`${lookupOf('running', '/report/1')}${headOf('late')}hi`);
	await eventually(() => testbed.attemptCount('running') === 1);
	return connection;
}

// A stop refused a request whose body was awaited, behind one that ran: all that was read until that one's end was ignored, and then closed without an answer.
tap.test('what is read in a stop behind a refusal that waits for its turn is answered, also if the refused body was awaited', async t => {
	await using testbed = await createTestbed();
	const connection = await sendUnfinished(testbed);
	const drained = testbed.gateways[0]!.drain();
	await sleep(800);
	connection.socket.write(`!!${lookupOf('third')}${lookupOf('fourth')}`);
	await eventually(() => connection.isClosed);
	t.same(answersOf(connection).map(({status, id}) => ({status, id})), [{status: 200, id: 'running'}, {status: 503, id: 'late'}, {status: 200, id: 'third'}, {status: 200, id: 'fourth'}]);
	t.equal(testbed.attemptCount('late'), 0);
	t.ok(await drained);
});

// The refusal must not await the body either: its caller would wait for it until the end of the grace.
tap.test('a refusal of a stop that waits for its turn closes its connection if its body has not ended by then', async t => {
	await using testbed = await createTestbed();
	const connection = await sendUnfinished(testbed);
	const startedAt = performance.now();
	const drained = testbed.gateways[0]!.drain();
	await eventually(() => connection.isClosed);
	t.same(answersOf(connection), [{status: 200, id: 'running', closes: false}, {status: 503, id: 'late', closes: true}]);
	t.ok(performance.now() - startedAt < 2200, 'once it is its turn');
	t.equal(testbed.attemptCount('late'), 0);
	t.ok(await drained);
});

// The same at any time, where the bodies of all requests take the memory that there is for them.
tap.test('what is read behind a refusal for memory that waits for its turn is answered', async t => {
	await using testbed = await createTestbed({memoryMegabytes: smallMegabytes});
	const connection = await connect(testbed);
	connection.socket.write(lookupOf('running', '/report/1'));
	const chunk = `${longBytes.toString(16)}\r\n${'.'.repeat(longBytes)}\r\n0\r\n\r\n`;
	connection.socket.write(`${headOf('long').replace('Content-Length: 4', 'Transfer-Encoding: chunked')}${chunk}`);
	connection.socket.write(lookupOf('third'));
	await eventually(() => connection.isClosed || answersOf(connection).length === 3);
	t.same(answersOf(connection).map(({status, id}) => ({status, id})), [{status: 200, id: 'running'}, {status: 503, id: 'long'}, {status: 200, id: 'third'}]);
	t.equal(testbed.gateways[0]!.gateway.heldBytes.bodies, 0);
	connection.socket.destroy();
});
