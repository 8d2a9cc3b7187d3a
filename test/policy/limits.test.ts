import fc from 'fast-check';
import tap from 'tap';
import {
	admit, createAllocator, createLimiter, evenShare, finish, grantLease, spendTokens, applyLease, createReport, type AllocatorState, type Lease,
} from '../../src/policy/limits/index.js';

const limits = {requestsPerSecond: 100, tokensPerSecond: 5000, concurrency: 20};
const settings = {seed: 8, numRuns: 300};
const demandArbitrary = fc.record({
	requestsPerSecond: fc.double({min: 0, max: 500, noNaN: true}), tokensPerSecond: fc.double({min: 0, max: 20_000, noNaN: true}), concurrency: fc.nat({max: 60}), running: fc.nat({max: 3}),
});

tap.test('the leased shares of one allocator never exceed the limit, whatever is reported and when', async () => {
	const reports = fc.array(fc.record({holder: fc.constantFrom('a', 'b', 'c', 'd'), demand: demandArbitrary, pause: fc.nat({max: 2000})}), {maxLength: 40});
	fc.assert(fc.property(reports, list => {
		let state: AllocatorState = createAllocator();
		let now = 0;
		const held = new Map<string, Lease & {until: number}>();
		for (const {holder, demand, pause} of list) {
			now += pause;
			const {lease, state: next} = grantLease(state, {holder, demand: {...demand, running: 0}, limits}, now);
			state = next;
			held.set(holder, {...lease, until: now + lease.milliseconds});
			if (exceedsLimits([...held.values()], now)) {
				return false;
			}
		}

		return true;
	}), settings);
});

tap.test('even shares add up to the limit for any number of entries', async () => {
	fc.assert(fc.property(fc.integer({min: 1, max: 400}), entries => {
		const shares = Array.from({length: entries}, (_, position) => evenShare(limits, {entries, position}));
		const rate = shares.reduce((sum, share) => sum + share.requestsPerSecond, 0);
		return shares.reduce((sum, share) => sum + share.concurrency, 0) === 20 && Math.abs(rate - 100) < 0.001;
	}), settings);
});

tap.test('an entry never admits more than its burst and its rate allow', async () => {
	fc.assert(fc.property(fc.array(fc.nat({max: 60}), {maxLength: 300}), pauses => {
		const context = {limits: {requestsPerSecond: 100}, fleetPosition: {entries: 4, position: 0}, promptTokens: 1};
		let state = createLimiter(context, 0);
		let now = 0;
		let admitted = 0;
		for (const pause of pauses) {
			now += pause;
			const result = admit(state, context, now);
			state = result.state;
			admitted += result.decision.type === 'admitted' ? 1 : 0;
		}

		return admitted <= 1 + (25 * now / 1000) + (25 * 0.5) + 3;
	}), settings);
});

tap.test('a class whose requests all arrive at one entry gets the full limit within two reports', async t => {
	// The class may send 100 requests a second, and the load balancer sends all of them to one of four
	// entries. That entry starts with its even share of 25; the allocator sees no demand elsewhere.
	let state = createAllocator();
	const idle = {requestsPerSecond: 0, tokensPerSecond: 0, concurrency: 0, running: 0};
	for (const holder of ['b', 'c', 'd']) {
		state = grantLease(state, {holder, demand: idle, limits}, 0).state;
	}

	const busy = {...idle, requestsPerSecond: 200};
	const first = grantLease(state, {holder: 'a', demand: busy, limits}, 10);
	t.ok(first.lease.requestsPerSecond > 40, 'capacity that is not in demand is available at once');
	const later = grantLease(first.state, {holder: 'a', demand: busy, limits}, 6000);
	t.ok(later.lease.requestsPerSecond > 99);
});

tap.test('concurrency counts running requests, and the token bucket may become negative', async t => {
	const context = {limits: {concurrency: 1, tokensPerSecond: 1000}, fleetPosition: {entries: 1, position: 0}, promptTokens: 10};
	const first = admit(createLimiter(context, 0), context, 0);
	t.equal(first.decision.type, 'admitted');
	t.match(admit(first.state, context, 0).decision, {type: 'limited', limit: 'concurrency'});
	const ended = finish(spendTokens(first.state, 2000), 100);
	t.match(admit(ended, context, 100).decision, {type: 'limited', limit: 'tokens'});
	t.equal(admit(ended, context, 3000).decision.type, 'admitted');
	const lease = {requestsPerSecond: 1, tokensPerSecond: 1, concurrency: 0, milliseconds: 500};
	t.match(admit(applyLease(ended, context, lease, 3000), context, 3100).decision, {limit: 'concurrency'});
	t.match(createReport(first.state, 1000).demand, {running: 1, requestsPerSecond: 1});
});

function exceedsLimits(leases: ReadonlyArray<Lease & {until: number}>, now: number): boolean {
	const valid = leases.filter(each => each.until > now);
	return (['requestsPerSecond', 'tokensPerSecond', 'concurrency'] as const)
		.some(name => valid.reduce((sum, each) => sum + each[name], 0) > limits[name] * 1.000_001);
}
