import tap from 'tap';
import {breaches, confirmation, draft, ticket} from './request-kinds.js';
import {VirtualFleet} from './virtual-fleet.js';
import {VirtualTime} from './virtual-time.js';

const forMilliseconds = 12_000;
/** Half of the workspaces go first. */
const workspaces = Array.from({length: 20}, (_, number) => number < 10 ? 0 : 1);

function runOverload(time: VirtualTime, seed: number): VirtualFleet {
	const fleet = VirtualFleet.create({time, kinds: [ticket, confirmation, draft], instances: 4, engines: 6, slots: 64, tokensPerMillisecond: 57, workspaces, seed});
	for (let instance = 0; instance < 4; instance++) {
		fleet.arrive('draft', instance, {perSecond: 25, forMilliseconds});
		fleet.arrive('confirmation', instance, {perSecond: 30, forMilliseconds});
		fleet.arrive('ticket', instance, {perSecond: 5, forMilliseconds});
	}

	time.runFor(forMilliseconds + 6000);
	return fleet;
}

function refusedShare(fleet: VirtualFleet, kind: string, workspaceUrgency: number): number {
	const own = fleet.asked.filter(one => one.kind === kind && one.workspaceUrgency === workspaceUrgency);
	return own.filter(({decision}) => decision?.type === 'refused').length / own.length;
}

for (const seed of [1, 2, 3]) {
	// Guards against confirmations that get nothing for as long as workspaces that go first send more drafts than engines can read.
	tap.test(`a kind of request is not ended by the drafts of workspaces that go first, seed ${seed}`, async t => {
		using time = VirtualTime.install();
		const from = time.now;
		using fleet = runOverload(time, seed);
		t.ok(refusedShare(fleet, 'draft', 1) > 0.5, 'more comes than can be served');
		t.same(breaches(fleet.asked, undefined, {from, to: from + forMilliseconds}), []);
	});

	// Guards against a workspace's order that is lost: within a kind those that go first are served before the others.
	tap.test(`within a kind, workspaces that go first do so, seed ${seed}`, async t => {
		using time = VirtualTime.install();
		using fleet = runOverload(time, seed);
		t.ok(refusedShare(fleet, 'draft', 0) < refusedShare(fleet, 'draft', 1) / 2);
		t.equal(refusedShare(fleet, 'confirmation', 0), 0);
	});
}
