import fc from 'fast-check';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import tap from 'tap';
import {type EndpointId, type RequestId, type ZoneName} from '../../src/model/index.js';
import {
	leastInFlight, powerOfTwo, randomPlacement, roundRobin, subsetPlacement, type Placement, type PlacementEvent, type SideView,
} from '../../src/policy/placement/index.js';
import {createSides, createSummary, runSides, type Arrival, type Finished} from './virtual-sides.js';

const endpoints = ['a', 'b', 'c', 'd'] as EndpointId[];
const endpoint = fc.constantFrom(...endpoints);
const request = fc.constantFrom('r1', 'r2', 'r3') as fc.Arbitrary<RequestId>;
const sideSeen = fc.record({
	type: fc.constant('side-seen' as const),
	side: fc.record({
		endpoint, zone: fc.constantFrom('z1', 'z2') as fc.Arbitrary<ZoneName>, targets: fc.constantFrom(['model'], ['other'], ['model', 'other']),
		connected: fc.boolean(), leaving: fc.boolean(), slots: fc.nat(8), running: fc.nat(8), waiting: fc.constant([0, 1, 2]), tokenMilliseconds: fc.nat(50),
	}) as unknown as fc.Arbitrary<SideView>,
});
const events: fc.Arbitrary<PlacementEvent[]> = fc.array(fc.oneof(
	sideSeen,
	fc.record({type: fc.constant('side-lost' as const), endpoint}),
	fc.record({type: fc.constantFrom('reserved' as const, 'offered' as const, 'refused' as const, 'withdrawn' as const, 'started' as const), endpoint, request}),
	fc.record({type: fc.constant('progressed' as const), endpoint, request, tokens: fc.nat(50), milliseconds: fc.nat(2000)}),
	fc.record({type: fc.constant('ended' as const), endpoint, request, whole: fc.boolean()}),
	fc.constant({type: 'tick' as const}),
), {maxLength: 60});

const placements: Record<string, Placement<unknown>> = {
	leastInFlight, powerOfTwo, randomPlacement, roundRobin, subsetPlacement,
};

for (const [name, placement] of Object.entries(placements)) {
	tap.test(`${name} never chooses a side that is lost, leaving, excluded or of another target`, async () => {
		fc.assert(fc.property(events, fc.double({min: 0, max: 0.999, noNaN: true}), fc.subarray(endpoints), (steps, random, excluded) => {
			let state = placement.create({instance: 'entry', zone: 'z1' as ZoneName});
			const expectedSides = new Map<EndpointId, SideView>();
			for (const [index, event] of steps.entries()) {
				state = placement.step(state, event, index * 20);
				if (event.type === 'side-seen') {
					expectedSides.set(event.side.endpoint, event.side);
				} else if (event.type === 'side-lost') {
					expectedSides.delete(event.endpoint);
				}
			}

			const usable = [...expectedSides.values()].filter(side => side.connected && !side.leaving && side.targets.includes('model' as never) && !excluded.includes(side.endpoint));
			const {endpoints: chosen} = placement.choose(state, createSummary('r9'), new Set(excluded), random, 5000);
			return chosen.every(one => usable.some(side => side.endpoint === one)) && new Set(chosen).size === chosen.length && (chosen.length > 0) === (usable.length > 0);
		}), {seed: 4, numRuns: 500});
	});
}

function createRandom(seed: number): () => number {
	const generator = xoroshiro128plus(seed);
	return () => uniformFloat64(generator);
}

function arrivalsEvery(everyMilliseconds: number, until: number, tokens = 20): Arrival[] {
	return Array.from({length: Math.floor(until / everyMilliseconds)}, (_, index) => ({at: index * everyMilliseconds, tokens}));
}

function maximumWait(finished: readonly Finished[], from: number): number {
	return Math.max(...finished.filter(({arrival}) => arrival.at >= from).map(({wait}) => wait));
}

tap.test('a slow endpoint is ejected and one that recovers is used again', async t => {
	// One of four endpoints becomes five times slower and recovers later. No request waits long, since the
	// others have capacity. The slow one still gets probe requests, which show the recovery, and then its share.
	const sides = createSides(4);
	const {finished} = runSides(subsetPlacement, sides, arrivalsEvery(20, 12_000), {
		until: 14_000, random: createRandom(5),
		change(now) {
			sides[1]!.tokenMilliseconds = now >= 2000 && now < 7000 ? 50 : 10;
		},
	});
	const countAt = (from: number, to: number) => finished.filter(({arrival, endpoint: where}) => where === 'endpoint-1' && arrival.at >= from && arrival.at < to).length;
	t.equal(finished.length, 600);
	t.ok(countAt(0, 2000) >= 15, 'its share before it is slow');
	t.ok(countAt(3500, 7000) >= 1 && countAt(3500, 7000) <= 9, `probe requests while slow: ${countAt(3500, 7000)}`);
	t.ok(countAt(10_000, 12_000) >= 10, `its share after the recovery: ${countAt(10_000, 12_000)}`);
	t.ok(maximumWait(finished, 0) <= 200);
});

tap.test('requests with one prefix stay at the endpoint that caches it until its load outweighs that', async t => {
	// All requests share one prompt prefix. While one endpoint can serve them, they use its cached prefix; when
	// there are more than it has slots for, they spread, and no request waits while other endpoints are idle.
	const quiet = runSides(subsetPlacement, createSides(4), arrivalsEvery(250, 5000).map(arrival => ({...arrival, prefix: 'menu'})), {until: 6000, random: createRandom(6)}).finished;
	t.equal(new Set(quiet.map(({endpoint: where}) => where)).size, 1);
	const busy = runSides(subsetPlacement, createSides(4), arrivalsEvery(15, 5000).map(arrival => ({...arrival, prefix: 'menu'})), {until: 9000, random: createRandom(6)}).finished;
	t.equal(busy.length, 333);
	t.equal(new Set(busy.map(({endpoint: where}) => where)).size, 4);
	t.ok(maximumWait(busy, 0) <= 250, `longest wait ${maximumWait(busy, 0)}`);
});

tap.test('when an endpoint is lost under high load, its requests are placed again and waits stay bounded', async t => {
	// One of four endpoints is lost at 94% load. Its waiting and running requests are placed again at once; the
	// remaining three are overloaded and share the backlog evenly.
	const sides = createSides(4);
	const {finished} = runSides(subsetPlacement, sides, arrivalsEvery(13, 4000), {
		until: 8000, random: createRandom(7),
		change(now) {
			sides[2]!.alive = now < 2000;
		},
	});
	t.equal(finished.length, 307);
	t.ok(finished.every(({endpoint: where, at}) => where !== 'endpoint-2' || at <= 2000));
	t.ok(maximumWait(finished, 0) <= 1500, `longest wait ${maximumWait(finished, 0)}`);
});

tap.test('late binding over a subset waits no longer than any baseline when long requests are among short ones', async t => {
	// One request in ten takes ten times as long, and it is not known which. With early binding, a request
	// in the queue behind a long one waits for it while another endpoint is idle.
	const waits = (placement: Placement<unknown>) => {
		const arrivals = arrivalsEvery(26, 20_000).map((arrival, index) => ({...arrival, tokens: index % 10 === 3 ? 200 : 20}));
		const {finished} = runSides(placement, createSides(4), arrivals, {until: 40_000, random: createRandom(8)});
		return finished.map(({wait}) => wait).toSorted((left, right) => left - right)[Math.floor(finished.length * 0.99)]!;
	};

	const own = waits(placements.subsetPlacement!);
	for (const name of ['leastInFlight', 'powerOfTwo', 'randomPlacement', 'roundRobin']) {
		t.ok(own <= waits(placements[name]!), `${own} ms against ${waits(placements[name]!)} ms of ${name}`);
	}
});
