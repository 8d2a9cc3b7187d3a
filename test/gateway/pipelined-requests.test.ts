import {once} from 'node:events';
import net from 'node:net';
import tap from 'tap';
import {maxOpenRequests} from '../../src/policy/connections/index.js';
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

/** The callers' kinds of requests: an order, which may run once, and a lookup. */
function lookupOf(id: string): string {
	return textOf(id, '/lookup/1', '\r\n').replace('POST', 'GET');
}

const threeAnswers = [{status: 200, id: 'first'}, {status: 200, id: 'second'}, {status: 200, id: 'third'}];

// Requests of one connection were open when the stop began; the first response closed the connection, and the others, which had run, were lost.
tap.test('lookups that were read behind each other before a stop are all answered', async t => {
	await using testbed = await createTestbed();
	const connection = await connect(testbed);
	connection.socket.write(lookupOf('first') + lookupOf('second') + lookupOf('third'));
	await eventually(() => testbed.attemptCount('third') === 1);
	t.notOk(connection.text, 'they run beside each other');
	const drained = testbed.gateways[0]!.drain();
	await eventually(() => connection.isClosed);
	t.same(answersOf(connection), threeAnswers);
	t.ok(await drained);
});

// The same for orders: one whose connection breaks while the one before it is answered would have run without an answer.
tap.test('orders that were read behind each other before a stop run one after the other, and all are answered', async t => {
	await using testbed = await createTestbed();
	const connection = await connect(testbed);
	connection.socket.write(textOf('first') + textOf('second') + textOf('third'));
	await eventually(() => testbed.attemptCount('first') === 1);
	const drained = testbed.gateways[0]!.drain();
	await sleep(laterMilliseconds);
	t.equal(testbed.attemptCount('second'), 0, 'it waits for the answer before it');
	await eventually(() => connection.isClosed);
	t.same(answersOf(connection), threeAnswers);
	t.ok(await drained);
});

// A request behind one that breaks off was passed on, and its answer was lost with the connection.
tap.test('an order behind a stream that breaks off is not passed on', async t => {
	await using testbed = await createTestbed();
	testbed.respondWith('models', () => ({type: 'events', count: 8, gapMilliseconds: 40, cutAfter: 4}));
	const connection = await connect(testbed);
	connection.socket.write(textOf('first', '/question/1') + textOf('second'));
	await eventually(() => connection.isClosed);
	t.match(connection.text, 'id: 4');
	t.equal(testbed.attemptCount('second'), 0);
});

// A request that came behind a response that closes its connection was passed on, and its answer was lost.
tap.test('what is read in a stop behind a request is answered, or not passed on', async t => {
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
	t.same(answered, ['first', 'second']);
	t.ok(await drained);
});

// Node tells nobody that a response behind another one has lost its connection: the work went on, and the request counted as open for ever.
tap.test('a caller that leaves with lookups behind each other leaves nothing running', async t => {
	await using testbed = await createTestbed();
	const connection = await connect(testbed);
	connection.socket.write(lookupOf('first') + lookupOf('second'));
	await eventually(() => testbed.attemptCount('second') === 1);
	connection.socket.destroy();
	await eventually(() => testbed.workers.flatMap(({abandoned}) => abandoned).length === 2, workMilliseconds);
	t.equal(testbed.gateways[0]!.gateway.openRequests, 0);
});

// One connection could have as many requests read and held as its caller can write.
tap.test('more requests behind each other than are read ahead are refused, and have not run', async t => {
	await using testbed = await createTestbed();
	const connection = await connect(testbed);
	connection.socket.write(Array.from({length: maxOpenRequests + 2}, (_, number) => lookupOf(`many-${number}`)).join(''));
	await eventually(() => connection.isClosed);
	const answers = answersOf(connection);
	t.equal(answers.length, maxOpenRequests + 1);
	t.same(answers.at(-1), {status: 503, id: `many-${maxOpenRequests}`});
	t.ok(answers.slice(0, -1).every(({status}) => status === 200));
	t.equal(testbed.attemptCount(`many-${maxOpenRequests}`) + testbed.attemptCount(`many-${maxOpenRequests + 1}`), 0);
});

// A request whose turn came after its caller's deadline must not be passed on, and says so.
tap.test('an order whose deadline passes while it waits for its turn has not run', async t => {
	await using testbed = await createTestbed();
	const connection = await connect(testbed);
	connection.socket.write(textOf('first') + textOf('second').replace('Deadline-Ms: 9000', `Deadline-Ms: ${laterMilliseconds}`));
	await eventually(() => answersOf(connection).length === 2);
	t.same(answersOf(connection), [{status: 200, id: 'first'}, {status: 503, id: 'second'}]);
	t.equal(testbed.attemptCount('second'), 0);
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

// The first was refused as soon as its headers were parsed, which closed the connection: those that had come with it were ignored, and their callers saw a close.
tap.test('what arrives in a stop together with a request that is refused at once is answered', async t => {
	await using testbed = await createTestbed();
	const connection = await connect(testbed);
	const drained = testbed.gateways[0]!.drain();
	connection.socket.write(lookupOf('first').replace('/lookup/1', '/nowhere/1') + lookupOf('second') + textOf('third'));
	await eventually(() => connection.isClosed);
	t.same(answersOf(connection), [{status: 404, id: 'first'}, {status: 200, id: 'second'}, {status: 200, id: 'third'}]);
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

// The answer to the second, a refusal, waited behind the first and was already taken for the one that closes the connection: what came then was read, never answered.
tap.test('what is read in a stop behind a refusal that waits for its turn is answered', async t => {
	await using testbed = await createTestbed();
	const connection = await connect(testbed);
	connection.socket.write(lookupOf('first'));
	await eventually(() => testbed.attemptCount('first') === 1);
	const drained = testbed.gateways[0]!.drain();
	connection.socket.write(lookupOf('second').replace('/lookup/1', '/nowhere/1'));
	await sleep(laterMilliseconds);
	connection.socket.write(lookupOf('third') + textOf('fourth'));
	await eventually(() => connection.isClosed);
	t.same(answersOf(connection), [{status: 200, id: 'first'}, {status: 404, id: 'second'}, {status: 200, id: 'third'}, {status: 200, id: 'fourth'}]);
	t.ok(await drained, 'the stop is whole');
});

// The body of a request that waited for its turn was held for ever when its caller had left.
tap.test('an order whose caller leaves while it waits for its turn has not run, and holds nothing', async t => {
	await using testbed = await createTestbed();
	const connection = await connect(testbed);
	connection.socket.write(textOf('first') + textOf('second'));
	await eventually(() => testbed.attemptCount('first') === 1);
	connection.socket.destroy();
	await eventually(() => testbed.gateways[0]!.gateway.heldBytes.bodies === 0 && testbed.gateways[0]!.gateway.openRequests === 0);
	await sleep(workMilliseconds);
	t.equal(testbed.attemptCount('second'), 0);
});

// Each further piece of bytes that are no request was reported again, and logged.
tap.test('bytes that are no request are logged once for a connection', async t => {
	await using testbed = await createTestbed();
	const connection = await connect(testbed);
	connection.socket.write(textOf('first'));
	await eventually(() => testbed.attemptCount('first') === 1);
	for (let number = 0; number < 10; number++) {
		connection.socket.write('no HTTP at all\r\n\r\n');
		await sleep(10);
	}

	await eventually(() => connection.isClosed);
	t.equal(testbed.logLines.filter(({status}) => status === 400).length, 1);
	t.same(answersOf(connection).map(({status}) => status), [200, 400]);
});
