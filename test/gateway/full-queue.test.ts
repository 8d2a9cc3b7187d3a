import tap from 'tap';
import {confirmation, draft, ticket} from './request-kinds.js';
import {VirtualFleet} from './virtual-fleet.js';
import {VirtualTime} from './virtual-time.js';

// Fifteen hundred drafts wait at one instance, as many as it holds. A confirmation that could be served next got 503 with
// "reason":"line-full", since the line turned away whoever came last, whatever its rank.
tap.test('a full line makes room for who is more urgent', async t => {
	using time = VirtualTime.install();
	const patient = {...draft, timeoutMilliseconds: 600_000, targetMilliseconds: 150_000};
	using fleet = VirtualFleet.create({time, kinds: [ticket, confirmation, patient], instances: 1, engines: 1, slots: 64, tokensPerMillisecond: 57, workspaces: [1], seed: 1});
	for (let number = 0; number < 6; number++) {
		fleet.ask('confirmation', 0);
	}

	const drafts = Array.from({length: 1600}, () => fleet.ask('draft', 0));
	t.match(drafts.at(-1)!.decision, {type: 'refused', reason: 'line-full'}, 'the line is full');
	const waiting = drafts.filter(({decision}) => decision === undefined);
	const urgent = fleet.ask('confirmation', 0);
	t.equal(urgent.decision, undefined, 'it waits');
	t.same(waiting.filter(({decision}) => decision !== undefined), [waiting.at(-1)], 'the draft that came last has left for it');
	t.match(waiting.at(-1)!.decision, {type: 'refused', reason: 'line-full'});
	time.runFor(400);
	t.match(urgent.decision, {type: 'placed'});
});
