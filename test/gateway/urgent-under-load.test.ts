import tap from 'tap';
import {breaches, confirmation, draft, ticket, workspaces} from './urgent-kinds.js';
import {VirtualFleet} from './virtual-fleet.js';
import {VirtualTime} from './virtual-time.js';

// For ten seconds drafts come at twice what the engines can read. Confirmations of the same workspaces were answered 503 a
// millisecond after they came, 23 of 225 in five seconds, while drafts of four times their size were served. Nine
// of ten workspaces had the same urgency, which went in place of the route's, so both kinds stood in one line without an order; whoever
// could not bear its length was refused, and a confirmation bears 2 s where a draft bears 4.8 s. A refusal then said:
// "reason":"too-late","ahead":38,"waited":1 with rank 1, line wait 2001 ms and 1998 ms left, and 37 of the 38 were drafts of rank 1.
tap.test('a confirmation is not refused for drafts that can wait longer', async t => {
	using time = VirtualTime.install();
	using fleet = VirtualFleet.create({time, kinds: [ticket, confirmation, draft], instances: 4, engines: 6, slots: 64, tokensPerMillisecond: 57, workspaces, seed: 1});
	const from = time.now;
	for (const instance of fleet.dispatchers.keys()) {
		fleet.arrive('draft', instance, {perSecond: 33, forMilliseconds: 10_000});
		fleet.arrive('confirmation', instance, {perSecond: 15, forMilliseconds: 10_000});
		fleet.arrive('ticket', instance, {perSecond: 5, forMilliseconds: 10_000});
	}

	time.runFor(16_000);
	const span = {from, to: from + 10_000};
	t.ok(fleet.count('draft', span).refused > 100, 'more comes than can be served');
	t.same(breaches(fleet.asked, 1, span), []);
});

// The same with confirmations that ask for nine tenths of what the engines read, evenly spread.
tap.test('confirmations are served near the limit while drafts are refused', async t => {
	using time = VirtualTime.install();
	using fleet = VirtualFleet.create({time, kinds: [ticket, confirmation, draft], instances: 4, engines: 6, slots: 64, tokensPerMillisecond: 57, workspaces, seed: 2});
	const from = time.now;
	for (const instance of fleet.dispatchers.keys()) {
		fleet.arrive('draft', instance, {perSecond: 22, forMilliseconds: 12_000});
		fleet.arrive('confirmation', instance, {perSecond: 40, forMilliseconds: 12_000});
		fleet.arrive('ticket', instance, {perSecond: 5, forMilliseconds: 12_000});
	}

	time.runFor(18_000);
	const span = {from, to: from + 12_000};
	t.ok(fleet.count('draft', span).refused > 100, 'more comes than can be served');
	t.same(breaches(fleet.asked, 1, span), []);
});
