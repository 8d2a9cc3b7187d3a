import fc from 'fast-check';
import tap from 'tap';
import {RetryShare, type SlackSharing} from '../../src/policy/dispatch/index.js';

const allowance = {ratio: 0.2, slack: 54, windowMilliseconds: 10_000};
const requestEveryMilliseconds = 25;
const courseMilliseconds = 30_000;

const orders = {service: 'orders', urgencyPosition: 0};

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
		if ((number * failingPart) % 1 < failingPart && share.reserve(orders, {type: 'known', instances: instances.length}, now).isGranted) {
			share.recordSent('orders', now);
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

const alone: SlackSharing = {type: 'known', instances: 1};

tap.test('a share of the slack comes back once an instance has run for a window', async t => {
	const share = RetryShare.create({allowance, startedAt: 0});
	t.notOk(share.reserve(orders, alone, 9999).isGranted);
	t.ok(share.reserve(orders, alone, 10_000).isGranted);
	share.setAllowance({...allowance, windowMilliseconds: 5000}, 20_000);
	t.notOk(share.reserve(orders, alone, 24_999).isGranted, 'a window of another length is a start');
	t.ok(share.reserve(orders, alone, 25_000).isGranted);
});

tap.test('there is no share of the slack while the number of instances is unknown', async t => {
	const share = RetryShare.create({allowance, startedAt: -Infinity});
	t.notOk(share.reserve(orders, {type: 'unknown'}, 0).isGranted);
});

// Retries were counted when they were decided; those that waited for an endpoint were sent together, beside those of the next window.
tap.test('retries that wait before they are sent stay within the allowance in any window', async t => {
	const retry = fc.record({pause: fc.nat(3000), waits: fc.nat(9000), count: fc.integer({min: 1, max: 60})});
	fc.assert(fc.property(fc.array(retry, {maxLength: 40, size: 'max'}), fc.nat(999), (bursts, offset) => {
		const share = RetryShare.create({allowance, startedAt: -Infinity});
		const events: Array<{readonly at: number; readonly type: 'decide' | 'send'}> = [];
		let at = offset;
		for (const {pause, waits, count} of bursts) {
			at += pause;
			for (let number = 0; number < count; number++) {
				events.push({at, type: 'decide'}, {at: at + waits, type: 'send'});
			}
		}

		return sentWithinAllowance(share, events.toSorted((left, right) => left.at - right.at));
	}), {seed: 7, numRuns: 300});
});

/** Plays decisions and the sendings that follow them; true if no window has more retries than the slack. */
function sentWithinAllowance(share: RetryShare, events: ReadonlyArray<{readonly at: number; readonly type: 'decide' | 'send'}>): boolean {
	const sentAt: number[] = [];
	let waiting = 0;
	for (const {at, type} of events) {
		if (type === 'decide') {
			waiting += share.reserve(orders, alone, at).isGranted ? 1 : 0;
		} else if (waiting > 0) {
			waiting -= 1;
			share.recordSent('orders', at);
			sentAt.push(at);
		}
	}

	return sentAt.every(until => countWithin(sentAt, until) <= allowance.slack);
}

tap.test('a retry that is not sent after all can be made by another request', async t => {
	const share = RetryShare.create({allowance: {ratio: 0, slack: 2, windowMilliseconds: 10_000}, startedAt: -Infinity});
	t.ok(share.reserve(orders, alone, 0).isGranted);
	t.notOk(share.reserve(orders, alone, 1).isGranted, 'reserved ones count');
	share.release('orders', 2);
	t.ok(share.reserve(orders, alone, 3).isGranted);
	share.recordSent('orders', 4);
	t.notOk(share.reserve(orders, alone, 10_003).isGranted, 'for a whole window after it was sent');
	t.ok(share.reserve(orders, alone, 11_100).isGranted);
});

// In an outage most failed requests are drafts, and urgent ones were given up because the drafts had taken the retries.
tap.test('a part of the retries is left to the more urgent requests', async t => {
	const share = RetryShare.create({allowance: {ratio: 0, slack: 100, windowMilliseconds: 10_000}, startedAt: -Infinity});
	const countGranted = (urgencyPosition: number): number => Array.from({length: 100}, () => share.reserve({service: 'models', urgencyPosition}, alone, 0)).filter(({isGranted}) => isGranted).length;
	const drafts = countGranted(1);
	const between = countGranted(0.5);
	const urgent = countGranted(0);
	t.equal(drafts + between + urgent, 60, 'all of the share can be used');
	t.ok(between > 0);
	t.ok(urgent >= 10);
});
