import {setTimeout as delay} from 'node:timers/promises';
import tap from 'tap';
import {until} from '../../bench/harness/local-fleet.js';
import {type Engine, ending, SidePlay, token} from './side-play.js';

/** Longer than a message may be, in characters. */
const tooLong = 9 * 1024 * 1024;
/** Events that together are longer than a message may be. */
const largeEvents = {count: 20, characters: 600_000};

/** The side reads what the engine has sent within this time. */
const readMilliseconds = 300;

const faults: Readonly<Record<string, string>> = {
	'an index that is a long text': `data: ${JSON.stringify({id: 'faulty', token_index: 'x'.repeat(2000)})}\n\n`,
	'a number of tokens that is a long text': `data: ${JSON.stringify({id: 'faulty', usage: {completion_tokens: 'x'.repeat(2000)}})}\n\ndata: [DONE]\n\n`,
	'an event that is longer than a message': token('faulty', 0, 'x'.repeat(tooLong)),
	'a usage that is longer than a message': `data: ${JSON.stringify({id: 'faulty', usage: {completion_tokens: 0, detail: 'x'.repeat(tooLong)}})}\n\ndata: [DONE]\n\n`,
};

function engineWith(fault: string, sound: {finish?: () => void}): Engine {
	return (request, response) => {
		if (request === 'faulty') {
			response.end(fault);
			return;
		}

		response.write(token(request, 0));
		sound.finish = () => {
			response.end(token(request, 1) + ending(request, 2));
		};
	};
}

// What an engine sent for one request closed the connection to the entry, or ended the side, and all requests there.
for (const [name, fault] of Object.entries(faults)) {
	tap.test(`${name} ends no other request`, async t => {
		const sound: {finish?: () => void} = {};
		await using play = await SidePlay.create(engineWith(fault, sound));
		const entry = await play.connect();
		entry.reserve('sound');
		await until(() => entry.framesOf('sound', 'chunk').length === 1);
		entry.reserve('faulty');
		await until(() => entry.framesOf('faulty', 'fail').length === 1 || !entry.connection.isOpen);
		t.match(entry.framesOf('faulty', 'fail'), [{kind: 'bad_answer', verdict: 'may-have-run'}]);
		sound.finish!();
		await until(() => entry.framesOf('sound', 'end').length === 1 || !entry.connection.isOpen);
		t.equal(entry.framesOf('sound', 'end').length, 1, entry.connection.closeReason);
	});
}

// The events that had arrived while a caller read nothing were sent as one message, whatever their size.
tap.test('events that are longer together than a message arrive whole', async t => {
	const {count, characters} = largeEvents;
	let isSent = false;
	await using play = await SidePlay.create((request, response) => {
		response.end(Array.from({length: count}, (_, index) => token(request, index, 'x'.repeat(characters))).join('') + ending(request, count), () => {
			isSent = true;
		});
	});
	const entry = await play.connect();
	const stream = entry.reserve('large', 1);
	await until(() => isSent);
	await delay(readMilliseconds);
	entry.connection.send({type: 'credit', stream, request: 'large', events: count});
	await until(() => entry.framesOf('large', 'end').length === 1 || !entry.connection.isOpen);
	const events = entry.framesOf('large', 'chunk').flatMap(chunk => chunk.events);
	t.same(events.map(event => (JSON.parse(event) as {token_index: number}).token_index), Array.from({length: count}, (_, index) => index));
});
