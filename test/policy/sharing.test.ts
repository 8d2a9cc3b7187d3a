import fc from 'fast-check';
import tap from 'tap';
import {type ZoneName} from '../../src/model/index.js';
import {
	endpointPollInterval, instancePollInterval, maxMeshInstances, maxZoneMeshInstances, type Member,
	type Neighbours, neighboursOf, pollRetryDelay, routingLongPollWait, visibleRequestShare,
} from '../../src/policy/sharing/index.js';

function fleet(count: number, zones: number, seed = 0): Member[] {
	return Array.from({length: count}, (_, index) => ({name: `front-${seed}-${index}`, zone: `zone-${index % zones}` as ZoneName}));
}

function linksOf(members: readonly Member[], isReachable: (name: string) => boolean = () => true): Map<string, Neighbours> {
	return new Map(members.map(member => [member.name, neighboursOf(member, members, isReachable)]));
}

/** The largest distance of an instance from the first one, in links; infinite if one is unreachable. */
function maxHops(links: ReadonlyMap<string, Neighbours>): number {
	const [start] = links.keys();
	const hops = new Map([[start!, 0]]);
	for (const [name, count] of hops) {
		for (const [other, {linked}] of links) {
			if (!hops.has(other) && (linked.has(name) || links.get(name)!.linked.has(other))) {
				hops.set(other, count + 1);
			}
		}
	}

	return hops.size === links.size ? Math.max(...hops.values()) : Infinity;
}

const fleets = fc.record({count: fc.integer({min: 1, max: 360}), zones: fc.integer({min: 1, max: 6}), seed: fc.nat(1000)});

tap.test('every instance has few links, and a report reaches all instances within few hops', async t => {
	fc.assert(fc.property(fleets, ({count, zones, seed}) => {
		const links = linksOf(fleet(count, zones, seed));
		const depth = Math.ceil(Math.log2(count));
		const maxLinks = count <= maxMeshInstances ? count - 1 : (maxZoneMeshInstances - 1) + (4 * depth);
		return maxHops(links) <= Math.max(1, depth) && [...links.values()].every(({linked}) => linked.size <= maxLinks);
	}), {seed: 5, numRuns: 25});
	t.pass();
});

tap.test('links are symmetric, and exactly one instance of each pair dials', async t => {
	fc.assert(fc.property(fleets, ({count, zones, seed}) => {
		const links = linksOf(fleet(count, zones, seed));
		return [...links].every(([name, {linked}]) => [...linked].every(other => {
			const back = links.get(other)!;
			const dials = (links.get(name)!.dials.includes(other) ? 1 : 0) + (back.dials.includes(name) ? 1 : 0);
			return back.linked.has(name) && dials === 1;
		}));
	}), {seed: 6, numRuns: 25});
	t.pass();
});

// Guards against a fleet that is partitioned when a zone is lost for good and its names are still known.
tap.test('the remaining instances stay connected when any third of the fleet is lost', async t => {
	fc.assert(fc.property(fleets, fc.integer({min: 0, max: 2}), ({count, zones, seed}, lostThird) => {
		const members = fleet(count, zones, seed);
		const remaining = new Set(members.filter((_, index) => index % 3 !== lostThird || index === 0).map(({name}) => name));
		const links = new Map([...linksOf(members, name => remaining.has(name))].filter(([name]) => remaining.has(name)));
		return maxHops(links) < Infinity;
	}), {seed: 7, numRuns: 25});
	t.pass();
});

tap.test('the number of links across zones grows with the logarithm of the fleet\'s size', async t => {
	const across = (count: number): number => {
		const members = fleet(count, 5);
		const zones = new Map(members.map(({name, zone}) => [name, zone]));
		const counts = [...linksOf(members)].map(([name, {linked}]) => [...linked].filter(other => zones.get(other) !== zones.get(name)).length);
		return counts.reduce((sum, one) => sum + one, 0) / count;
	};

	t.ok(across(68) < 13, `68 instances: ${across(68)}`);
	t.ok(across(350) < 18, `350 instances: ${across(350)}`);
});

tap.test('an instance sees its own part of all requests and that of its neighbours', async t => {
	t.equal(visibleRequestShare({links: 0, instances: 1}), 1);
	t.equal(visibleRequestShare({links: 3, instances: 4}), 1);
	t.equal(visibleRequestShare({links: 24, instances: 100}), 0.25);
	t.equal(visibleRequestShare({links: 5, instances: 2}), 1, 'before all names are known');
});

tap.test('the rate of calls from all instances to the store does not grow with their number', async t => {
	const callsEachSecond = (instances: number): number => {
		const others = instances - 1;
		const position = {polls: 100, draw: 0.5};
		return instances * 1000 * (
			(1 / routingLongPollWait({others, polls: 2, isStoreUnresponsive: false}, 0.5))
			+ (1 / endpointPollInterval({others, drainMilliseconds: 4000}, position))
			+ (1 / instancePollInterval(position))
		);
	};

	t.ok(callsEachSecond(18) < 5, `18 instances: ${callsEachSecond(18)}`);
	t.ok(callsEachSecond(68) < 14, `68 instances: ${callsEachSecond(68)}`);
	t.ok(callsEachSecond(350) / 350 < 0.2, `350 instances, each: ${callsEachSecond(350) / 350}`);
});

tap.test('a long poll waits for a change while the store responds, and returns at once while it does not', async t => {
	t.equal(routingLongPollWait({others: 6, polls: 5, isStoreUnresponsive: false}, 1), 5400);
	t.equal(routingLongPollWait({others: 6, polls: 0, isStoreUnresponsive: false}, 0.5), 2700, 'after a change a random part of the base wait');
	t.equal(routingLongPollWait({others: 6, polls: 5, isStoreUnresponsive: true}, 1), 0);
	t.equal(routingLongPollWait({others: 6, polls: 5, isStoreUnresponsive: false}, 0.123_456), 4453, 'the store accepts whole numbers only');
	t.equal(routingLongPollWait({others: 6, polls: 0, isStoreUnresponsive: false}, 0.123_456), 667);
	t.equal(routingLongPollWait({others: 400, polls: 5, isStoreUnresponsive: false}, 1), 20_000);
});

tap.test('a refused poll is retried at once, then with growing delays; the delays of an instance without data stay short', async t => {
	const delay = (failures: number, more: {others?: number; hasRead?: boolean; pollIntervalMilliseconds?: number; applyMilliseconds?: number} = {}): number =>
		pollRetryDelay({failures, others: 5, hasRead: true, pollIntervalMilliseconds: 0, applyMilliseconds: 2000, ...more}, 1);
	t.equal(delay(1), 100);
	t.equal(delay(20), 600, 'six instances retry nearly ten times within the time in which a change has to be in force');
	t.equal(delay(20, {others: 40}), 4800, 'and so do more instances');
	t.equal(delay(20, {others: 400}), 6000);
	t.equal(delay(20, {others: 1}), 500, 'too few others to report to it');
	t.equal(delay(20, {hasRead: false}), 500);
	t.equal(delay(20, {others: 1, applyMilliseconds: 8000}), 2000, 'a part of the time in which a change has to be in force');
	t.equal(delay(1, {pollIntervalMilliseconds: 9000}), 9000, 'the others poll in the meantime');
	t.equal(delay(1, {pollIntervalMilliseconds: 9000, others: 1}), 100);
	t.equal(pollRetryDelay({failures: 20, others: 5, hasRead: true, pollIntervalMilliseconds: 0, applyMilliseconds: 2000}, 0), 300, 'jittered, so that one of many instances retries early');
});
