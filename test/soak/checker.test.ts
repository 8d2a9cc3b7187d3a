import tap from 'tap';
import {checkCalls, checkCrashes, checkKeys, checkNotRun, OffsetWatch, type CallRecord, type GroundTruth} from '../../bench/soak/checker.js';
import {planFaults} from '../../bench/soak/plan.js';
import {createRandom} from '../../bench/harness/random.js';

const call: CallRecord = {
	prompt: 'soup', key: undefined, className: 'order', entry: 'e1', startedAt: 0, endedAt: 10, outcome: 'whole', verdict: undefined, code: undefined, ending: '', callerLeft: false, tokens: 3, firstTokenMilliseconds: 1, dueMilliseconds: 5,
};

function groundTruth(more: Partial<GroundTruth> = {}): GroundTruth {
	return {runsOfPrompt: () => 1, runsOfKey: () => 1, crashesByPrompt: new Map(), crashedEntries: new Map(), ...more};
}

function rules(calls: CallRecord[], known = groundTruth()): string[] {
	return [...checkCalls(calls, known), ...checkKeys(calls, known), ...checkNotRun(calls, known)].map(violation => violation.rule);
}

tap.test('the checker finds each violated rule, and nothing in valid results', async t => {
	t.same(rules([call]), []);
	t.same(rules([{...call, outcome: 'wrong'}]), ['own whole answer']);
	t.same(rules([{...call, outcome: 'failed'}]), ['verdict']);
	t.same(rules([{...call, outcome: 'failed', verdict: 'not-run'}]), ['not run']);
	t.same(rules([{...call, outcome: 'failed', verdict: 'not-run'}], groundTruth({runsOfPrompt: () => 0})), []);
	t.same(rules([{...call, outcome: 'failed', verdict: 'may-have-run'}]), []);
	t.same(rules([{...call, outcome: 'broken'}]), ['whole answer or verdict']);
	t.same(rules([{...call, outcome: 'broken'}], groundTruth({crashedEntries: new Map([['e1', 5]])})), []);
	t.same(rules([{...call, key: 'k'}], groundTruth({runsOfKey: () => 2})), ['at most once']);
	t.same(rules([{...call, key: 'k', outcome: 'failed', verdict: 'not-run'}]), ['not run']);
	t.same(rules([call], groundTruth({runsOfPrompt: () => 0})), ['truth'], 'a complete response without a recorded run is reported');
	t.same(rules([{...call, endedAt: 100_000}]), ['ends']);
	t.same(checkCrashes(groundTruth({crashesByPrompt: new Map([['poison', 3], ['other', 2]])}), 0).length, 1);
});

tap.test('an offset that decreases is found', async t => {
	const watch = OffsetWatch.create();
	for (const offset of [1, 2, 2, 1]) {
		watch.observe('e1', offset, 0);
	}

	t.equal(watch.violations.length, 1);
});

tap.test('the same seed plans the same faults', async t => {
	t.same(planFaults(createRandom(7), 20_000, 2), planFaults(createRandom(7), 20_000, 2));
	t.notSame(planFaults(createRandom(7), 20_000, 2), planFaults(createRandom(8), 20_000, 2));
});
