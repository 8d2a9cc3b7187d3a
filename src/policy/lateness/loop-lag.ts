/**
 * How late an event loop is, from the lateness of a timer.
 *
 * Load pattern: an instance with a small part of a core gets a burst, of long prompts or of the tightest streams. Each turn of its loop then
 * takes hundreds of milliseconds, and a request is read that long after it arrived. Counted from the moment at which it is read, its deadline
 * and its route's timeout end that much later than its caller's: it is sent to an endpoint after its caller has left, and an
 * answer that the endpoint has made is passed on too late.
 */

/** The timer's interval: a turn of this length is seen, and the timer takes little of a small instance's time. */
export const lagSampleMilliseconds = 25;
/** Part of the way that the smoothed lag goes towards a longer sample: the first turns of a burst count, a single long one only in part. */
const riseShare = 0.7;
/** Time in which the smoothed lag falls to a third after the last late turn: a burst's turns differ, and its end is certain after a few. */
const fallMilliseconds = 300;
/** A loop that was late is in time again below this share of the lag from which it counts as late. */
const inTimeShare = 0.5;

/** The longest lag counts for one to two such times: an instance that got too little of its processor gets it in bursts, a second or two apart. */
const longestSpanMilliseconds = 2000;

/** When a connection was accepted, and the earliest moment at which it can have been opened. */
export type ConnectionTimes = {readonly acceptedAt: number; readonly openedAt: number};

type LagState = {
	readonly lateMilliseconds: number;
	/** When the timer last ran, and the time before. */
	readonly tickAt: number;
	readonly previousTickAt: number;
	/** Whether the sockets were read since the timer last ran. */
	readonly hasRead: boolean;
	readonly smoothed: number;
	readonly wasLate: boolean;
	readonly longest: LongestLag;
};

/** The longest lag of the span that began at `since`, and of the one before it. */
type LongestLag = {readonly since: number; readonly milliseconds: number; readonly before: number};

/** The lateness of one event loop. Times are milliseconds of the monotonic clock. */
export class LoopLag {
	/** `lateMilliseconds` is the lag from which the loop counts as late. */
	static create(lateMilliseconds: number, now: number): LoopLag {
		return new LoopLag({lateMilliseconds, tickAt: now, previousTickAt: now, hasRead: false, smoothed: 0, wasLate: false, longest: {since: now, milliseconds: 0, before: 0}});
	}

	readonly #state: LagState;

	private constructor(state: LagState) {
		this.#state = state;
	}

	/** The timer has run. */
	tick(now: number): LoopLag {
		const {lateMilliseconds, tickAt, smoothed, wasLate, longest} = this.#state;
		const sample = Math.max(0, now - tickAt - lagSampleMilliseconds);
		const weight = sample > smoothed ? riseShare : 1 - Math.exp((tickAt - now) / fallMilliseconds);
		const lag = smoothed + ((sample - smoothed) * weight);
		const isLate = lag >= lateMilliseconds * (wasLate ? inTimeShare : 1);
		return new LoopLag({lateMilliseconds, tickAt: now, previousTickAt: tickAt, hasRead: false, smoothed: lag, wasLate: isLate, longest: longestAfter(longest, sample, now)});
	}

	/** The turn in which the timer ran has read the sockets. */
	read(): LoopLag {
		return new LoopLag({...this.#state, hasRead: true});
	}

	/** The lag at a moment, also within a turn that is late by itself; 0 while the loop is in time. */
	millisecondsAt(now: number): number {
		const {lateMilliseconds, smoothed, wasLate} = this.#state;
		const lag = Math.max(smoothed, this.#pending(now));
		return wasLate || lag >= lateMilliseconds ? lag : 0;
	}

	/** The longest lag of the last seconds, by which the next turn may be late; 0 while no turn was. */
	longestMillisecondsAt(now: number): number {
		const {lateMilliseconds, longest} = this.#state;
		const lag = Math.max(longest.milliseconds, longest.before, this.#pending(now));
		return lag >= lateMilliseconds ? lag : 0;
	}

	/**
	 * The earliest moment at which what is read now can have arrived; `now` while the loop is in time. Each turn runs due timers and then
	 * reads the sockets: what the turn before had not read arrived after the timer's run before the last one. The turn of that last run has read what
	 * lay there then, so that what a later turn reads arrived after it.
	 */
	arrivalOf(now: number): number {
		if (this.millisecondsAt(now) === 0) {
			return now;
		}

		const {tickAt, previousTickAt, hasRead} = this.#state;
		const wasTickLate = tickAt - previousTickAt >= 2 * lagSampleMilliseconds;
		const isLate = this.#pending(now) >= lagSampleMilliseconds;
		if (hasRead) {
			return isLate ? tickAt : now;
		}

		return wasTickLate || isLate ? previousTickAt : now;
	}

	/**
	 * The earliest moment at which the first request of a connection can have arrived that is read now. A connection is accepted in one turn
	 * and read in the next, and its request may have come as soon as it was opened: `openedAt` is `arrivalOf` at its acceptance at `acceptedAt`.
	 */
	firstArrivalOf({acceptedAt, openedAt}: ConnectionTimes, now: number): number {
		const arrival = this.arrivalOf(now);
		return openedAt < acceptedAt && acceptedAt >= this.#state.previousTickAt ? Math.min(arrival, openedAt) : arrival;
	}

	#pending(now: number): number {
		return Math.max(0, now - this.#state.tickAt - lagSampleMilliseconds);
	}
}

function longestAfter({since, milliseconds, before}: LongestLag, sample: number, now: number): LongestLag {
	return now - since < longestSpanMilliseconds
		? {since, milliseconds: Math.max(milliseconds, sample), before}
		: {since: now, milliseconds: sample, before: milliseconds};
}
