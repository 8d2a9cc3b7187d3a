import tap from 'tap';
import {priorityInversions, confirmation, createFleet, runBurst, ticket} from './request-kinds.js';
import {type RequestRecord} from './virtual-fleet.js';
import {VirtualTime} from './virtual-time.js';

const rateLimits = new Map([[1, 1.7], [4, 2.3]]);
const spanMilliseconds = 4000;
/** By then every instance has had a response of each engine. */
const learningMilliseconds = 3000;

/** Most requests that were sent to an engine within a span. */
function mostPlaced(requests: readonly RequestRecord[], engine: string, from: number): number {
	const times = requests.flatMap(({decision, placedAt}) => decision?.type === 'placed' && decision.record.id === engine && placedAt! >= from ? [placedAt!] : []);
	return Math.max(0, ...times.map(start => times.filter(at => at >= start && at < start + spanMilliseconds).length));
}

// Two of six engines state a limit while the four instances get twice as much as the others can serve. Guards against a limit that
// is exceeded in sum, and against urgent requests that are refused while drafts are sent.
for (const seed of [1, 2, 3]) {
	tap.test(`two engines state a limit under load, seed ${seed}`, async t => {
		using time = VirtualTime.install();
		using fleet = createFleet(time, seed, rateLimits);
		const span = runBurst(time, fleet, {drafts: 12, confirmations: 20, forMilliseconds: 12_000, shares: [0.5, 0.5, 1.5, 1.5]});
		for (const [engine, limit] of rateLimits) {
			const most = mostPlaced(fleet.requests, `engine-${engine}`, span.from + learningMilliseconds);
			t.ok(most <= Math.ceil(limit * spanMilliseconds / 1000 * 1.5), `engine-${engine}: ${most}`);
			t.ok(most >= limit * spanMilliseconds / 1000 / 2, 'the limit is used');
		}

		t.ok(fleet.count('draft', span).refused > 100, 'arrivals exceed the capacity');
		t.same(priorityInversions(fleet.requests, 1, span), []);
		t.equal(fleet.count(ticket.name, span).refused, 0);
		t.comment(JSON.stringify({confirmations: fleet.count(confirmation.name, span), drafts: fleet.count('draft', span)}));
	});
}
