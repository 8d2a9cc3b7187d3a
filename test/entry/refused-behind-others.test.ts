import {setTimeout as delay} from 'node:timers/promises';
import tap from 'tap';
import {until} from '../../bench/harness/local-fleet.js';
import {
	answersOf, connect, type Connection, headOf, orderOf, streamOf, Testbed,
} from './connection-bed.js';

/** Longer than the tests take to send. */
const noticeMilliseconds = 500;
/** Long enough for a request to be read. */
const laterMilliseconds = 100;

const models = `${headOf('GET', '/v1/models')}\r\n`;

/** What is answered by its headers alone. */
const byHeaders = [
	{name: 'a call of an unknown service', text: orderOf('unknown').replace('kitchen', 'cellar'), status: 404},
	{name: 'an unknown path', text: `${headOf('GET', '/nothing')}\r\n`, status: 404},
	{name: 'an unknown key', text: orderOf('unknown').replace('Bearer ', 'Bearer x'), status: 401},
	{name: 'a list of models', text: models, status: 200},
] as const;

function statusesOf(connection: Connection): number[] {
	return answersOf(connection).map(({status}) => status);
}

/** A connection that was used before, as callers keep them. */
async function keep(testbed: Testbed): Promise<Connection> {
	const connection = await connect(testbed);
	connection.socket.write(models);
	await until(() => connection.text !== '');
	connection.text = '';
	return connection;
}

// An answer by headers closed its connection in a stop, and the calls that were read together with it were ignored.
for (const {name, text, status} of byHeaders) {
	tap.test(`calls that are written at once with ${name} in a stop are all answered`, async t => {
		await using testbed = await Testbed.create();
		const connection = await keep(testbed);
		const drained = testbed.entry.drain(noticeMilliseconds);
		connection.socket.write(text + orderOf('second') + text + orderOf('fourth'));
		await until(() => connection.isClosed);
		t.same(answersOf(connection), [{status, of: undefined}, {status: 200, of: 'second'}, {status, of: undefined}, {status: 200, of: 'fourth'}]);
		await drained;
	});
}

// The same once the notice is over and all is refused: each call that was read has its refusal, whatever stands before it.
tap.test('calls that are written at once behind a stream after the notice are all refused', async t => {
	await using testbed = await Testbed.create();
	const connection = await keep(testbed);
	connection.socket.write(streamOf(60));
	await until(() => connection.text.includes('data: '));
	const drained = testbed.entry.drain();
	await delay(laterMilliseconds);
	connection.socket.write(orderOf('second') + orderOf('third') + orderOf('fourth'));
	await until(() => connection.isClosed);
	t.match(connection.text, '[DONE]');
	const [first, ...others] = statusesOf(connection);
	t.equal(first, 200);
	t.same(others, [503, 503, 503]);
	t.equal(testbed.runsOf('second') + testbed.runsOf('third') + testbed.runsOf('fourth'), 0);
	await drained;
});

// A refusal whose body is awaited closed its connection at once, and what was read behind that body was ignored.
tap.test('what is read in a stop behind a refusal whose body was awaited is answered', async t => {
	await using testbed = await Testbed.create();
	const connection = await keep(testbed);
	connection.socket.write(streamOf(40));
	await until(() => connection.text.includes('data: '));
	const drained = testbed.entry.drain(2 * noticeMilliseconds);
	const refused = orderOf('refused').replace('kitchen', 'cellar');
	connection.socket.write(refused.slice(0, -2));
	await delay(laterMilliseconds);
	connection.socket.write(refused.slice(-2) + orderOf('third'));
	await until(() => connection.isClosed);
	t.same(statusesOf(connection), [200, 404, 200]);
	t.equal(testbed.runsOf('third'), 1);
	await drained;
});
