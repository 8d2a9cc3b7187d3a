/**
 * How long a request waits for its beginning at an instance that gets more than it can begin.
 *
 * Load pattern: twice what an instance can begin, for seconds, of kinds with unlike urgency. What one beginning takes is not seen in any turn of the
 * loop, since the events of all running streams share the turns, so the wait follows from beginnings as they happen. More urgent requests that come
 * meanwhile go first and are counted by their rate; without that a less urgent one would be kept until its time is over.
 */
import {compareByRoute, type UrgencyPair} from '../../routing/index.js';

/** Beginnings and arrivals of about the last second count: a burst shows within its first half second, and one slow turn does not pass for one. */
const windowMilliseconds = 1000;
/** Accepting, reading and refusing take at most this part of the time: a rate that falls because of refusals must not lead to more of them. */
const largestOtherShare = 0.5;
/** Weight of the newest turn in the learned time of one that begins a request: some ten turns show a burst. */
const turnWeight = 0.15;
/** Nothing is foreseen before requests have waited for this long together. */
const leastBusyMilliseconds = 300;

type Rate = {readonly urgency: UrgencyPair; readonly count: number; readonly at: number};

/** Rates of one intake; times are milliseconds of the monotonic clock. */
export class IntakeRates {
	static create(): IntakeRates {
		return new IntakeRates();
	}

	#begun = 0;
	#busyMilliseconds = 0;
	#turnMilliseconds = 0;
	readonly #arrivals = new Map<string, Rate>();

	/** A request was added to those that wait. */
	recordArrival(urgency: UrgencyPair, now: number): void {
		const key = `${urgency.workspace} ${urgency.route}`;
		this.#arrivals.set(key, {urgency, count: countAt(this.#arrivals.get(key), now) + 1, at: now});
	}

	/** A time passed in which requests waited, and so many of them were begun. */
	recordBusy(milliseconds: number, begun: number): void {
		const kept = Math.exp(-milliseconds / windowMilliseconds);
		this.#busyMilliseconds = (this.#busyMilliseconds * kept) + milliseconds;
		this.#begun = (this.#begun * kept) + begun;
	}

	/** A turn took this long in which a request was begun. */
	recordTurn(milliseconds: number): void {
		this.#turnMilliseconds += (milliseconds - this.#turnMilliseconds) * (this.#turnMilliseconds === 0 ? 1 : turnWeight);
	}

	/** Beginnings in a millisecond while requests wait; undefined before it is known. */
	get beginRate(): number | undefined {
		const possible = this.#turnMilliseconds === 0 ? 0 : (1 - largestOtherShare) / this.#turnMilliseconds;
		return this.#busyMilliseconds < leastBusyMilliseconds ? undefined : Math.max(this.#begun / this.#busyMilliseconds, possible);
	}

	/**
	 * The wait of a request of this urgency with so many ahead of it; 0 before it is known. However many more urgent ones come, requests of its
	 * urgency proceed at `leastRate` beginnings in a millisecond.
	 */
	waitMilliseconds(ahead: number, {urgency, leastRate, now}: {urgency: UrgencyPair; leastRate: number; now: number}): number {
		const {beginRate} = this;
		return beginRate === undefined ? 0 : ahead / Math.max(beginRate - this.#moreUrgentRate(urgency, now), leastRate, Number.EPSILON);
	}

	#moreUrgentRate(urgency: UrgencyPair, now: number): number {
		let count = 0;
		for (const rate of this.#arrivals.values()) {
			count += compareByRoute(rate.urgency, urgency) < 0 ? countAt(rate, now) : 0;
		}

		return count / windowMilliseconds;
	}
}

function countAt(rate: Rate | undefined, now: number): number {
	return rate === undefined ? 0 : rate.count * Math.exp((rate.at - now) / windowMilliseconds);
}
