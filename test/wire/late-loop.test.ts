import tap from 'tap';
import {receive, spawn} from '../../src/concurrency/index.js';
import {type Connection, dial, Listener} from '../../src/wire/index.js';

const times = {heartbeatMilliseconds: 20, silenceMilliseconds: 100};

// An instance that stood still for seconds found all others silent when it went on, although what they had sent was there.
tap.test('a peer whose messages have arrived is not silent to a late event loop', async t => {
	let accepted: Connection | undefined;
	await using listener = await Listener.create({host: '127.0.0.1', port: 0, security: {type: 'plaintext'}, onConnection(connection) {
		accepted = connection;
	}});
	await using dialled = await dial(listener.address, {type: 'plaintext'});
	dialled.setBusy(true, times);
	void spawn('reader', function * () {
		while ((yield * receive(dialled.incoming)) !== undefined) {
			// Read on.
		}
	});
	await nextTurns();
	accepted!.send({type: 'heartbeat', catalogueOffset: 0});
	await nextTurns();
	accepted!.send({type: 'heartbeat', catalogueOffset: 0});
	await new Promise<void>(resolve => {
		// The heartbeat is written in this turn and read after the late one.
		setImmediate(() => {
			const until = performance.now() + (2 * times.silenceMilliseconds);
			while (performance.now() < until) {
				// The event loop reads nothing meanwhile.
			}

			dialled.takeHeartbeat(1);
			resolve();
		});
	});
	await nextTurns();
	t.ok(dialled.isOpen, dialled.closeReason);
});

async function nextTurns(): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, 10);
	});
}
