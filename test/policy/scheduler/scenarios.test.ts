import tap from 'tap';
import {createFifoScheduler, floorWaitBound, createSettings, createTieredScheduler} from '../../../src/policy/scheduler/index.js';
import {createSummary} from './arbitraries.js';
import {attainment, type RequestResult, Simulation, requestsEvery} from './simulation.js';

// At most 16 requests keep the time between tokens within 20 ms: 16 / 20 ms is 800 tokens a second.
const costs = {stepMilliseconds: 4, stepMillisecondsPerRequest: 1};
const settings = {betweenTokensMilliseconds: 20, initialSlots: 8};
const resultsOfTier = (results: readonly RequestResult[], tier: number): readonly RequestResult[] => results.filter(({sent}) => sent.summary.tier === tier);
const waitOf = ({sent, offeredAt, refusedAt}: RequestResult): number => Math.min(offeredAt ?? Infinity, refusedAt ?? Infinity) - sent.at;

// Charts of the lowest tier fill the endpoint, then forty confirmations arrive within 200 ms. The
// confirmations get their first token in time, because running charts are preempted. The charts still get
// complete responses, later, and each is preempted at most twice.
tap.test('a burst of the top tier is served ahead of long responses of the lowest', async t => {
	const charts = requestsEvery(0, 4000, 100, () => ({summary: createSummary({tier: 2, workspace: 'studio', firstTokenMilliseconds: 5000, queueMilliseconds: 60_000}), tokens: 120}));
	const burst = requestsEvery(2000, 2200, 5, () => ({summary: createSummary({tier: 0, workspace: 'kitchen', firstTokenMilliseconds: 500, queueMilliseconds: 3000}), tokens: 15}));
	const results = Simulation.run(createTieredScheduler(settings), [...charts, ...burst], costs, 60_000);
	t.equal(attainment(resultsOfTier(results, 0)), 1);
	t.ok(resultsOfTier(results, 2).every(({endedAt, preemptions}) => endedAt !== undefined && preemptions <= 2));
	const baseline = Simulation.run(createFifoScheduler(settings), [...charts, ...burst], costs, 60_000);
	t.ok(attainment(resultsOfTier(baseline, 0)) < 0.5, 'first come, first served delays the burst');
});

// One workspace sends twenty times as many requests as another of the same tier, far too many together. The
// responses of the other workspace are in time, as if there were no flood. Requests of the flood are
// refused, and at once when they can't be served any more.
tap.test('a flood from one workspace does not delay another', async t => {
	const flood = requestsEvery(0, 10_000, 10, () => ({summary: createSummary({workspace: 'studio', queueMilliseconds: 2000}), tokens: 20}));
	const other = requestsEvery(1000, 10_000, 200, () => ({summary: createSummary({workspace: 'rival', queueMilliseconds: 2000}), tokens: 20}));
	const results = Simulation.run(createTieredScheduler(settings), [...flood, ...other], costs, 30_000);
	const ofOtherWorkspace = results.filter(({sent}) => sent.summary.workspace === 'rival');
	t.ok(attainment(ofOtherWorkspace) >= 0.98, `attainment of the other workspace ${attainment(ofOtherWorkspace)}`);
	t.ok(results.every(({endedAt, refusedAt}) => endedAt !== undefined || refusedAt !== undefined), 'every request is completed or refused');
});

// Stitch files of 600 tokens and confirmations of 10 tokens can't be distinguished on arrival and belong to one
// tier. The short requests get their first token in time, because the workspace of the long ones gets no
// more than its share.
tap.test('long jobs do not block short ones of another workspace', async t => {
	const long = requestsEvery(0, 10_000, 150, () => ({summary: createSummary({workspace: 'studio', className: 'stitch', queueMilliseconds: 8000, firstTokenMilliseconds: 4000}), tokens: 600}));
	const short = requestsEvery(2000, 10_000, 50, () => ({summary: createSummary({workspace: 'kitchen', className: 'order', firstTokenMilliseconds: 1000}), tokens: 10}));
	const results = Simulation.run(createTieredScheduler(settings), [...long, ...short], costs, 60_000);
	const ofKitchen = results.filter(({sent}) => sent.summary.workspace === 'kitchen');
	t.ok(attainment(ofKitchen) >= 0.9, `short attainment ${attainment(ofKitchen)}`);
});

// Each decoding step takes five times as long from the start. The time between tokens stays near
// the target, because the scheduler removes slots until it does.
tap.test('a slow endpoint runs fewer requests at once', async t => {
	const scheduler = createTieredScheduler(settings);
	const steady = requestsEvery(0, 10_000, 100, () => ({summary: createSummary({queueMilliseconds: 1000}), tokens: 30}));
	const results = Simulation.run(scheduler, steady, {stepMilliseconds: 10, stepMillisecondsPerRequest: 5}, 30_000);
	const measured = results.filter(({sent, endedAt}) => sent.at > 3000 && endedAt !== undefined);
	const tokenMilliseconds = measured.map(({endedAt, firstTokenAt}) => (endedAt! - firstTokenAt!) / 29);
	t.ok(tokenMilliseconds.length > 10);
	t.ok(tokenMilliseconds.every(milliseconds => milliseconds < 30), `slowest ${Math.max(...tokenMilliseconds)}`);
});

for (const factor of [2, 5]) {
	// Under overload the top tier alone needs half of the endpoint, and the lower two add up to the factor.
	// The top tier is served in time. Lower tiers are served as far as there are slots and refused with a retry
	// delay otherwise; the lowest is served within the stated bound.
	tap.test(`${factor}x overload keeps the top tier's target and starves no tier`, async t => {
		const tokens = 20;
		const capacity = 800 / tokens;
		const every = (share: number): number => 1000 / (capacity * share);
		const lowerShare = (factor - 0.5) / 2;
		const sent = [
			...requestsEvery(0, 10_000, every(0.5), () => ({summary: createSummary({tier: 0, workspace: 'kitchen', firstTokenMilliseconds: 400, queueMilliseconds: 2000}), tokens})),
			...requestsEvery(0, 10_000, every(lowerShare), () => ({summary: createSummary({tier: 1, workspace: 'studio', firstTokenMilliseconds: 1500, queueMilliseconds: 4000}), tokens})),
			...requestsEvery(0, 10_000, every(lowerShare), () => ({summary: createSummary({tier: 2, workspace: 'rival', firstTokenMilliseconds: 5000, queueMilliseconds: 20_000}), tokens})),
		];
		const results = Simulation.run(createTieredScheduler(settings), sent, costs, 60_000);
		t.ok(attainment(resultsOfTier(results, 0)) >= 0.99, `top tier ${attainment(resultsOfTier(results, 0))}`);
		const served = resultsOfTier(results, 2).filter(({endedAt}) => endedAt !== undefined);
		t.ok(served.length > 20, `lowest tier served ${served.length}`);
		const longest = tokens * 30;
		const bound = floorWaitBound({tier: 2, ahead: 0, slots: 8, longestMilliseconds: longest}, createSettings(settings));
		const starts = resultsOfTier(results, 2).map(({offeredAt}) => offeredAt ?? 0).filter(at => at > 0 && at < 10_000).toSorted((one, other) => one - other);
		const gaps = starts.slice(1).map((at, index) => at - starts[index]!);
		t.ok(Math.max(...gaps) <= bound, `longest time between offers ${Math.max(...gaps)}, bound ${bound}`);
		t.ok(results.every(item => waitOf(item) <= item.sent.summary.queueMilliseconds + 51), 'no request waits past its queue timeout');
	});
}

// Ten times the endpoint's capacity arrives in one tier for four seconds. Requests that can't be served in
// time are refused early, with a retry delay, and not only at their queue timeout.
tap.test('a request that can not be served in time is refused before its queue timeout', async t => {
	const sent = requestsEvery(0, 4000, 5, () => ({summary: createSummary({firstTokenMilliseconds: 300, queueMilliseconds: 3000}), tokens: 20}));
	const results = Simulation.run(createTieredScheduler(settings), sent, costs, 30_000);
	const refused = results.filter(({refusedAt}) => refusedAt !== undefined).map(item => waitOf(item)).toSorted((one, other) => one - other);
	t.ok(refused.length > 100);
	t.ok(refused[Math.floor(refused.length / 2)]! < 1500, `half of the refusals within ${refused[Math.floor(refused.length / 2)]} ms`);
	t.ok(results.every(({endedAt, refusedAt}) => endedAt !== undefined || refusedAt !== undefined));
});
