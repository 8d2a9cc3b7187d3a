import tap from 'tap';
import {until} from '../../bench/harness/local-fleet.js';
import {
	answersOf, connect, type Connection, orderOf, streamOf, Testbed,
} from './connection-bed.js';

/** Long enough for callers to be refused before, and shorter than they may wait in queues. */
const stopMilliseconds = 1000;
const noticeMilliseconds = 3000;
const workMilliseconds = 700;
const earlier = 12;
/** More streams than the engine has slots, and longer than they may wait. */
const streams = 24;
const longTokens = 400;

/** Starts the stop, which lasts `stopMilliseconds`, with a port that is open for longer than the test takes. */
async function stop({entry}: Testbed): Promise<void> {
	const now = performance.now();
	await entry.drain(noticeMilliseconds, {endsAt: now + stopMilliseconds, lastStreamAt: now + noticeMilliseconds});
}

/** Sends an order, and resolves to its connection once it has been read. */
async function send(testbed: Testbed, text: string): Promise<Connection> {
	const connection = await connect(testbed);
	const before = testbed.entry.activeRequests;
	connection.socket.write(text);
	await until(() => testbed.entry.activeRequests > before);
	return connection;
}

async function learn(testbed: Testbed): Promise<void> {
	testbed.service.faults.workMilliseconds = workMilliseconds;
	const sent = await Promise.all(Array.from({length: earlier}, async (_, number) => send(testbed, orderOf(`earlier${number}`))));
	await until(() => sent.every(connection => answersOf(connection).length === 1));
	for (const {socket} of sent) {
		socket.destroy();
	}
}

// A call that waited for an endpoint when the stop began waited on, and began at its end.
tap.test('a call that waits for an endpoint in a stop is refused once it could not end', async t => {
	await using testbed = await Testbed.create();
	const connection = await send(testbed, orderOf('waits').replace('kitchen', 'pantry'));
	const drained = stop(testbed);
	await until(() => connection.isClosed);
	t.match(connection.text, /^HTTP\/1\.1 503 [\s\S]*"code":"stopping"[\s\S]*"verdict":"not-run"/v);
	await drained;
});

// The same of a stream in the queue of a side: its timer was set before the stop began.
tap.test('a stream that waits at a full side in a stop is refused once it could not end', async t => {
	await using testbed = await Testbed.create();
	const sent = await Promise.all(Array.from({length: streams}, async () => send(testbed, streamOf(longTokens))));
	await until(() => sent.some(({text}) => text.includes('data: ')));
	const drained = stop(testbed);
	await until(() => sent.every(({text, isClosed}) => isClosed || text.includes('data: ')));
	const refused = sent.filter(({text}) => !text.includes('data: '));
	t.ok(refused.length > 0);
	for (const {text} of refused) {
		t.match(text, /^HTTP\/1\.1 503 [\s\S]*"code":"stopping"[\s\S]*"verdict":"not-run"/v);
	}

	for (const {socket} of sent) {
		socket.destroy();
	}

	await drained;
});

// A call that failed late in the stop was sent again, and cut off.
tap.test('a lookup that fails too late in a stop is not sent again', async t => {
	await using testbed = await Testbed.create();
	await learn(testbed);
	testbed.service.faults.loseAnswers = 1;
	const connection = await send(testbed, orderOf('fails').replace('POST', 'GET'));
	await until(() => testbed.runsOf('fails') === 1);
	const drained = stop(testbed);
	await until(() => connection.isClosed);
	t.equal(testbed.runsOf('fails'), 1);
	t.match(connection.text, /^HTTP\/1\.1 5/v);
	await drained;
});
