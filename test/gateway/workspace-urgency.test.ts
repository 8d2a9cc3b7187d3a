import tap from 'tap';
import {priorityInversions, confirmation, draft, ticket} from './request-kinds.js';
import {VirtualFleet} from './virtual-fleet.js';
import {VirtualTime} from './virtual-time.js';

const forMilliseconds = 12_000;
/** Half of the workspaces are more urgent. */
const workspaceUrgencies = Array.from({length: 20}, (_, number) => number < 10 ? 0 : 1);

function runOverload(time: VirtualTime, seed: number): VirtualFleet {
	const fleet = VirtualFleet.create({time, kinds: [ticket, confirmation, draft], instances: 4, engines: 6, slots: 64, tokensPerMillisecond: 57, workspaceUrgencies, seed});
	for (let instance = 0; instance < 4; instance++) {
		fleet.scheduleArrivals('draft', instance, {perSecond: 25, forMilliseconds});
		fleet.scheduleArrivals('confirmation', instance, {perSecond: 30, forMilliseconds});
		fleet.scheduleArrivals('ticket', instance, {perSecond: 5, forMilliseconds});
	}

	time.runFor(forMilliseconds + 6000);
	return fleet;
}

function refusedShare(fleet: VirtualFleet, kind: string, workspaceUrgency: number): number {
	const own = fleet.requests.filter(one => one.kind === kind && one.workspaceUrgency === workspaceUrgency);
	return own.filter(({decision}) => decision?.type === 'refused').length / own.length;
}

for (const seed of [1, 2, 3]) {
	// Confirmations must not starve while more urgent workspaces send more drafts than the engines can prefill.
	tap.test(`a kind of request is not starved by drafts of more urgent workspaces, seed ${seed}`, async t => {
		using time = VirtualTime.install();
		const from = time.now;
		using fleet = runOverload(time, seed);
		t.ok(refusedShare(fleet, 'draft', 1) > 0.5, 'arrivals exceed the capacity');
		t.same(priorityInversions(fleet.requests, undefined, {from, to: from + forMilliseconds}), []);
	});

	// The order of workspaces must be kept: within a kind, requests of more urgent workspaces are served first.
	tap.test(`within a kind, more urgent workspaces are served first, seed ${seed}`, async t => {
		using time = VirtualTime.install();
		using fleet = runOverload(time, seed);
		t.ok(refusedShare(fleet, 'draft', 0) < refusedShare(fleet, 'draft', 1) / 2);
		t.equal(refusedShare(fleet, 'confirmation', 0), 0);
	});
}
