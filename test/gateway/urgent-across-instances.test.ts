import tap from 'tap';
import {breaches, confirmation, draft, ticket, workspaces} from './urgent-kinds.js';
import {VirtualFleet} from './virtual-fleet.js';
import {VirtualTime} from './virtual-time.js';

// Two of four instances have three times as many callers as the others. Tickets and confirmations ask for nine tenths of what the
// engines read, drafts for as much again. The two busy instances refused 127 of 540 confirmations in five seconds, while
// the other two refused none and sent 56 drafts of the same workspaces: each instance knows its own line alone, so
// a draft that waits at one goes before a confirmation that waits at another. The refusals at the busy ones said
// "rank":4,"reason":"too-late","ahead":19,"waited":1597 with 403 ms foreseen for the line and 455 ms left.
for (const seed of [1, 2, 3, 4]) {
	tap.test(`confirmations are not refused at busy instances while idle ones send drafts, seed ${seed}`, async t => {
		using time = VirtualTime.install();
		using fleet = VirtualFleet.create({time, kinds: [ticket, confirmation, draft], instances: 4, engines: 6, slots: 64, tokensPerMillisecond: 57, workspaces, seed});
		const from = time.now;
		for (const [instance, share] of [0.5, 0.5, 1.5, 1.5].entries()) {
			fleet.arrive('draft', instance, {perSecond: 22 * share, forMilliseconds: 12_000});
			fleet.arrive('confirmation', instance, {perSecond: 40 * share, forMilliseconds: 12_000});
			fleet.arrive('ticket', instance, {perSecond: 5 * share, forMilliseconds: 12_000});
		}

		time.runFor(18_000);
		t.ok(fleet.count('draft', {from, to: from + 12_000}).refused > 100, 'more comes than can be served');
		t.same(breaches(fleet.asked, 1, {from, to: from + 12_000}), []);
	});
}
