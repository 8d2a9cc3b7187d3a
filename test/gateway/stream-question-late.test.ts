import {once} from 'node:events';
import net, {type AddressInfo} from 'node:net';
import tap from 'tap';
import {StreamQuestion} from '../../src/gateway/streams/stream-question.js';

/** For so long the loop is in one turn: longer than other instances may take to answer. */
const standMilliseconds = 600;

// The answers lay in the kernel behind a late turn, and the timer ran first: the stream that the caller took up was refused as unknown.
tap.test('answers that came in time end a question, although its loop was late', async t => {
	const server = net.createServer(socket => {
		socket.write('unknown');
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const link = net.connect((server.address() as AddressInfo).port, '127.0.0.1');
	const [accepted] = await once(server, 'connection') as [net.Socket];
	await once(link, 'data');
	const question = StreamQuestion.create(['other']);
	let isAnswered = false;
	link.on('data', () => {
		isAnswered = true;
		question.recordUnknown('other');
	});
	accepted.write('unknown');
	const until = performance.now() + standMilliseconds;
	while (performance.now() < until) {
		// Nothing else runs.
	}

	await question.ended;
	t.ok(isAnswered, 'the answer was read before the question ended');
	link.destroy();
	accepted.destroy();
	server.close();
});

// Without an end a caller that takes up a stream would be held by an instance that never answers.
tap.test('a question that nobody answers ends', async () => {
	const {ended} = StreamQuestion.create(['other']);
	await ended;
});
