import {once} from 'node:events';
import net from 'node:net';
import tap from 'tap';
import {eventually, Testbed} from './testbed.js';

const workMilliseconds = 300;
/** Long enough for a request to be read, and shorter than it runs. */
const laterMilliseconds = 100;

type Connection = {readonly socket: net.Socket; text: string; isClosed: boolean};

/** How a response was answered, by the id of its request; bytes that are no HTTP are answered without one. */
type Answer = {readonly status: number; readonly id: string | undefined};

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

function textOf(id: string, path = '/release/1', more = 'Content-Length: 2\r\n\r\nhi'): string {
	return `POST ${path} HTTP/1.1\r\nHost: studio.example\r\nRequest-Id: ${id}\r\nAuthorization: Bearer key-a\r\nDeadline-Ms: 9000\r\n${more}`;
}

/** All responses of a connection, in their order. */
function answersOf({text}: Connection): Answer[] {
	return text.split(/(?=HTTP\/1\.1 \d)/v).filter(part => part !== '').map(part => ({
		status: Number(part.slice(9, 12)), id: /^request-id: (?<id>\S+)/imv.exec(part)?.groups?.id,
	}));
}

async function createTestbed(): Promise<Testbed> {
	const testbed = await Testbed.create();
	testbed.respondWith('orders', () => ({type: 'whole', body: 'done', afterMilliseconds: workMilliseconds}));
	testbed.respondWith('models', () => ({type: 'events', count: 8, gapMilliseconds: 40}));
	await testbed.startGateway({stopSeconds: 6});
	return testbed;
}

async function sleep(milliseconds: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, milliseconds);
	});
}

// Two requests of one connection were open when the stop began; the first response closed the connection, and the second, which had run, was lost.
tap.test('requests that were read behind each other before a stop are all answered', async t => {
	await using testbed = await createTestbed();
	const connection = await connect(testbed);
	connection.socket.write(textOf('first') + textOf('second') + textOf('third'));
	await eventually(() => testbed.attemptCount('third') === 1);
	const drained = testbed.gateways[0]!.drain();
	await eventually(() => connection.isClosed);
	t.same(answersOf(connection), [{status: 200, id: 'first'}, {status: 200, id: 'second'}, {status: 200, id: 'third'}]);
	t.ok(await drained);
});

// A request that came behind a response that closes its connection was passed on, and its answer was lost.
tap.test('what is read in a stop behind a response that closes the connection is answered, or not passed on', async t => {
	await using testbed = await createTestbed();
	const connection = await connect(testbed);
	connection.socket.write(textOf('first'));
	await eventually(() => testbed.attemptCount('first') === 1);
	const drained = testbed.gateways[0]!.drain();
	await sleep(laterMilliseconds);
	connection.socket.write(textOf('second'));
	await eventually(() => connection.isClosed);
	const answered = answersOf(connection).filter(({status}) => status === 200).map(({id}) => id);
	t.equal(answered.length, testbed.attemptCount('first') + testbed.attemptCount('second'), 'each request that ran has its answer');
	t.ok(await drained);
});

// The same behind a stream whose head was sent before the stop.
tap.test('what is read in a stop behind a stream that has begun is answered, or not passed on', async t => {
	await using testbed = await createTestbed();
	const connection = await connect(testbed);
	connection.socket.write(textOf('first', '/question/1'));
	await eventually(() => connection.text.includes('id: 1'));
	const drained = testbed.gateways[0]!.drain();
	connection.socket.write(textOf('second'));
	await eventually(() => connection.isClosed);
	t.match(connection.text, 'id: 8');
	t.equal(answersOf(connection).length, testbed.attemptCount('first') + testbed.attemptCount('second'), 'each request that ran has its answer');
	t.ok(await drained);
});

/** What may stand behind a request, and the status that the caller gets for it after the request's own answer. */
const malformed = [
	{name: 'bytes that are no HTTP', bytes: 'no HTTP at all\r\n\r\n', status: 400},
	{name: 'two lengths', bytes: textOf('bad', '/release/1', 'Content-Length: 2\r\nContent-Length: 3\r\n\r\nhi'), status: 400},
	{name: 'headers beyond the limit', bytes: textOf('bad', '/release/1', `X-Long: ${'x'.repeat(20_000)}\r\n\r\n`), status: 431},
	{name: 'a broken chunk', bytes: textOf('bad', '/release/1', 'Transfer-Encoding: chunked\r\n\r\nZZ\r\n'), status: 400},
	{name: 'a request for a tunnel', bytes: 'CONNECT studio.example:443 HTTP/1.1\r\nHost: studio.example\r\n\r\n', status: 400},
] as const;

// A 400 was written at once, and its caller took it for the answer to the request before, which had run.
for (const {name, bytes, status} of malformed) {
	tap.test(`an answer that is owed comes before that to ${name}`, async t => {
		await using testbed = await createTestbed();
		const connection = await connect(testbed);
		connection.socket.write(textOf('first'));
		await eventually(() => testbed.attemptCount('first') === 1);
		await sleep(laterMilliseconds);
		connection.socket.write(bytes);
		await eventually(() => connection.isClosed);
		const [first, second] = answersOf(connection);
		t.same(first, {status: 200, id: 'first'});
		t.equal(second?.status, status);
		t.equal(testbed.attemptCount('bad'), 0);
	});
}

// A refusal that closes its connection took with it the answer to the request behind it, which was passed on.
tap.test('what is read behind a body that is too long is not passed on', async t => {
	await using testbed = await createTestbed();
	const connection = await connect(testbed);
	const longBody = 'x'.repeat(2 * 1024 * 1024);
	connection.socket.write(textOf('first') + textOf('long', '/release/1', `Content-Length: ${longBody.length}\r\n\r\n${longBody}`) + textOf('behind'));
	await eventually(() => connection.isClosed);
	t.same(answersOf(connection).map(({status}) => status), [200, 413]);
	t.equal(testbed.attemptCount('behind'), 0);
});
