import tap from 'tap';
import {priorityInversions, createFleet, runBurst} from './request-kinds.js';
import {VirtualTime} from './virtual-time.js';

// Two of four instances receive three times as many requests as the others. Tickets and confirmations take nine tenths of the prefill
// capacity, drafts as much again. The two busy instances refused 127 of 540 confirmations in five seconds, while the other two
// refused none and sent 56 drafts of the same workspaces: without reports of queued requests each instance knows only its own queue,
// and a draft queued at one goes before a confirmation queued at another. Refusals at the busy instances were logged with
// "rank":4,"reason":"too-late","ahead":19,"waited":1597, an estimated queue wait of 403 ms and 455 ms left.
for (const seed of [1, 2, 3, 4]) {
	tap.test(`confirmations are not refused at busy instances while idle ones send drafts, seed ${seed}`, async t => {
		using time = VirtualTime.install();
		using fleet = createFleet(time, seed);
		const span = runBurst(time, fleet, {drafts: 22, confirmations: 40, forMilliseconds: 12_000, shares: [0.5, 0.5, 1.5, 1.5]});
		t.ok(fleet.count('draft', span).refused > 100, 'arrivals exceed the capacity');
		t.same(priorityInversions(fleet.requests, 1, span), []);
	});
}
