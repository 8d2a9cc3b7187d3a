import {once} from 'node:events';
import net, {type AddressInfo} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import tap from 'tap';
import {ConnectionPool} from '../../src/gateway/endpoints/connection-pool.js';
import {Attempt, type AttemptEvent} from '../../src/gateway/requests/attempt.js';

/** Long enough that a connection counts as older than the restart, and that one that brings nothing is given up. */
const longMilliseconds = 2300;
/** Ends shortly before the connection is looked at. */
const shortMilliseconds = 1700;

type Pause = {readonly pauseMilliseconds: number; readonly bringsMore: boolean};
/** Types of the events in the pause and after it. */
type Brought = {readonly inPause: readonly string[]; readonly later: readonly string[]};

/** An attempt that its caller pauses when its endpoint restarts at its address; with `bringsMore`, the earlier process goes on a while after the pause. */
async function play({pauseMilliseconds, bringsMore}: Pause): Promise<Brought> {
	const server = net.createServer(socket => {
		socket.on('error', () => undefined);
		socket.once('data', () => {
			socket.write('HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n');
		});
	});
	server.listen(0, '127.0.0.1');
	const connected = once(server, 'connection');
	await once(server, 'listening');
	const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
	const connectionPool = ConnectionPool.create(4);
	const events: AttemptEvent[] = [];
	const attempt = Attempt.start({
		address, method: 'GET', path: '/', headers: ['Host', 'a.example'], body: undefined, connectionPool, mayRunAgain: true,
		onEvent(event) {
			events.push(event);
		},
	});
	const [socket] = await connected as [net.Socket];
	await delay(longMilliseconds);
	attempt.pause();
	connectionPool.handleRestart({id: 'a', hadAnnouncedLeaving: false, address, isAtSameAddress: true});
	await delay(pauseMilliseconds);
	const inPause = events.map(({type}) => type);
	attempt.resume();
	await delay(longMilliseconds / 4);
	if (bringsMore) {
		socket.write('1\r\nb\r\n0\r\n\r\n');
	}

	await delay(longMilliseconds);
	connectionPool.destroy();
	socket.destroy();
	server.close();
	return {inPause, later: events.map(({type}) => type).slice(inPause.length)};
}

const begun = {inPause: ['head', 'data'], later: ['data', 'end']};

// A stream was given up for the time in which its caller read too slowly: nothing was read from its endpoint then.
tap.test('an attempt that its caller pauses is given up for the silence after its pause alone', async t => {
	const [longPause, shortPause, silent] = await Promise.all([
		play({pauseMilliseconds: longMilliseconds, bringsMore: true}),
		play({pauseMilliseconds: shortMilliseconds, bringsMore: true}),
		play({pauseMilliseconds: longMilliseconds, bringsMore: false}),
	]);
	t.same(longPause, begun);
	t.same(shortPause, begun, 'a pause that ended just before the look');
	t.same(silent, {...begun, later: ['broken']}, 'one that brings nothing more');
});
