/**
 * Which request an instance begins next, and which it refuses, where it gives nothing away to others.
 *
 * Load pattern: an instance gets two and three times what it can begin, for seconds, of kinds with unlike urgency and patience. Begun in the order of
 * reading, those whose callers wait for the shortest time get nothing, whatever their urgency; kept until their time is over, all are late, and
 * what was begun last has no time left at its endpoint.
 *
 * The order is by the route's urgency, then by the workspace's: who is not begun gets nothing, and that is a matter of the kind of request. Which
 * of those that are begun goes first is the workspace's order in the queue for placement. Among equals who can still be in time goes first, by when that
 * ends, then by arrival. A request is refused as soon as its wait is foreseen to leave it no time, and its caller is told how long the overload may
 * last. While a request is refused, less urgent ones are begun once a second at most: often enough that none starves.
 */
import {compareByRoute, type UrgencyPair} from '../../routing/index.js';
import {inTimeUntil, type IntakeRequest, type IntakeStep, isLate, type Judgement, type Situation} from './intake.js';
import {IntakeRates} from './intake-rates.js';

/** Every eighth beginning is the longest wait: the most urgent keep nearly their full share, and the least urgent proceed. */
const oldestFirstInterval = 8;
/** While more urgent requests are refused, the longest wait is begun once in this time instead. */
const pressedIntervalMilliseconds = 1000;
/** A refusal counts for this time. */
const pressureMilliseconds = 1000;
/** Bounds of the time after which a refused caller comes back, and how far it is spread to both sides, so that callers don't come back together. */
const retryBounds = {leastMilliseconds: 150, mostMilliseconds: 10_000, spread: 0.25};
/** Time between two looks at the waits of all. */
const reviewMilliseconds = 100;

/** At most this part of a request's time is reserved for its endpoint. */
const largestReserveShare = 0.5;

type Pressure = {readonly urgency: UrgencyPair; readonly since: number; readonly until: number};

/** Requests between their reading and their beginning. Times are milliseconds of the monotonic clock. */
export class IntakeQueue<Request extends IntakeRequest> {
	static create<Request extends IntakeRequest>(): IntakeQueue<Request> {
		return new IntakeQueue<Request>();
	}

	readonly #rates = IntakeRates.create();
	#waiting: Request[] = [];
	#begunCount = 0;
	#steppedAt: number | undefined;
	#reviewedAt = -Infinity;
	#oldestBegunAt = -Infinity;
	/** The most urgent request that was lately refused, since when any such was, and until when it counts. */
	#pressure: Pressure | undefined;

	get size(): number {
		return this.#waiting.length;
	}

	add(request: Request, now: number): void {
		this.#steppedAt ??= now;
		this.#waiting.push(request);
		this.#rates.recordArrival(request.urgency, now);
	}

	/** Why a request that is read now is refused before it is added, if it is. */
	judge(request: IntakeRequest, {now}: Pick<Situation, 'now'>): Judgement | undefined {
		return this.#judge(request, this.#waiting.filter(other => compare(other, request, now) <= 0).length, now);
	}

	/** Records that a turn took this long in which a request was begun. */
	recordTurn(milliseconds: number): void {
		this.#rates.recordTurn(milliseconds);
	}

	/** Takes the requests that are refused now, and the one that is begun in this turn. */
	step({now}: Pick<Situation, 'now'>): IntakeStep<Request> {
		const refused = now - this.#reviewedAt < reviewMilliseconds ? this.#takeExpired(now) : this.#review(now);
		const next = this.#takeNext(now);
		if (this.#steppedAt !== undefined) {
			this.#rates.recordBusy(now - this.#steppedAt, next === undefined ? 0 : 1);
		}

		this.#steppedAt = this.#waiting.length === 0 ? undefined : now;
		return {refused, next};
	}

	/** Refuses all whose waits are foreseen to leave them no time. */
	#review(now: number): IntakeStep<Request>['refused'] {
		this.#reviewedAt = now;
		const kept: Request[] = [];
		return this.#refuse(this.#waiting.toSorted((left, right) => compare(left, right, now)), request => {
			const judgement = this.#judge(request, kept.length, now);
			if (judgement === undefined) {
				kept.push(request);
			}

			return judgement;
		});
	}

	#takeExpired(now: number): IntakeStep<Request>['refused'] {
		return this.#waiting.some(({lastStartAt}) => now > lastStartAt) ? this.#refuse(this.#waiting, request => now > request.lastStartAt ? this.#judge(request, 0, now) : undefined) : [];
	}

	#refuse(waiting: readonly Request[], judge: (request: Request) => Judgement | undefined): IntakeStep<Request>['refused'] {
		const refused: Array<IntakeStep<Request>['refused'][number]> = [];
		const kept: Request[] = [];
		for (const request of waiting) {
			const judgement = judge(request);
			if (judgement === undefined) {
				kept.push(request);
			} else {
				refused.push({request, judgement});
			}
		}

		this.#waiting = kept;
		return refused;
	}

	#judge(request: IntakeRequest, ahead: number, now: number): Judgement | undefined {
		const {urgency} = request;
		const waitMilliseconds = this.#rates.waitMilliseconds(ahead, {urgency, leastRate: this.#leastRate(urgency, now), now});
		if (now <= request.lastStartAt && (waitMilliseconds === 0 || now + waitMilliseconds <= usefulUntil(request))) {
			return undefined;
		}

		this.#pressure = pressedBy(urgency, this.#pressing(now), now);
		return {reason: 'hopeless', waitMilliseconds, overloadedMilliseconds: now - this.#pressure.since};
	}

	/** Beginnings in a millisecond that requests of this urgency have at least, by their longest wait. */
	#leastRate(urgency: UrgencyPair, now: number): number {
		const pressing = this.#pressing(now);
		return pressing !== undefined && compareByRoute(pressing.urgency, urgency) < 0 ? 1 / pressedIntervalMilliseconds : (this.#rates.beginRate ?? 0) / oldestFirstInterval;
	}

	#pressing(now: number): Pressure | undefined {
		return this.#pressure !== undefined && now < this.#pressure.until ? this.#pressure : undefined;
	}

	#takeNext(now: number): Request | undefined {
		if (this.#waiting.length === 0) {
			return undefined;
		}

		this.#begunCount += 1;
		const position = this.#begunCount % oldestFirstInterval === 0 ? this.#positionOfOldest(now) : this.#positionOfFirst(now);
		return this.#waiting.splice(position, 1)[0];
	}

	#positionOfFirst(now: number): number {
		let first = 0;
		for (const [position, request] of this.#waiting.entries()) {
			first = compare(request, this.#waiting[first]!, now) < 0 ? position : first;
		}

		return first;
	}

	/** The longest wait; while a request is refused, of those that are as urgent, but for once in an interval. */
	#positionOfOldest(now: number): number {
		const oldest = positionOfOldest(this.#waiting);
		const pressing = this.#pressing(now);
		if (pressing !== undefined && compareByRoute(pressing.urgency, this.#waiting[oldest]!.urgency) < 0 && now - this.#oldestBegunAt < pressedIntervalMilliseconds) {
			return this.#positionOfFirst(now);
		}

		this.#oldestBegunAt = now;
		return oldest;
	}
}

function pressedBy(urgency: UrgencyPair, pressing: Pressure | undefined, now: number): Pressure {
	const until = now + pressureMilliseconds;
	return pressing === undefined ? {urgency, since: now, until} : {urgency: compareByRoute(urgency, pressing.urgency) < 0 ? urgency : pressing.urgency, since: pressing.since, until};
}

/**
 * After which time a refused caller comes back; `random` is between 0 and 1. An overload that has lasted for a time is expected to last as long
 * again: callers that come back sooner are refused once more, and reading them takes the time of those that could be served.
 */
export function retryAfterOverload({waitMilliseconds, overloadedMilliseconds = 0}: Judgement, random: number): number {
	const {leastMilliseconds, mostMilliseconds, spread} = retryBounds;
	const milliseconds = Math.max(waitMilliseconds, overloadedMilliseconds) * (1 - spread + (2 * spread * random));
	return Math.min(mostMilliseconds, Math.max(leastMilliseconds, milliseconds));
}

/** A request that has to wait until later would only take the time of others: its endpoint has no time for it. */
function usefulUntil({arrivedAt, lastStartAt, targetMilliseconds}: IntakeRequest): number {
	return lastStartAt - Math.min(targetMilliseconds, (lastStartAt - arrivedAt) * largestReserveShare);
}

function compare(left: IntakeRequest, right: IntakeRequest, now: number): number {
	const isLeftLate = isLate(left, now);
	const byUrgency = compareByRoute(left.urgency, right.urgency) || Number(isLeftLate) - Number(isLate(right, now));
	return byUrgency || (isLeftLate ? left.arrivedAt - right.arrivedAt : inTimeUntil(left) - inTimeUntil(right));
}

function positionOfOldest(requests: readonly IntakeRequest[]): number {
	let oldest = 0;
	for (const [position, {arrivedAt}] of requests.entries()) {
		oldest = arrivedAt < requests[oldest]!.arrivedAt ? position : oldest;
	}

	return oldest;
}
