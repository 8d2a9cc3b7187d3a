import fc from 'fast-check';
import tap from 'tap';
import {lastStartAt, longestRunTime, recordRunTime, type RunTimes} from '../../src/policy/stopping/index.js';

const endsAt = 10_000;
const lastStreamAt = 5000;
const stop = {endsAt, lastStreamAt};
/** The timeout of the routes that run. */
const timeoutMilliseconds = 8000;

// An instance that knows nothing of a route began its requests until the end, and cut them off.
tap.test('a request of a route of which nothing is known may take its whole timeout', async t => {
	t.equal(lastStartAt({deadlineAt: Infinity, timeoutMilliseconds: 4000, longestMilliseconds: undefined}, stop), 6000);
	t.equal(lastStartAt({deadlineAt: Infinity, timeoutMilliseconds: 4000, longestMilliseconds: 300}, stop), 9700);
	t.equal(lastStartAt({deadlineAt: Infinity, timeoutMilliseconds: 200, longestMilliseconds: 300}, stop), 9800);
});

tap.test('a request whose deadline comes before the end of the stop may be begun at any time, and all may while there is no stop', async t => {
	t.equal(lastStartAt({deadlineAt: endsAt, timeoutMilliseconds: 4000, longestMilliseconds: 4000}, stop), Infinity);
	t.equal(lastStartAt({deadlineAt: endsAt + 1, timeoutMilliseconds: 4000, longestMilliseconds: 4000}, {endsAt: Infinity, lastStreamAt: Infinity}), Infinity);
});

// Streams that came late in a stop were begun since those before them had been short, and the end broke off those that took longer.
tap.test('a stream that is whole late in a stop is begun only if its deadline comes before the end', async t => {
	const stream = {deadlineAt: endsAt + 1, timeoutMilliseconds: 4000, longestMilliseconds: 300};
	t.equal(lastStartAt({...stream, streamWholeAt: lastStreamAt}, stop), 9700);
	t.equal(lastStartAt({...stream, streamWholeAt: lastStreamAt + 1}, stop), -Infinity);
	t.equal(lastStartAt({...stream, streamWholeAt: Infinity}, stop), lastStreamAt, 'its body is awaited for so long');
	t.equal(lastStartAt({...stream, streamWholeAt: lastStreamAt + 1, deadlineAt: endsAt}, stop), Infinity);
	t.equal(lastStartAt({...stream, streamWholeAt: lastStreamAt + 1}, {endsAt: Infinity, lastStreamAt: Infinity}), Infinity);
});

tap.test('the longest run time covers requests of one length, and those of alternating lengths', async t => {
	fc.assert(fc.property(fc.integer({min: 1, max: 10_000}), fc.integer({min: 1, max: 10_000}), (one, other) => {
		const times: RunTimes = new Map();
		for (let number = 0; number < 40; number++) {
			recordRunTime(times, {name: 'route', timeoutMilliseconds}, number % 2 === 0 ? one : other);
		}

		return longestRunTime(times, 'route')! >= Math.max(one, other) - 1;
	}), {seed: 1, numRuns: 500});
	t.equal(longestRunTime(new Map(), 'route'), undefined);
});

// After one short run a long stream was begun until the end of the grace, and cut off.
tap.test('one short run tells little of how long others take, and ten of them do', async t => {
	const times: RunTimes = new Map();
	recordRunTime(times, {name: 'route', timeoutMilliseconds}, 10);
	t.ok(longestRunTime(times, 'route')! >= timeoutMilliseconds / 2);
	for (let number = 1; number < 10; number++) {
		recordRunTime(times, {name: 'route', timeoutMilliseconds}, 10);
	}

	t.ok(longestRunTime(times, 'route')! < timeoutMilliseconds / 16);
});

tap.test('the routes that are remembered are bounded, and those in use are kept', async t => {
	const times: RunTimes = new Map();
	for (let number = 0; number < 3000; number++) {
		recordRunTime(times, {name: `route-${number}`, timeoutMilliseconds}, 10);
		recordRunTime(times, {name: 'used', timeoutMilliseconds}, 20);
	}

	t.ok(times.size <= 1000);
	t.ok(longestRunTime(times, 'used') !== undefined);
});
