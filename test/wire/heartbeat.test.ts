import {PassThrough} from 'node:stream';
import fc from 'fast-check';
import tap from 'tap';
import {Connection, idleHeartbeatInterval, idleSilenceMilliseconds} from '../../src/wire/index.js';

tap.test('idle heartbeats come thrice before silence counts, and at most 25 a second over all connections', async () => {
	fc.assert(fc.property(fc.integer({min: 1, max: 400}), connections => {
		const interval = idleHeartbeatInterval(connections);
		return interval * 3 <= idleSilenceMilliseconds && interval >= 2000 && (connections * 1000 / interval <= 25.01 || interval === 15_000);
	}), {seed: 4});
});

tap.test('a heartbeat that was taken is not due again at once', async t => {
	const connection = Connection.create(new PassThrough(), 'peer');
	connection.setBusy(true);
	connection.takeHeartbeat(1);
	t.notOk(connection.takeHeartbeat(1));
	connection.close('the test ends');
});

// An instance loses power: no packet says so. Its peer sees that nothing comes for longer than the times
// that both keep, and takes it for lost; with the usual times it would count on it for six seconds more.
tap.test('a busy connection with shorter times takes silence for loss sooner', async t => {
	const connection = Connection.create(new PassThrough(), 'peer');
	connection.setBusy(true, {heartbeatMilliseconds: 20, silenceMilliseconds: 60});
	const startedAt = performance.now();
	while (connection.isOpen) {
		await new Promise(resolve => {
			setTimeout(resolve, 10);
		});
		connection.takeHeartbeat(1);
	}

	t.equal(connection.closeReason, 'the peer is silent');
	t.ok(performance.now() - startedAt >= 60, 'and not before');
});
