import tap from 'tap';
import {breaches, confirmation, draft, ticket, workspaces} from './request-kinds.js';
import {type Costs, VirtualFleet} from './virtual-fleet.js';
import {VirtualTime} from './virtual-time.js';

// The balancer sends two of four instances twice as many callers as the others. What comes is more than can be served, but tickets
// and confirmations alone are less. Confirmations are refused at the two busy instances, 167 of 1267 in ten seconds with seed 1, and
// none at the others, which send 196 drafts meanwhile. Where an instance's processor costs nothing, 2 are refused. Two causes together: looks
// at the endpoints for each that waits, so that a long line was tried 40 times a second and a short one 130 times ("pumps":37,
// "gap":129 against "pumps":128,"gap":23 in a trial's lines), and drafts that didn't hold back, since a confirmation that had
// passed over a free engine once was no longer told of ("told":0 where 16 and more waited elsewhere).
const processor: Costs = {arrival: 0.9, sending: 0.8, event: 0.17, look: 0.012, load: 0.02};
const forMilliseconds = 10_000;

for (const seed of [1, 2, 3]) {
	for (const {load, slowness} of [{load: 0.8, slowness: 1}, {load: 0.8, slowness: 1.2}, {load: 0.7, slowness: 1.4}]) {
		tap.test(`confirmations are served where processors are busy, load ${load}, ${slowness} times as slow, seed ${seed}`, async t => {
			using time = VirtualTime.install();
			using fleet = VirtualFleet.create({
				time, kinds: [{...ticket, events: 70, answerMilliseconds: 1800}, {...confirmation, events: 6}, {...draft, events: 13}],
				instances: 4, engines: 8, slots: 64, tokensPerMillisecond: 60, workspaces, seed, costs: scaled(slowness),
			});
			const span = {from: time.now, to: time.now + forMilliseconds};
			for (const [instance, part] of [0.55, 0.55, 1.05, 1.05].entries()) {
				const share = part * load;
				fleet.arrive('draft', instance, {perSecond: 40 * share, forMilliseconds});
				fleet.arrive('confirmation', instance, {perSecond: 75 * share, forMilliseconds});
				fleet.arrive('ticket', instance, {perSecond: 32 * share, forMilliseconds});
				fleet.burden(instance, {perSecond: 75 * share, forMilliseconds});
			}

			time.runFor(forMilliseconds + 5000);
			t.ok(fleet.count('draft', span).refused > 100, 'more comes than can be served');
			t.same(breaches(fleet.asked, 1, span), []);
		});
	}
}

function scaled(slowness: number): Costs {
	const {arrival, sending, event, look, load} = processor;
	return {arrival: arrival * slowness, sending: sending * slowness, event: event * slowness, look: look * slowness, load: load * slowness};
}
