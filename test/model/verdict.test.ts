import fc from 'fast-check';
import tap from 'tap';
import {combineVerdicts, mayRetry, Verdict} from '../../src/model/index.js';

const verdicts = fc.constantFrom(...Object.values(Verdict));

tap.test('combining verdicts keeps the strongest one, in any order', async t => {
	fc.assert(fc.property(verdicts, verdicts, (first, second) => {
		const combined = combineVerdicts(first, second);
		return combined === combineVerdicts(second, first) && combineVerdicts(combined, first) === combined;
	}), {seed: 1});
	t.equal(combineVerdicts(Verdict.notRun, Verdict.mayHaveRun), Verdict.mayHaveRun);
	t.equal(combineVerdicts(Verdict.notRun, Verdict.notRun), Verdict.notRun);
});

tap.test('a request may be retried only if it did not run, or may have run and is idempotent', async t => {
	t.ok(mayRetry(Verdict.notRun, false));
	t.notOk(mayRetry(Verdict.mayHaveRun, false));
	t.ok(mayRetry(Verdict.mayHaveRun, true));
	t.notOk(mayRetry(Verdict.ran, true));
});
