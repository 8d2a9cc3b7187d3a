import tap from 'tap';
import {patterns, planRequests} from '../../bench/decisions/patterns.js';
import {capacityTokensPerSecond} from '../../bench/decisions/plan.js';

tap.test('a pattern gives the same requests for the same seed, and different ones for another seed', async t => {
	for (const pattern of patterns) {
		const first = planRequests(pattern, 1);
		t.same(planRequests(pattern, 1), first, pattern.name);
		t.notSame(planRequests(pattern, 2), first, pattern.name);
		t.ok(first.every(({at}) => at >= 0 && at <= pattern.milliseconds));
	}
});

tap.test('the load of an overload pattern matches its name', async t => {
	const factor = (name: string): number => {
		const pattern = patterns.find(one => one.name === name)!;
		let tokens = 0;
		for (let seed = 1; seed <= 20; seed++) {
			for (const planned of planRequests(pattern, seed)) {
				tokens += planned.tokens / 20;
			}
		}

		return tokens * 1000 / pattern.milliseconds / capacityTokensPerSecond;
	};

	for (const [name, expected] of [['overload-1.2', 1.2], ['overload-2', 2], ['overload-5', 5]] as const) {
		const actual = factor(name);
		t.ok(Math.abs(actual - expected) < 0.1 * expected, `${name} asks for ${actual.toFixed(2)}`);
	}
});
