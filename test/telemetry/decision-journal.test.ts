import fc from 'fast-check';
import tap from 'tap';
import {DecisionJournal, ReasonCode} from '../../src/telemetry/index.js';

tap.test('the journal holds exactly the newest decisions, indexed by request and in order', async () => {
	const requests = fc.array(fc.constantFrom('first', 'second', 'third'), {maxLength: 50});
	fc.assert(fc.property(requests, fc.integer({min: 1, max: 10}), (names, capacity) => {
		let now = 0;
		const journal = DecisionJournal.create({capacity, now: () => now++});
		for (const name of names) {
			journal.record(name, ReasonCode.reserved);
		}

		const newest = names.map((name, time) => ({name, time})).slice(-capacity);
		return journal.size === newest.length && ['first', 'second', 'third'].every(name => {
			const expected = newest.filter(item => item.name === name).map(item => item.time);
			return JSON.stringify(journal.explain(name).map(decision => decision.time)) === JSON.stringify(expected);
		});
	}), {seed: 3});
});

tap.test('a long detail is truncated', async t => {
	const journal = DecisionJournal.create();
	journal.record('first', ReasonCode.failed, {why: 'x'.repeat(1000), attempt: 1});
	t.equal(String(journal.explain('first')[0]!.detail.why).length, 200);
});
