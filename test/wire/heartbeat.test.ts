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
