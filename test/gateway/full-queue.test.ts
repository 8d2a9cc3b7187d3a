import tap from 'tap';
import {confirmation, draft, ticket} from './request-kinds.js';
import {VirtualFleet} from './virtual-fleet.js';
import {VirtualTime} from './virtual-time.js';

// 1500 drafts wait at one instance, the limit of its queue. Without this, a confirmation that could be served next got 503 with
// "reason":"line-full", since the queue refused the newest request regardless of its urgency.
tap.test('a full queue makes room for a more urgent request', async t => {
	using time = VirtualTime.install();
	const patient = {...draft, timeoutMilliseconds: 600_000, targetMilliseconds: 150_000};
	using fleet = VirtualFleet.create({time, kinds: [ticket, confirmation, patient], instances: 1, engines: 1, slots: 64, tokensPerMillisecond: 57, workspaceUrgencies: [1], seed: 1});
	for (let number = 0; number < 6; number++) {
		fleet.send('confirmation', 0);
	}

	const drafts = Array.from({length: 1600}, () => fleet.send('draft', 0));
	t.match(drafts.at(-1)!.decision, {type: 'refused', reason: 'line-full'}, 'the queue is full');
	const waiting = drafts.filter(({decision}) => decision === undefined);
	const urgent = fleet.send('confirmation', 0);
	t.equal(urgent.decision, undefined, 'it waits');
	t.same(waiting.filter(({decision}) => decision !== undefined), [waiting.at(-1)], 'the newest draft is refused instead');
	t.match(waiting.at(-1)!.decision, {type: 'refused', reason: 'line-full'});
	time.runFor(400);
	t.match(urgent.decision, {type: 'placed'});
});
