import tap from 'tap';
import {breaches, createFleet, runBurst} from './request-kinds.js';
import {VirtualTime} from './virtual-time.js';

// For ten seconds drafts come at twice what the engines can read. Confirmations of the same workspaces were answered 503 a
// millisecond after they came, 23 of 225 in five seconds, while drafts of four times their size were served. Nine
// of ten workspaces had the same urgency, which went in place of the route's, so both kinds stood in one line without an order; whoever
// could not bear its length was refused, and a confirmation bears 2 s where a draft bears 4.8 s. A refusal then said:
// "reason":"too-late","ahead":38,"waited":1 with rank 1, line wait 2001 ms and 1998 ms left, and 37 of the 38 were drafts of rank 1.
tap.test('a confirmation is not refused for drafts that can wait longer', async t => {
	using time = VirtualTime.install();
	using fleet = createFleet(time, 1);
	const span = runBurst(time, fleet, {drafts: 33, confirmations: 15, forMilliseconds: 10_000, shares: [1, 1, 1, 1]});
	t.ok(fleet.count('draft', span).refused > 100, 'more comes than can be served');
	t.same(breaches(fleet.asked, 1, span), []);
});

// The same with confirmations that ask for nine tenths of what the engines read, evenly spread.
tap.test('confirmations are served near the limit while drafts are refused', async t => {
	using time = VirtualTime.install();
	using fleet = createFleet(time, 2);
	const span = runBurst(time, fleet, {drafts: 22, confirmations: 40, forMilliseconds: 12_000, shares: [1, 1, 1, 1]});
	t.ok(fleet.count('draft', span).refused > 100, 'more comes than can be served');
	t.same(breaches(fleet.asked, 1, span), []);
});
