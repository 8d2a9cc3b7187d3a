import {once} from 'node:events';
import net, {type AddressInfo} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import tap from 'tap';
import {channel, tryReceive} from '../../src/concurrency/index.js';
import {ConnectionPool} from '../../src/gateway/endpoints/connection-pool.js';
import {type AttemptEvent} from '../../src/gateway/requests/attempt.js';
import {AttemptSender, type AttemptSenderOptions, type NewAttempt} from '../../src/gateway/requests/attempt-sender.js';
import {type ExchangeEvent} from '../../src/gateway/requests/exchange-options.js';

const waitMilliseconds = 100;

/** What an attempt delivers whose answer has begun and whose time is over, and whether it is cancelled after an end that came in the turn of its last event. */
async function deliveredOf(answer: string, {hasResponse = true} = {}): Promise<{readonly delivered: readonly string[]; readonly cancelled: number; readonly aborted: number}> {
	const server = net.createServer(socket => {
		socket.on('error', () => undefined);
		socket.once('data', () => {
			socket.write(answer);
		});
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const connectionPool = ConnectionPool.create(4);
	let aborted = 0;
	const abort = (): void => {
		aborted += 1;
	};

	const inbox = channel<ExchangeEvent>(16);
	const sender = AttemptSender.create({
		inbox,
		end: {at: performance.now() - 1, isStopped: false},
		forwarder: {handle: (_: unknown, {type}: AttemptEvent) => type === 'end' ? {type: 'done'} : undefined},
		exchange: {
			caller: {hasResponse, abort}, crashes: {monitor: {isWatching: false}}, codec: {requestHeaders: () => ['Host', 'a.example']}, facts: {id: 'late'}, route: {kind: 'safe'},
			request: {method: 'GET', path: '/'}, table: {service: () => undefined}, connectionPools: {forEndpoint: () => connectionPool}, responseMemory: {open: () => undefined},
		},
	} as unknown as AttemptSenderOptions);
	const {attempt} = sender.send({
		decision: {record: {id: 'a', service: 'models', address: `127.0.0.1:${(server.address() as AddressInfo).port}`}}, number: 1, remainingMilliseconds: 1000,
	} as unknown as NewAttempt);
	let cancelled = 0;
	const cancel = attempt.cancel.bind(attempt);
	attempt.cancel = () => {
		cancelled += 1;
		cancel();
	};

	await delay(waitMilliseconds);
	const delivered: string[] = [];
	for (let event = tryReceive(inbox); event !== undefined; event = tryReceive(inbox)) {
		delivered.push(event.type === 'outcome' ? event.outcome.type : event.type);
	}

	cancel();
	connectionPool.destroy();
	server.close();
	return {delivered, cancelled, aborted};
}

const head = 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n';

// The alarm of a late loop comes several turns later: an answer that goes on would end half a second after its time.
tap.test('an answer that has begun ends behind the turn that reads beyond its time, without an alarm', async t => {
	t.same(await deliveredOf(`${head}1\r\na\r\n`), {delivered: ['expired'], cancelled: 1, aborted: 1});
	t.same(await deliveredOf(`${head}1\r\na\r\n`, {hasResponse: false}), {delivered: [], cancelled: 0, aborted: 0}, 'one that has not is ended by its alarm alone');
});

// The look behind the turn must not end, for a second time, an answer whose end that turn has read.
tap.test('an answer whose end is read in the turn of its last event is whole, and is ended once', async t => {
	t.same(await deliveredOf(`${head}1\r\na\r\n0\r\n\r\n`), {delivered: ['done'], cancelled: 1, aborted: 0});
});
