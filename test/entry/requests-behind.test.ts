import {setTimeout as delay} from 'node:timers/promises';
import tap from 'tap';
import {until} from '../../bench/harness/local-fleet.js';
import {maxOpenRequests} from '../../src/policy/connections/index.js';
import {
	answersOf, connect, headOf, lookupOf, orderOf, streamOf, Testbed, workMilliseconds,
} from './connection-bed.js';

/** Long enough for a request to be read, and shorter than it runs. */
const laterMilliseconds = 100;
/** Longer than all that the tests send behind each other takes. */
const noticeMilliseconds = 500;

const threeAnswers = [{status: 200, of: 'first'}, {status: 200, of: 'second'}, {status: 200, of: 'third'}];

// The first response of a connection closed it in a stop, and the answers of the requests behind it, which had run, were lost.
tap.test('lookups that were read behind each other before a stop are all answered', async t => {
	await using testbed = await Testbed.create();
	const connection = await connect(testbed);
	connection.socket.write(lookupOf('first') + lookupOf('second') + lookupOf('third'));
	await until(() => testbed.runsOf('first') === 1);
	const drained = testbed.entry.drain(noticeMilliseconds);
	await until(() => connection.isClosed);
	t.same(answersOf(connection), threeAnswers);
	await drained;
});

// The same for orders: one whose connection breaks while the one before it is answered would have run without an answer.
tap.test('orders that were read behind each other before a stop run one after the other, and all are answered', async t => {
	await using testbed = await Testbed.create();
	const connection = await connect(testbed);
	connection.socket.write(orderOf('first') + orderOf('second') + orderOf('third'));
	await until(() => testbed.runsOf('first') === 1);
	const drained = testbed.entry.drain(noticeMilliseconds);
	await delay(laterMilliseconds);
	t.equal(testbed.runsOf('second'), 0, 'it waits for the answer before it');
	await until(() => connection.isClosed);
	t.same(answersOf(connection), threeAnswers);
	await drained;
});

// A request that came behind a response that closes its connection was run, and its answer was lost.
tap.test('what is read in a stop behind a request is answered, or not run', async t => {
	await using testbed = await Testbed.create();
	const connection = await connect(testbed);
	connection.socket.write(orderOf('first'));
	await until(() => testbed.runsOf('first') === 1);
	const drained = testbed.entry.drain(noticeMilliseconds);
	await delay(laterMilliseconds);
	connection.socket.write(orderOf('second'));
	await until(() => connection.isClosed);
	t.same(answersOf(connection), [{status: 200, of: 'first'}, {status: 200, of: 'second'}]);
	await drained;
});

// The same behind a stream whose head was sent before the stop; its connection stayed open, and its caller's next request met its close.
tap.test('what is read in a stop behind a stream that has begun is answered, or not run', async t => {
	await using testbed = await Testbed.create();
	const connection = await connect(testbed);
	connection.socket.write(streamOf(20));
	await until(() => connection.text.includes('data: '));
	const drained = testbed.entry.drain(noticeMilliseconds);
	connection.socket.write(orderOf('second'));
	await until(() => connection.isClosed);
	t.match(connection.text, '[DONE]');
	t.equal(answersOf(connection).filter(({of}) => of === 'second').length, testbed.runsOf('second'));
	await drained;
});

// A request behind one that breaks off was run, and its answer was lost with the connection.
tap.test('an order behind a response that breaks off does not run', async t => {
	await using testbed = await Testbed.create();
	testbed.service.faults.truncateAnswers = 1;
	const connection = await connect(testbed);
	connection.socket.write(orderOf('first') + orderOf('second'));
	await until(() => connection.isClosed);
	t.equal(testbed.runsOf('first'), 1);
	await delay(workMilliseconds);
	t.equal(testbed.runsOf('second'), 0);
	t.equal(testbed.entry.activeRequests, 0);
});

// Node tells nobody that a response behind another one has lost its connection: the work went on, and the request counted as open for ever.
tap.test('a caller that leaves with requests behind each other leaves nothing running', async t => {
	await using testbed = await Testbed.create();
	const connection = await connect(testbed);
	connection.socket.write(streamOf(400) + orderOf('second'));
	await until(() => connection.text.includes('data: '));
	await delay(laterMilliseconds);
	connection.socket.destroy();
	await until(() => testbed.entry.activeRequests === 0);
	await delay(laterMilliseconds);
	t.equal(testbed.runsOf('second'), 0);
	await testbed.entry.drain();
	t.equal(testbed.entry.activeRequests, 0);
});

// One connection could have as many requests read and held as its caller can write.
tap.test('more requests behind each other than are read ahead are refused, and have not run', async t => {
	await using testbed = await Testbed.create();
	testbed.service.faults.workMilliseconds = 10;
	const connection = await connect(testbed);
	connection.socket.write(Array.from({length: maxOpenRequests + 2}, (_, number) => orderOf(`many${number}`)).join(''));
	await until(() => connection.isClosed);
	const answers = answersOf(connection);
	t.equal(answers.length, maxOpenRequests + 1);
	t.same(answers.at(-1), {status: 429, of: undefined});
	t.ok(answers.slice(0, -1).every(({status}) => status === 200));
	t.equal(testbed.runsOf(`many${maxOpenRequests}`) + testbed.runsOf(`many${maxOpenRequests + 1}`), 0);
});

/** What may stand behind a request, and the status that the caller gets for it after the request's own answer. */
const malformed = [
	{name: 'bytes that are no HTTP', bytes: 'no HTTP at all\r\n\r\n', status: 400},
	{name: 'two lengths', bytes: orderOf('bad').replace('Host', 'Content-Length: 2\r\nHost'), status: 400},
	{name: 'headers beyond the limit', bytes: orderOf('bad').replace('Host', `X-Long: ${'x'.repeat(20_000)}\r\nHost`), status: 431},
	{name: 'a broken chunk of a model call', bytes: `${headOf('POST', '/v1/chat/completions')}Transfer-Encoding: chunked\r\n\r\nZZ\r\n`, status: 400},
	{name: 'a broken chunk of a service call', bytes: `${headOf('POST', '/services/kitchen/tickets')}Transfer-Encoding: chunked\r\n\r\nZZ\r\n`, status: 400},
	{name: 'a request for a tunnel', bytes: 'CONNECT studio.example:443 HTTP/1.1\r\nHost: studio.example\r\n\r\n', status: 400},
] as const;

// A 400 was written at once, and its caller took it for the answer to the request before, which had run.
for (const {name, bytes, status} of malformed) {
	tap.test(`an answer that is owed comes before that to ${name}`, async t => {
		await using testbed = await Testbed.create();
		const connection = await connect(testbed);
		connection.socket.write(orderOf('first'));
		await until(() => testbed.runsOf('first') === 1);
		await delay(laterMilliseconds);
		connection.socket.write(bytes);
		await until(() => connection.isClosed);
		const [first, second] = answersOf(connection);
		t.same(first, {status: 200, of: 'first'});
		t.equal(second?.status, status);
		t.equal(testbed.runsOf('bad'), 0);
	});
}

// A body whose rest is malformed, and not missing, would be waited for without an end, and so would its call.
tap.test('a body that breaks in its middle ends its call, and the caller is told', async t => {
	await using testbed = await Testbed.create();
	const connection = await connect(testbed);
	connection.socket.write(`${headOf('POST', '/services/kitchen/tickets')}Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n`);
	await delay(laterMilliseconds);
	connection.socket.write('ZZ\r\n');
	await until(() => connection.isClosed);
	t.match(answersOf(connection), [{status: 400}]);
	await until(() => testbed.entry.activeRequests === 0);
});

// A connection that closes while its caller still sends a body is reset, and the reset could overtake the refusal.
tap.test('a refusal in a stop reaches a caller that still sends its body', async t => {
	await using testbed = await Testbed.create();
	const connection = await connect(testbed);
	connection.socket.write(`${headOf('GET', '/v1/models')}\r\n`);
	await until(() => connection.text !== '');
	const drained = testbed.entry.drain(noticeMilliseconds);
	connection.text = '';
	connection.socket.pause();
	connection.socket.write(`${headOf('POST', '/services/cellar/tickets')}Content-Length: 60000\r\n\r\n`);
	const timer = setInterval(() => {
		connection.socket.write('x'.repeat(100));
	}, 10);
	await delay(2 * laterMilliseconds);
	connection.socket.resume();
	await until(() => connection.isClosed);
	clearInterval(timer);
	t.match(answersOf(connection), [{status: 404}]);
	await drained;
});

// The port closed with idle connections open, and their next requests met a closed connection after the stop, or kept it from ending.
tap.test('idle connections close at the end of the notice, and what they send before it is answered', async t => {
	await using testbed = await Testbed.create();
	const [used, idle] = [await connect(testbed), await connect(testbed)];
	for (const {socket} of [used, idle]) {
		socket.write(`${headOf('GET', '/v1/models')}\r\n`);
	}

	await until(() => used.text !== '' && idle.text !== '');
	const drained = testbed.entry.drain(noticeMilliseconds);
	await delay(laterMilliseconds);
	used.socket.write(orderOf('second'));
	await drained;
	await until(() => used.isClosed && idle.isClosed);
	t.match(answersOf(used), [{status: 200}, {status: 200, of: 'second'}]);
});
