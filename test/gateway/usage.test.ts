import tap from 'tap';
import {RequestUsage, UsageCounter} from '../../src/gateway/index.js';

function createCounter(): {readonly counter: UsageCounter; readonly clock: {now: number}} {
	const clock = {now: 100_000};
	return {counter: UsageCounter.create(5000, () => clock.now), clock};
}

function countsOf(counter: UsageCounter): Record<number, Readonly<Record<string, number>>> {
	return Object.fromEntries(counter.changedSince(0).map(({window, counts}) => [window, counts]));
}

tap.test('a request that is no stream counts in the window in which it was sent, once its endpoint has answered', async t => {
	const {counter, clock} = createCounter();
	const usage = RequestUsage.create(counter, 'studio-a');
	usage.recordSent(false);
	const sentAt = clock.now;
	clock.now = 105_200;
	t.equal(counter.completeThrough, sentAt, 'the window is not complete before');
	t.same(countsOf(counter), {});
	usage.recordEnd(true);
	t.same(countsOf(counter), {20: {'studio-a': 1}});
	t.equal(counter.completeThrough, clock.now);
});

// Guards against a report that counts each repetition of a request, or one that its endpoint refused.
tap.test('a request counts once, and only if an endpoint began to run it', async t => {
	const {counter} = createCounter();
	const repeated = RequestUsage.create(counter, 'studio-a');
	repeated.recordSent(false);
	repeated.recordEnd(false);
	t.same(countsOf(counter), {}, 'refused by the endpoint');
	repeated.recordSent(false);
	repeated.recordEnd(true);
	repeated.recordSent(false);
	repeated.recordEnd(true);
	t.same(countsOf(counter), {20: {'studio-a': 1}});
	const resumed = RequestUsage.create(counter, 'studio-b');
	resumed.recordSent(true);
	resumed.recordEnd(true);
	t.same(countsOf(counter), {20: {'studio-a': 1}}, 'a stream without an event has not begun');
	resumed.recordSent(true);
	resumed.recordFirstEvent();
	resumed.recordFirstEvent();
	t.same(countsOf(counter), {20: {'studio-a': 1, 'studio-b': 1}});
});

tap.test('only what has changed since a revision is told again, and old windows are dropped', async t => {
	const {counter, clock} = createCounter();
	counter.count('studio-a');
	const {revision} = counter;
	t.same(counter.changedSince(revision), []);
	counter.count('studio-a');
	t.match(counter.changedSince(revision), [{window: 20, counts: {'studio-a': 2}}]);
	for (let window = 0; window < 20; window++) {
		clock.now += 5000;
		counter.count('studio-b');
	}

	t.equal(counter.changedSince(0).length, 8);
	t.notOk(Object.hasOwn(countsOf(counter), 20));
});

tap.test('without a counter or a workspace nothing is counted', async t => {
	const {counter} = createCounter();
	const usage = RequestUsage.create(counter, undefined);
	usage.recordSent(false);
	usage.recordFirstEvent();
	usage.recordEnd(true);
	t.same(countsOf(counter), {});
	RequestUsage.create(undefined, 'studio-a').recordFirstEvent();
});
