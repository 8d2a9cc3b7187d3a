import fc from 'fast-check';
import tap from 'tap';
import {countRun, countRuns, foldRuns, isWorthTelling, noCountedRuns, pruneRuns, type RunRecord, weighCrashes} from '../../src/policy/quarantine/index.js';

tap.test('each endpoint counts against a request that has never run to its end', async t => {
	t.equal(weighCrashes([0, 1, 2], 0), 3);
});

// A rack that fails under a request which many callers send alike would have it refused for ten minutes.
tap.test('endpoints that crash together count once against a request that runs elsewhere', async t => {
	t.equal(weighCrashes([0, 10, 20, 30, 699], 1), 1);
	t.equal(weighCrashes([5000, 0, 10, 5100], 1), 2);
});

// A request that some endpoints survive would go on crashing the others.
tap.test('ten runs outweigh one event, and fewer do not', async t => {
	const times = [0, 2000, 4000];
	t.equal(weighCrashes(times, 29), 3);
	t.equal(weighCrashes(times, 30), 0);
});

// Crashes half a second apart, each less than a second after the one before, would be one event for as long as they went on.
tap.test('endpoints that crash one after the other are several events', async t => {
	t.equal(weighCrashes([0, 500, 1000, 1500, 2000, 2500], 1), 3);
});

// Crashes of callers who send again each second were one event or two by a few milliseconds, and instances disagreed whether to refuse the request.
tap.test('crashes a second apart are one event each, whatever their jitter', async () => {
	const jitter = fc.integer({min: 0, max: 30});
	fc.assert(fc.property(fc.array(fc.tuple(jitter, jitter), {minLength: 1, maxLength: 8}), pairs => {
		const times = pairs.flatMap(([first, second], index) => [(index * 1000) + first, (index * 1000) + second]);
		return weighCrashes(times, 1) === pairs.length;
	}));
});

// With each count told, a request that many callers send would be a message a run; with a bound near what is needed, a burst of crashes refused it.
tap.test('a count is told once it has doubled, and is bounded', async t => {
	let [runs, told, messages] = [0, 0, 0];
	for (let run = 0; run < 5000; run++) {
		runs = countRun(runs);
		if (isWorthTelling(runs, told)) {
			told = runs;
			messages += 1;
		}

		t.ok(told * 2 >= runs || runs === 1, 'at least half is known');
	}

	t.equal(runs, 2000);
	t.ok(messages <= 12, `${messages} messages`);
});

tap.test('counts of runs agree in any order, and the largest of an instance counts', async t => {
	const record = fc.record({fingerprint: fc.constantFrom('f', 'g'), instance: fc.constantFrom('a', 'b', 'c'), runs: fc.integer({min: 1, max: 9})});
	const fold = (records: readonly RunRecord[]) => {
		let state = noCountedRuns;
		for (const one of records) {
			state = foldRuns(state, one);
		}

		return state;
	};

	fc.assert(fc.property(fc.array(record, {maxLength: 8}), records => {
		const largest = new Map<string, number>();
		for (const {fingerprint, instance, runs} of records.filter(one => one.fingerprint === 'f')) {
			largest.set(`${fingerprint}${instance}`, Math.max(runs, largest.get(`${fingerprint}${instance}`) ?? 0));
		}

		const expected = [...largest.values()].reduce((sum, runs) => sum + runs, 0);
		return countRuns(fold(records), 'f') === expected && countRuns(fold([...records, ...records].toReversed()), 'f') === expected;
	}));
	const state = fold([{fingerprint: 'f', instance: 'a', runs: 2}, {fingerprint: 'g', instance: 'a', runs: 1}]);
	t.equal(foldRuns(state, {fingerprint: 'f', instance: 'a', runs: 2}), state, 'a repeated record is nothing new');
	t.same([...pruneRuns(state, fingerprint => fingerprint === 'g').keys()], ['g']);
});
