import {PassThrough} from 'node:stream';
import fc from 'fast-check';
import tap from 'tap';
import {Connection, idleHeartbeatInterval, idleSilenceMilliseconds} from '../../src/wire/index.js';

tap.test('at least three idle heartbeats fit into the silence timeout, and at most 25 a second are sent over all connections', async () => {
	fc.assert(fc.property(fc.integer({min: 1, max: 400}), connections => {
		const interval = idleHeartbeatInterval(connections);
		return interval * 3 <= idleSilenceMilliseconds && interval >= 2000 && (connections * 1000 / interval <= 25.01 || interval === 15_000);
	}), {seed: 4});
});

tap.test('a heartbeat that was taken is not due again immediately', async t => {
	const connection = Connection.create(new PassThrough(), 'peer');
	connection.setBusy(true);
	connection.takeHeartbeat(1);
	t.notOk(connection.takeHeartbeat(1));
	connection.close('the test ends');
});

// An instance that loses power does not close its connections. Its peer detects the loss by the silence timeout;
// with the default times it would rely on the lost instance for six seconds.
tap.test('a busy connection with shorter times detects a lost peer sooner', async t => {
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
