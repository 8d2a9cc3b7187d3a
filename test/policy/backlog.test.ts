import tap from 'tap';
import {createRandom} from '../../bench/harness/random.js';
import {LoadTracker} from '../../src/policy/dispatch/index.js';

// Sixty confirmations waited at an instance and were refused after a second, while engines read for little over half of the time
// (300 tokens a millisecond in "unread" of Sent lines, where eight engines do 540 between their steps). An engine reads the next prompt
// while the first event of the one before is on its way, 40 ms and what the event loops take; the backlog counted each prompt
// as unread until that event had come, though by then the next one was read as well.
const tokensPerMillisecond = 90;
const latencyMilliseconds = 40;
const promptTokens = 1800;
/** What may wait where the least urgent are let in among four instances; an error of half of it and more orders nothing. */
const leastBound = 39;

type Prompt = {readonly id: string; readonly firstEventAt: number};

/** An engine that reads one prompt after the other while it has any. */
function play(share: number, seed: number): {readonly bias: number; readonly errors: readonly number[]} {
	const random = createRandom(seed);
	const book = LoadTracker.create();
	const coming: Prompt[] = [];
	const errors: number[] = [];
	const reading = promptTokens / tokensPerMillisecond;
	let freeAt = 0;
	let at = 0;
	for (let number = 0; number < 400; number++) {
		at += random.exponential(reading / share);
		for (let next = coming[0]; next !== undefined && next.firstEventAt <= at; next = coming[0]) {
			book.step({type: 'first-event', id: next.id}, next.firstEventAt);
			coming.shift();
		}

		errors.push(book.load('engine', at).backlogMilliseconds - Math.max(0, freeAt - at));
		const id = `a/${number}`;
		book.step({type: 'placed', run: {id, owner: 'a', endpoint: 'engine', service: 'models', prefillTokens: promptTokens, isLatencyCritical: false, parts: []}}, at);
		freeAt = Math.max(freeAt, at) + reading;
		coming.push({id, firstEventAt: freeAt + latencyMilliseconds});
	}

	return {bias: errors.reduce((sum, error) => sum + error, 0) / errors.length, errors};
}

for (const share of [0.3, 0.6, 0.8, 0.95]) {
	tap.test(`an engine that reads for ${share} of the time is not taken for busy with what it has read`, async t => {
		for (const seed of [1, 2, 3]) {
			const {bias} = play(share, seed);
			t.ok(Math.abs(bias) < leastBound / 2, `the backlog is off by ${bias.toFixed(1)} ms on average`);
		}
	});
}
