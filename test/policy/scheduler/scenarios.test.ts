import tap from 'tap';
import {createFifoScheduler, floorWaitBound, createSettings, createTieredScheduler} from '../../../src/policy/scheduler/index.js';
import {createSummary} from './arbitraries.js';
import {attainment, type Received, Simulation, stream} from './simulation.js';

// At most 16 requests keep the time between tokens within 20 ms: 16 / 20 ms is 800 tokens a second.
const costs = {stepMilliseconds: 4, stepMillisecondsPerRequest: 1};
const settings = {betweenTokensMilliseconds: 20, initialSlots: 8};
const ofTier = (received: readonly Received[], tier: number): readonly Received[] => received.filter(({sent}) => sent.summary.tier === tier);
const waitOf = ({sent, offeredAt, refusedAt}: Received): number => Math.min(offeredAt ?? Infinity, refusedAt ?? Infinity) - sent.at;

// Burst: charts of the lowest tier fill the endpoint, then forty confirmations come within 200 ms.
// Callers of the confirmations see their first token in time, because running charts give up slots;
// callers of the charts still get whole answers, later, and each was preempted twice at most.
tap.test('a burst of the top tier is served over long answers of the lowest', async t => {
	const charts = stream(0, 4000, 100, () => ({summary: createSummary({tier: 2, workspace: 'studio', firstTokenMilliseconds: 5000, queueMilliseconds: 60_000}), tokens: 120}));
	const burst = stream(2000, 2200, 5, () => ({summary: createSummary({tier: 0, workspace: 'kitchen', firstTokenMilliseconds: 500, queueMilliseconds: 3000}), tokens: 15}));
	const received = Simulation.run(createTieredScheduler(settings), [...charts, ...burst], costs, 60_000);
	t.equal(attainment(ofTier(received, 0)), 1);
	t.ok(ofTier(received, 2).every(({endedAt, preemptions}) => endedAt !== undefined && preemptions <= 2));
	const baseline = Simulation.run(createFifoScheduler(settings), [...charts, ...burst], costs, 60_000);
	t.ok(attainment(ofTier(baseline, 0)) < 0.5, 'first come first served lets the burst wait');
});

// Hot caller: one studio sends twenty times what its rival sends, both of one tier, together far too
// much. The rival's callers see their answers in time, as if the flood were not there; the flood's own
// callers are refused, at once when they can't be served any more.
tap.test('a flood of one workspace does not delay its rival', async t => {
	const flood = stream(0, 10_000, 10, () => ({summary: createSummary({workspace: 'studio', queueMilliseconds: 2000}), tokens: 20}));
	const rival = stream(1000, 10_000, 200, () => ({summary: createSummary({workspace: 'rival', queueMilliseconds: 2000}), tokens: 20}));
	const received = Simulation.run(createTieredScheduler(settings), [...flood, ...rival], costs, 30_000);
	const ofRival = received.filter(({sent}) => sent.summary.workspace === 'rival');
	t.ok(attainment(ofRival) >= 0.98, `rival attainment ${attainment(ofRival)}`);
	t.ok(received.every(({endedAt, refusedAt}) => endedAt !== undefined || refusedAt !== undefined), 'everyone got an answer');
});

// Long among short: stitch files of 600 tokens and confirmations of 10 look alike on arrival and
// belong to one tier. Callers of the short ones see their first token in time, since the long ones'
// workspace has its share and no more.
tap.test('long jobs do not lock out short ones of a rival', async t => {
	const long = stream(0, 10_000, 150, () => ({summary: createSummary({workspace: 'studio', className: 'stitch', queueMilliseconds: 8000, firstTokenMilliseconds: 4000}), tokens: 600}));
	const short = stream(2000, 10_000, 50, () => ({summary: createSummary({workspace: 'kitchen', className: 'order', firstTokenMilliseconds: 1000}), tokens: 10}));
	const received = Simulation.run(createTieredScheduler(settings), [...long, ...short], costs, 60_000);
	const ofKitchen = received.filter(({sent}) => sent.summary.workspace === 'kitchen');
	t.ok(attainment(ofKitchen) >= 0.9, `short attainment ${attainment(ofKitchen)}`);
});

// Slow endpoint: it takes five times as long for a step from the start. Callers see their time between
// tokens kept near the target, because the queue takes slots away until it is.
tap.test('a slow endpoint runs fewer at once', async t => {
	const scheduler = createTieredScheduler(settings);
	const steady = stream(0, 10_000, 100, () => ({summary: createSummary({queueMilliseconds: 1000}), tokens: 30}));
	const received = Simulation.run(scheduler, steady, {stepMilliseconds: 10, stepMillisecondsPerRequest: 5}, 30_000);
	const late = received.filter(({sent, endedAt}) => sent.at > 3000 && endedAt !== undefined);
	const perToken = late.map(({endedAt, firstTokenAt}) => (endedAt! - firstTokenAt!) / 29);
	t.ok(perToken.length > 10);
	t.ok(perToken.every(milliseconds => milliseconds < 30), `slowest ${Math.max(...perToken)}`);
});

for (const factor of [2, 5]) {
	// Overload: the top tier alone needs half of the endpoint, the lower two fill it up to the factor.
	// Top-tier callers are served in time. Callers of the lower tiers are served as far as there is
	// room, else refused with a time to come back; the lowest is served within the stated bound.
	tap.test(`${factor}x overload keeps the top tier's target and starves nobody`, async t => {
		const tokens = 20;
		const capacity = 800 / tokens;
		const every = (share: number): number => 1000 / (capacity * share);
		const lower = (factor - 0.5) / 2;
		const sent = [
			...stream(0, 10_000, every(0.5), () => ({summary: createSummary({tier: 0, workspace: 'kitchen', firstTokenMilliseconds: 400, queueMilliseconds: 2000}), tokens})),
			...stream(0, 10_000, every(lower), () => ({summary: createSummary({tier: 1, workspace: 'studio', firstTokenMilliseconds: 1500, queueMilliseconds: 4000}), tokens})),
			...stream(0, 10_000, every(lower), () => ({summary: createSummary({tier: 2, workspace: 'rival', firstTokenMilliseconds: 5000, queueMilliseconds: 20_000}), tokens})),
		];
		const received = Simulation.run(createTieredScheduler(settings), sent, costs, 60_000);
		t.ok(attainment(ofTier(received, 0)) >= 0.99, `top tier ${attainment(ofTier(received, 0))}`);
		const served = ofTier(received, 2).filter(({endedAt}) => endedAt !== undefined);
		t.ok(served.length > 20, `lowest tier served ${served.length}`);
		const longest = tokens * 30;
		const bound = floorWaitBound({tier: 2, ahead: 0, slots: 8, longestMilliseconds: longest}, createSettings(settings));
		const starts = ofTier(received, 2).map(({offeredAt}) => offeredAt ?? 0).filter(at => at > 0 && at < 10_000).toSorted((one, other) => one - other);
		const gaps = starts.slice(1).map((at, index) => at - starts[index]!);
		t.ok(Math.max(...gaps) <= bound, `longest time without a turn ${Math.max(...gaps)}, bound ${bound}`);
		t.ok(received.every(item => waitOf(item) <= item.sent.summary.queueMilliseconds + 51), 'nobody is held past the time');
	});
}

// Hopeless: ten times what the endpoint can do comes in one tier for four seconds. Callers that can't be
// served in their time are told so early, with a time to come back, and not when their time is over.
tap.test('what can no longer be served is refused before its time is over', async t => {
	const sent = stream(0, 4000, 5, () => ({summary: createSummary({firstTokenMilliseconds: 300, queueMilliseconds: 3000}), tokens: 20}));
	const received = Simulation.run(createTieredScheduler(settings), sent, costs, 30_000);
	const refused = received.filter(({refusedAt}) => refusedAt !== undefined).map(item => waitOf(item)).toSorted((one, other) => one - other);
	t.ok(refused.length > 100);
	t.ok(refused[Math.floor(refused.length / 2)]! < 1500, `half of the refusals within ${refused[Math.floor(refused.length / 2)]} ms`);
	t.ok(received.every(({endedAt, refusedAt}) => endedAt !== undefined || refusedAt !== undefined));
});
