import fc from 'fast-check';
import tap from 'tap';
import {endsInSilence, judgeSilence, type Progress, silenceMilliseconds} from '../../src/policy/incarnations/index.js';

/** What happens on one connection. Its caller pauses it only when bytes arrive, and nothing arrives until it reads on. */
type Happening = {readonly type: 'bytes' | 'pause' | 'resume'; readonly at: number};

const giveUpLimit = 1_000_000;
/** How late a look may come: a busy process reads its clock late. */
const largestLateness = 300;

function happeningsUntil(happenings: readonly Happening[], now: number): readonly Happening[] {
	return happenings.filter(({at}) => at <= now);
}

/** Until when the caller read too slowly. */
function pausedUntil(before: readonly Happening[], now: number): number {
	const last = before.findLast(({type}) => type !== 'bytes');
	return last === undefined ? -Infinity : (last.type === 'pause' ? now : last.at);
}

type Course = {readonly until: number; readonly bytesBefore?: number; readonly lateness?: () => number};

/** When a connection is given up, if ever, in virtual time from the news of a restart on; each look comes as late as `lateness` says. */
function givenUpAt(happenings: readonly Happening[], {until, bytesBefore = 0, lateness = () => 0}: Course): number | undefined {
	let progress: Progress = {bytes: bytesBefore, at: 0};
	let now = silenceMilliseconds + lateness();
	while (now <= until) {
		const before = happeningsUntil(happenings, now);
		const bytes = bytesBefore + before.filter(({type}) => type === 'bytes' || type === 'pause').length;
		const verdict = judgeSilence(progress, {bytes, pausedUntil: pausedUntil(before, now), now});
		if (verdict.type === 'silent') {
			return now;
		}

		if (verdict.milliseconds <= 0) {
			throw new Error('A look that follows at once would take all of the processor.');
		}

		progress = verdict.progress;
		now += verdict.milliseconds + lateness();
	}

	return undefined;
}

/** Happenings after gaps, one after the other. */
function after(gaps: ReadonlyArray<readonly [Happening['type'], number]>): readonly Happening[] {
	let at = 0;
	return gaps.map(([type, gap]) => {
		at += gap;
		return {type, at};
	});
}

const gapArbitrary = fc.integer({min: 0, max: silenceMilliseconds});
const latenessArbitrary = fc.array(fc.integer({min: 0, max: largestLateness}), {minLength: 1, maxLength: 20});

/** Draws again and again from the same values. */
function drawFrom(values: readonly number[]): () => number {
	let position = -1;
	return () => {
		position += 1;
		return values[position % values.length]!;
	};
}

// A stream that goes on was broken off by the news of its endpoint.
tap.test('a connection that brings bytes at least every two seconds is never given up', async t => {
	fc.assert(fc.property(fc.array(gapArbitrary, {minLength: 1, maxLength: 60}), fc.nat(), latenessArbitrary, (gaps, bytesBefore, late) => {
		const happenings = after(gaps.map(gap => ['bytes', gap]));
		const until = happenings.at(-1)!.at;
		return givenUpAt(happenings, {until, bytesBefore, lateness: drawFrom(late)}) === undefined;
	}), {seed: 1, numRuns: 500});
	t.pass();
});

// While a caller reads too slowly nothing is read of its endpoint, which may send all the same.
tap.test('a connection whose caller pauses it is never given up, for however long', async t => {
	const pauseArbitrary = fc.tuple(gapArbitrary, fc.integer({min: 1, max: 60_000}), fc.integer({min: 0, max: silenceMilliseconds}));
	fc.assert(fc.property(fc.array(pauseArbitrary, {minLength: 1, maxLength: 20}), latenessArbitrary, (pauses, late) => {
		const happenings = after(pauses.flatMap(([before, paused, next]) => [['bytes', before], ['pause', 0], ['resume', paused], ['bytes', next]] as const));
		return givenUpAt(happenings, {until: happenings.at(-1)!.at, lateness: drawFrom(late)}) === undefined;
	}), {seed: 2, numRuns: 500});
	t.equal(givenUpAt([{type: 'pause', at: 10}], {until: giveUpLimit}), undefined, 'one that is never read on');
});

tap.test('a connection that brings nothing is given up after two seconds', async t => {
	t.equal(givenUpAt([], {until: giveUpLimit}), silenceMilliseconds);
	t.equal(givenUpAt([], {until: giveUpLimit, bytesBefore: 70_000}), silenceMilliseconds, 'whatever it brought before the news');
	t.equal(givenUpAt([{type: 'bytes', at: silenceMilliseconds + 1}], {until: giveUpLimit}), silenceMilliseconds, 'what comes later does not count');
});

// A caller waited for the time of its request to be over, at a process that was gone.
tap.test('a connection that falls silent is given up within four seconds of its last bytes, or of its caller reading on', async t => {
	fc.assert(fc.property(fc.array(gapArbitrary, {maxLength: 30}), fc.boolean(), (gaps, isPausedLast) => {
		const happenings = after([...gaps.map(gap => ['bytes', gap] as const), ...(isPausedLast ? [['pause', 100], ['resume', 5000]] as const : [])]);
		const last = happenings.at(-1)?.at ?? 0;
		const at = givenUpAt(happenings, {until: giveUpLimit});
		return at !== undefined && at >= last && at <= last + (2 * silenceMilliseconds);
	}), {seed: 3, numRuns: 500});
	t.pass();
});

tap.test('a look again is never later than two seconds ahead, and never at once', async t => {
	fc.assert(fc.property(fc.nat(), fc.nat(), fc.boolean(), fc.nat({max: 10_000}), (before, more, isPaused, elapsed) => {
		const verdict = judgeSilence({bytes: before, at: 0}, {bytes: before + more, pausedUntil: isPaused ? elapsed : -Infinity, now: elapsed});
		return verdict.type === 'silent'
			? more === 0 && !isPaused && elapsed >= silenceMilliseconds
			: verdict.milliseconds > 0 && verdict.milliseconds <= silenceMilliseconds && verdict.progress.at <= elapsed;
	}), {seed: 4, numRuns: 1000});
	t.pass();
});

// An endpoint that had announced its leaving, or whose address is still its own, ends its work itself.
tap.test('requests are given up in silence only where the address of an endpoint that announced nothing is assigned again', async t => {
	const address = '10.0.0.1:80';
	const restart = {id: 'a', address, hadAnnouncedLeaving: false, isAtSameAddress: true};
	t.ok(endsInSilence(restart, address));
	t.notOk(endsInSilence({...restart, hadAnnouncedLeaving: true}, address));
	t.notOk(endsInSilence({...restart, isAtSameAddress: false}, address));
	t.notOk(endsInSilence({...restart, hadAnnouncedLeaving: true, isAtSameAddress: false}, address));
	t.notOk(endsInSilence(restart, '10.0.0.2:80'), 'an earlier incarnation at another address');
});
