import tap from 'tap';
import {priorityInversions, createFleet, runBurst} from './request-kinds.js';
import {VirtualTime} from './virtual-time.js';

// For ten seconds drafts arrive at twice the prefill capacity. Confirmations of the same workspaces got 503 a millisecond after their
// arrival, 23 of 225 in five seconds, while drafts of four times their size were served. Nine of ten workspaces had the same urgency,
// which replaced the route's, so both kinds shared one queue without an order; a request that could not wait as long as the queue was
// refused, and a confirmation can wait 2 s where a draft can wait 4.8 s. Such a refusal was logged with
// "reason":"too-late","ahead":38,"waited":1, rank 1, a queue wait of 2001 ms and 1998 ms left; 37 of the 38 were drafts of rank 1.
tap.test('a confirmation is not refused for drafts that can wait longer', async t => {
	using time = VirtualTime.install();
	using fleet = createFleet(time, 1);
	const span = runBurst(time, fleet, {drafts: 33, confirmations: 15, forMilliseconds: 10_000, shares: [1, 1, 1, 1]});
	t.ok(fleet.count('draft', span).refused > 100, 'arrivals exceed the capacity');
	t.same(priorityInversions(fleet.requests, 1, span), []);
});

// The same with confirmations that take nine tenths of the prefill capacity, evenly distributed.
tap.test('confirmations are served near the capacity limit while drafts are refused', async t => {
	using time = VirtualTime.install();
	using fleet = createFleet(time, 2);
	const span = runBurst(time, fleet, {drafts: 22, confirmations: 40, forMilliseconds: 12_000, shares: [1, 1, 1, 1]});
	t.ok(fleet.count('draft', span).refused > 100, 'arrivals exceed the capacity');
	t.same(priorityInversions(fleet.requests, 1, span), []);
});
