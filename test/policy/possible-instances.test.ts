import fc from 'fast-check';
import tap from 'tap';
import {countPossibleInstances, type InstanceEvent, noPossibleInstances, type PossibleInstances, prunePossibleInstances, stepPossibleInstances} from '../../src/policy/sharing/index.js';

const shutdownMilliseconds = 18_000;
const hourMilliseconds = 3_600_000;

type TimedEvent = readonly [type: InstanceEvent['type'], at: number];

function fold(events: readonly TimedEvent[], state: PossibleInstances = noPossibleInstances): PossibleInstances {
	let folded = state;
	for (const [type, at] of events) {
		folded = stepPossibleInstances(folded, {type, instance: 'b'}, at);
	}

	return folded;
}

function countAfter(events: readonly TimedEvent[], now: number): number {
	return countPossibleInstances(fold(events), shutdownMilliseconds, now);
}

// An instance that was cut off from the others divided the slack of the retries by one.
tap.test('an instance whose link was lost still counts for an hour', async t => {
	t.equal(countAfter([], 0), 1);
	t.equal(countAfter([['announced', 0], ['linked', 1], ['lost', 2]], 3), 2);
	t.equal(countAfter([['linked', 1], ['lost', 2]], hourMilliseconds), 2, 'also one that was never announced');
	t.equal(countAfter([['linked', 1], ['lost', 2]], hourMilliseconds + 3), 1);
	t.equal(countAfter([['linked', 1], ['lost', 2], ['lost', hourMilliseconds]], hourMilliseconds + 3), 1, 'failed dials do not prolong it');
});

tap.test('an old announcement does not bring an instance back that is gone', async t => {
	t.equal(countAfter([['announced', 0], ['lost', 2], ['announced', hourMilliseconds + 2]], hourMilliseconds + 3), 1);
	t.equal(countAfter([['announced', 0], ['lost', 2], ['linked', hourMilliseconds + 2]], hourMilliseconds + 3), 2, 'a link does');
});

// What an instance has spent before it ended still counts in the window.
tap.test('an instance that withdraws its announcement counts until it has shut down', async t => {
	t.equal(countAfter([['announced', 0], ['withdrawn', 100]], 100), 2);
	t.equal(countAfter([['announced', 0], ['linked', 1], ['withdrawn', 100], ['lost', 8000]], 17_000), 2);
	t.equal(countAfter([['announced', 0], ['linked', 1], ['withdrawn', 100], ['lost', 8000]], 18_100), 1, 'the end of its link is no loss');
	t.equal(countAfter([['announced', 0], ['withdrawn', 100], ['announced', 200]], 50_000), 2, 'it has started again');
});

tap.test('an instance that is no neighbour any more counts as long as it is announced', async t => {
	t.equal(countAfter([['announced', 0], ['linked', 1], ['unlinked', 2]], 10 * hourMilliseconds), 2);
	t.equal(countAfter([['announced', 0], ['withdrawn', 1], ['unlinked', 2]], hourMilliseconds), 1);
});

tap.test('pruning changes no count, now or later', async t => {
	const event = fc.tuple(fc.constantFrom<InstanceEvent['type']>('announced', 'linked', 'lost', 'withdrawn', 'unlinked'), fc.nat(2 * hourMilliseconds));
	fc.assert(fc.property(fc.array(event, {maxLength: 8}), fc.array(event, {maxLength: 4}), (before, after) => {
		const inOrder = (events: readonly TimedEvent[], from: number): TimedEvent[] => events.toSorted(([, left], [, right]) => left - right).map(([type, at]) => [type, from + at]);
		const state = fold(inOrder(before, 0));
		const now = 2 * hourMilliseconds;
		const pruned = prunePossibleInstances(state, shutdownMilliseconds, now);
		const later = inOrder(after, now);
		const end = 4 * hourMilliseconds;
		return countPossibleInstances(pruned, shutdownMilliseconds, now) === countPossibleInstances(state, shutdownMilliseconds, now)
			&& countPossibleInstances(fold(later, pruned), shutdownMilliseconds, end) === countPossibleInstances(fold(later, state), shutdownMilliseconds, end);
	}), {seed: 3, numRuns: 400});
});
