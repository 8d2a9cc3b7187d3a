import {once} from 'node:events';
import net from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import tap from 'tap';
import {splitAddress} from '../../src/model/index.js';
import {type Connection, Listener} from '../../src/wire/index.js';

/** More than the operating system holds for a peer that does not read. */
const sentBytes = 16_000_000;
/** A peer whose event loop is late, or whose link is narrow; it does not count as lost yet. */
const lateMilliseconds = 1500;

// A process that stopped cut off its last answers half a second after them, when their reader was late.
tap.test('what was sent before the end of a connection arrives, also at a peer that reads late', async t => {
	const connections: Connection[] = [];
	await using listener = await Listener.create({host: '127.0.0.1', port: 0, security: {type: 'plaintext'}, onConnection(connection) {
		connections.push(connection);
	}});
	const peer = net.connect(splitAddress(listener.address));
	await once(peer, 'connect');
	peer.pause();
	while (connections.length === 0) {
		await delay(1);
	}

	const accepted = connections[0]!;
	accepted.sendFrame(new Uint8Array(sentBytes));
	const ended = accepted[Symbol.asyncDispose]();
	await delay(lateMilliseconds);
	let received = 0;
	peer.on('data', bytes => {
		received += bytes.length;
	});
	peer.on('error', () => undefined);
	peer.resume();
	await once(peer, 'close');
	t.equal(received, sentBytes);
	await ended;
});
