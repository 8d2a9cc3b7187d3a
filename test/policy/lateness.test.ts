import tap from 'tap';
import {endAt, lagSampleMilliseconds, type Lateness, LoopLag, nextLookAt} from '../../src/policy/lateness/index.js';

const lateMilliseconds = 60;
const inTime: Lateness = {lagMilliseconds: 0, longestMilliseconds: 0};

function lateBy(milliseconds: number): Lateness {
	return {lagMilliseconds: milliseconds, longestMilliseconds: milliseconds};
}

/** A loop that ran its timer on time until `until`, and then in turns of these lengths. */
function loopAfter(turns: readonly number[], until = 1000): {lag: LoopLag; now: number} {
	let now = 0;
	let lag = LoopLag.create(lateMilliseconds, now);
	while (now < until) {
		now += lagSampleMilliseconds;
		lag = lag.tick(now);
	}

	for (const milliseconds of turns) {
		now += milliseconds;
		lag = lag.tick(now);
	}

	return {lag, now};
}

tap.test('below the named lag nothing changes', async t => {
	for (const turn of [0, 5, 20, 40]) {
		const {lag, now} = loopAfter(Array.from({length: 20}, () => lagSampleMilliseconds + turn));
		for (const later of [0, 10, 40]) {
			t.equal(lag.millisecondsAt(now + later), 0);
			t.equal(lag.arrivalOf(now + later), now + later);
			t.equal(lag.firstArrivalOf({acceptedAt: now, openedAt: now}, now + later), now + later);
		}
	}

	t.equal(endAt({arrivedAt: 100, earliestAt: 900, latestAt: 900, hasBegun: false, isStopping: false}, inTime), 900);
});

// Read 400 ms late and counted from then, a request was sent on up to 0.7 s after its caller's deadline.
tap.test('a request that a late turn reads arrived before it', async t => {
	const {lag, now} = loopAfter([400]);
	t.equal(lag.arrivalOf(now + 30), now - 400);
	t.ok(lag.millisecondsAt(now) > 200);
});

// A request that came just after a long turn counted from before that turn: its 504 came half a second before its time.
tap.test('what is read after the turn of the timer arrived after the timer ran', async t => {
	const {lag, now} = loopAfter([600]);
	t.equal(lag.arrivalOf(now + 5), now - 600, 'the turn of the timer reads what has lain there');
	t.equal(lag.read().arrivalOf(now + 5), now + 5, 'the turns behind it read what has come since');
	t.equal(lag.read().arrivalOf(now + 300), now, 'also where they are late by themselves');
	t.equal(lag.read().tick(now + 300).arrivalOf(now + 305), now, 'until the timer runs again');
});

tap.test('a request read within a turn that is late by itself arrived before it', async t => {
	const {lag, now} = loopAfter([]);
	t.ok(lag.arrivalOf(now + 300) <= now);
	t.equal(lag.millisecondsAt(now + 300), 300 - lagSampleMilliseconds);
});

// A connection is accepted one turn before it is read: the request on it has waited through both.
tap.test('the first request of a connection counts from the turn that accepted it', async t => {
	const before = loopAfter([300]);
	const times = {acceptedAt: before.now + 10, openedAt: before.lag.arrivalOf(before.now + 10)};
	const lag = before.lag.tick(before.now + 200);
	t.equal(lag.firstArrivalOf(times, before.now + 210), before.now - 300);
	const later = lag.tick(before.now + 400);
	t.equal(later.firstArrivalOf(times, before.now + 410), before.now + 200, 'a connection that was read before does not count');
});

tap.test('a loop that was late counts as late until its lag has halved', async t => {
	const {lag, now} = loopAfter([200, 200]);
	const stillLate = lag.tick(now + lagSampleMilliseconds + 45);
	t.ok(stillLate.millisecondsAt(now + lagSampleMilliseconds + 45) > 0);
	const {lag: neverLate, now: then} = loopAfter([lagSampleMilliseconds + 45]);
	t.equal(neverLate.millisecondsAt(then), 0);
	let calm = lag;
	for (let tick = 1; tick <= 40; tick++) {
		calm = calm.tick(now + (tick * lagSampleMilliseconds));
	}

	t.equal(calm.millisecondsAt(now + (40 * lagSampleMilliseconds)), 0);
});

// An answer that its endpoint made in time was read 0.4 s late, 1.1 s after the route's timeout had begun to count.
tap.test('a request is ended before its time by the lag, but not by more than a quarter', async t => {
	const limit = {arrivedAt: 1000, earliestAt: 1800, latestAt: 1900, hasBegun: false, isStopping: false};
	t.equal(endAt(limit, lateBy(150)), 1650);
	t.equal(endAt(limit, lateBy(700)), 1600);
	t.equal(nextLookAt(limit, inTime, 1100), 1600, 'looked at once more where the margin begins');
	t.equal(nextLookAt(limit, inTime, 1600), 1800);
	t.equal(nextLookAt(limit, lateBy(150), 1600), 1650);
});

// Streams that their endpoint went on with were cut off up to a quarter of their time before their deadline.
tap.test('a request whose answer has begun is ended at its deadline, however late the loop is', async t => {
	const limit = {arrivedAt: 1000, earliestAt: 1800, latestAt: 1800, hasBegun: true, isStopping: false};
	for (const milliseconds of [0, 150, 700, Infinity]) {
		t.equal(endAt(limit, lateBy(milliseconds)), 1800);
		t.equal(nextLookAt(limit, lateBy(milliseconds), 1100), 1800);
		t.equal(nextLookAt(limit, lateBy(milliseconds), 1700), 1800);
	}
});

// Streams had no end half a second after their time: it was counted from when a process that had stood still read them, and the next look came late again.
tap.test('a begun answer whose request was read late is ended where its end is as likely too early as, by the next look, too late', async t => {
	const limit = {arrivedAt: 1000, earliestAt: 4000, latestAt: 4500, hasBegun: true, isStopping: false};
	t.equal(endAt(limit, inTime), 4500, 'its time is over for certain, and the next look is in time');
	t.equal(endAt(limit, lateBy(500)), 4250);
	t.equal(endAt(limit, lateBy(700)), 4150);
	t.equal(endAt(limit, lateBy(5000)), 4000, 'never before its time can be over');
	t.equal(nextLookAt(limit, inTime, 1100), 4000, 'looked at once more where its time can be over');
	t.equal(nextLookAt(limit, lateBy(500), 4000), 4250);
	t.equal(endAt({...limit, latestAt: 4200}, lateBy(250)), 4200, 'looks in time leave the whole span');
	t.equal(endAt({...limit, isStopping: true}, lateBy(700)), 4500, 'a stop breaks off none before its time is over for certain');
});

tap.test('the longest lag counts for two to four seconds, and not below the named lag', async t => {
	const {lag, now} = loopAfter([600, 30, 30]);
	t.equal(lag.longestMillisecondsAt(now), 600 - lagSampleMilliseconds);
	const ticked = (milliseconds: number): LoopLag => {
		let later = lag;
		for (let at = now + lagSampleMilliseconds; at <= now + milliseconds; at += lagSampleMilliseconds) {
			later = later.tick(at);
		}

		return later;
	};

	t.equal(ticked(1900).longestMillisecondsAt(now + 1900), 600 - lagSampleMilliseconds);
	t.equal(ticked(4500).longestMillisecondsAt(now + 4500), 0);
	t.equal(loopAfter([40, 40]).lag.longestMillisecondsAt(1080), 0);
	t.equal(lag.longestMillisecondsAt(now + 1000), 1000 - lagSampleMilliseconds, 'also within a turn that is late by itself');
});
