import tap from 'tap';
import {breaches, createFleet, runBurst} from './request-kinds.js';
import {VirtualTime} from './virtual-time.js';

// Two of four instances have three times as many callers as the others. Tickets and confirmations ask for nine tenths of what the
// engines read, drafts for as much again. The two busy instances refused 127 of 540 confirmations in five seconds, while
// the other two refused none and sent 56 drafts of the same workspaces: each instance knows its own line alone, so
// a draft that waits at one goes before a confirmation that waits at another. The refusals at the busy ones said
// "rank":4,"reason":"too-late","ahead":19,"waited":1597 with 403 ms foreseen for the line and 455 ms left.
for (const seed of [1, 2, 3, 4]) {
	tap.test(`confirmations are not refused at busy instances while idle ones send drafts, seed ${seed}`, async t => {
		using time = VirtualTime.install();
		using fleet = createFleet(time, seed);
		const span = runBurst(time, fleet, {drafts: 22, confirmations: 40, forMilliseconds: 12_000, shares: [0.5, 0.5, 1.5, 1.5]});
		t.ok(fleet.count('draft', span).refused > 100, 'more comes than can be served');
		t.same(breaches(fleet.asked, 1, span), []);
	});
}
