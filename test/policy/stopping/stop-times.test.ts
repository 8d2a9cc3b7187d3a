import fastCheck from 'fast-check';
import tap from 'tap';
import {stopTimesOf} from '../../../src/policy/stopping/index.js';

const graceMilliseconds = 8000;
const listenMilliseconds = 2700;
const readAt = 100_000;
/** What was sent by then may be cut off in the last sixth. */
const sentInTimeMilliseconds = 3000;

tap.test('a stop whose signal is read at once ends 0.8 s before the platform kills the process', async t => {
	t.same(stopTimesOf({earliestAt: readAt, readAt}, {graceMilliseconds, listenMilliseconds}), {endsAt: readAt + 7200, lastStreamAt: readAt + 2700});
});

// Counted from its reading, the stop of a late loop cut streams that came later than the rules excuse, or was cut off itself by the platform's kill.
// An end that was early enough for a signal that may be old cut streams in progress long before the last sixth, when the signal was new.
tap.test('whenever the signal was sent, what the stop begins ends before the kill, and it cuts long streams in the last sixth alone', async () => {
	fastCheck.assert(fastCheck.property(fastCheck.integer({min: 0, max: 7000}), fastCheck.double({min: 0, max: 1, noNaN: true}), (lateMilliseconds, share) => {
		const earliestAt = readAt - lateMilliseconds;
		const sentAt = earliestAt + (share * lateMilliseconds);
		const {endsAt, lastStreamAt, certainUntil = endsAt} = stopTimesOf({earliestAt, readAt}, {graceMilliseconds, listenMilliseconds});
		const endsInTime = lastStreamAt === -Infinity || endsAt < sentAt + graceMilliseconds;
		const beginsWhatEndsInTime = certainUntil <= endsAt && certainUntil < sentAt + graceMilliseconds;
		const beginsNoneLate = lastStreamAt <= sentAt + sentInTimeMilliseconds;
		const cutsInLastSixth = endsAt >= sentAt + (graceMilliseconds * 5 / 6);
		return endsInTime && beginsWhatEndsInTime && beginsNoneLate && cutsInLastSixth;
	}), {seed: 87, numRuns: 500});
});
