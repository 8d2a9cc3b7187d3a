import {stat} from 'node:fs/promises';
import {type IncomingMessage} from 'node:http';
import tap from 'tap';
import {type PipelinedResponse} from '../../src/connections/index.js';
import {runCallers} from './caller-thread.js';
import {answer, block, requestOf, ServerBed} from './server-bed.js';

/** Node ends idle connections a second later than this. */
const keepAliveMilliseconds = 1;
const idleMilliseconds = 1000 + keepAliveMilliseconds;
const blockedMilliseconds = 800;
/** Within the time that the loop is blocked. */
const laterMilliseconds = 100;

/** One caller on a kept connection, whose second request arrives while the loop is blocked beyond the idle timeout. */
async function sendBeyondIdle(isPlain: boolean, answerMilliseconds = 0): Promise<{text: string; served: readonly string[]}> {
	await using bed = await ServerBed.create({isPlain, keepAliveMilliseconds, serve(request, response) {
		if (request.url === '/second' && answerMilliseconds > 0) {
			setTimeout(answer, answerMilliseconds, request, response);
			return;
		}

		answer(request, response);
		if (request.url === '/first') {
			response.once('close', () => {
				setImmediate(block, idleMilliseconds + blockedMilliseconds);
			});
		}
	}});
	const [result] = await runCallers(bed.port, [{writes: [{atMilliseconds: 0, text: requestOf('/first')}, {atMilliseconds: laterMilliseconds, text: requestOf('/second')}]}]);
	return {text: result!.text, served: bed.served};
}

// Timers run before sockets are read: the idle timeout closed connections whose next request had arrived long before.
tap.test('a request that lies unread when the idle timeout passes in a late loop is served', async t => {
	const {text, served} = await sendBeyondIdle(false);
	t.same(served, ['/first', '/second']);
	t.match(text, 'answer to /second');
});

// The answer was written in the turn of its reading, before the close for the idle timeout: one that takes time was lost.
tap.test('the same is served if its answer takes time', async t => {
	const {text, served} = await sendBeyondIdle(false, laterMilliseconds);
	t.same(served, ['/first', '/second']);
	t.match(text, 'answer to /second');
});

tap.test('a server of Node alone loses it', async t => {
	const {text, served} = await sendBeyondIdle(true);
	t.same(served, ['/first']);
	t.notMatch(text, 'answer to /second');
});

const newCallers = 20;

// A turn of the event loop accepts one connection: of those that had waited for a late loop all but one were reset when the port closed.
tap.test('connections that wait to be accepted when the port closes are served', async t => {
	await using bed = await ServerBed.create();
	let ended: Promise<void> | undefined;
	const plans = Array.from({length: newCallers}, (_, number) => ({opensAtMilliseconds: laterMilliseconds, writes: [{atMilliseconds: 0, text: requestOf(`/new-${number}`)}]}));
	const results = await runCallers(bed.port, plans, () => {
		block(blockedMilliseconds);
		bed.connections!.startClosing();
		ended = bed.connections!.end();
	});
	await ended;
	t.equal(results.filter(({text}) => text.includes('answer to /new-')).length, newCallers);
});

/** Answers in a callback of I/O, as that of an endpoint's answer is: timers are followed by a reading of sockets, and I/O is not. */
async function answerAfterIo(request: IncomingMessage, response: PipelinedResponse): Promise<void> {
	await stat('.');
	answer(request, response);
}

// A connection that never had a request is closed last; the request that it had sent meanwhile lay unread.
tap.test('a request that arrives on a new connection while the last answer is made is served', async t => {
	await using bed = await ServerBed.create({serve(request, response) {
		if (request.url === '/last') {
			setTimeout(() => {
				void answerAfterIo(request, response);
			}, 2 * laterMilliseconds);
			response.once('finish', () => {
				block(blockedMilliseconds);
			});
			return;
		}

		answer(request, response);
	}});
	const running = runCallers(bed.port, [{writes: [{atMilliseconds: 0, text: requestOf('/last')}]}, {writes: [{atMilliseconds: blockedMilliseconds / 2, text: requestOf('/new')}]}]);
	while (bed.served.length === 0) {
		await new Promise(resolve => {
			setTimeout(resolve, 5);
		});
	}

	bed.connections!.startClosing();
	await bed.connections!.end();
	const [last, fresh] = await running;
	t.match(last!.text, 'answer to /last');
	t.match(fresh!.text, 'answer to /new');
});
