import fc from 'fast-check';
import tap from 'tap';
import {RetryShare} from '../../src/policy/dispatch/index.js';

const allowance = {ratio: 0.2, slack: 54, windowMilliseconds: 10_000};
const requestEveryMilliseconds = 25;
const courseMilliseconds = 30_000;

type Course = {
	/** Number of instances, and at which times each one starts again. */
	readonly starts: ReadonlyArray<readonly number[]>;
	/** Part of the requests that fail at their first endpoint. */
	readonly failingPart: number;
};

type Instance = {share: RetryShare; readonly startsAt: number[]};

/** Plays a course in which every failed request asks for a retry; returns the times of requests and retries of all instances. */
function play({starts, failingPart}: Course): {requests: number[]; retries: number[]} {
	const instances = starts.map((times): Instance => ({share: RetryShare.create({allowance, startedAt: -Infinity}), startsAt: [...times].toSorted((left, right) => left - right)}));
	const requests: number[] = [];
	const retries: number[] = [];
	for (let now = 0, number = 0; now < courseMilliseconds; now += requestEveryMilliseconds, number++) {
		for (const instance of instances) {
			if ((instance.startsAt[0] ?? Infinity) <= now) {
				instance.startsAt.shift();
				instance.share = RetryShare.create({allowance, startedAt: now});
			}
		}

		const {share} = instances[number % instances.length]!;
		share.countRequest('orders', now);
		requests.push(now);
		if ((number * failingPart) % 1 < failingPart && share.takeRetry('orders', {type: 'known', instances: instances.length}, now).isGranted) {
			retries.push(now);
		}
	}

	return {requests, retries};
}

function countWithin(times: readonly number[], until: number): number {
	return times.filter(at => at > until - allowance.windowMilliseconds && at <= until).length;
}

/** Retries beyond what the rule allows in the window that exceeds it most; negative if none does. */
function largestExcess({requests, retries}: {requests: readonly number[]; retries: readonly number[]}): number {
	return Math.max(-Infinity, ...retries.map(until => {
		const counted = Math.max(...[0, 0.5, 1].map(windows => countWithin(requests, until - (windows * allowance.windowMilliseconds))));
		return countWithin(retries, until) - (allowance.ratio * counted) - allowance.slack;
	}));
}

// An instance that was killed and started had a share of the slack that the one before it had spent already.
tap.test('instances that start again and again stay within the allowance of retries together', async t => {
	const time = fc.nat(courseMilliseconds);
	const starts = fc.array(fc.array(time, {maxLength: 8}), {minLength: 1, maxLength: 6});
	fc.assert(fc.property(starts, fc.double({min: 0.2, max: 1, noNaN: true}), (times, failingPart) => largestExcess(play({starts: times, failingPart})) <= 0), {seed: 11, numRuns: 150});
});

tap.test('all instances together spend most of the allowance when none of them starts', async t => {
	const {requests, retries} = play({starts: [[], [], [], []], failingPart: 1});
	const most = Math.max(...retries.map(until => countWithin(retries, until)));
	t.ok(most >= 0.5 * ((allowance.ratio * countWithin(requests, courseMilliseconds)) + allowance.slack), `${most} retries`);
});

tap.test('a share of the slack comes back once an instance has run for a window', async t => {
	const share = RetryShare.create({allowance, startedAt: 0});
	t.notOk(share.takeRetry('orders', {type: 'known', instances: 1}, 9999).isGranted);
	t.ok(share.takeRetry('orders', {type: 'known', instances: 1}, 10_000).isGranted);
});
