/**
 * Which request an instance begins next while its event loop is late, and which it gives to other instances.
 *
 * Load pattern: an instance with a small part of a core gets bursts, of long prompts and then of the tightest streams, while others have
 * room. In order of reading, the most urgent request waits behind the long prompts of its turn, each of which takes tens of milliseconds to
 * begin. What can't be begun in a useful share of its target is held until its caller gives up, and its next try finds no time left.
 *
 * While the loop is late, a request waits between its reading and its beginning, and one is begun in each turn, so that hang-ups,
 * deadlines and responses are handled in between. The order is by urgency, then by who can still be in time, then by arrival; every eighth is the one that
 * has waited longest, so that none starves. The wait of each follows from those ahead of it and from how long the last ones took. The least
 * urgent are refused first, and at once, so that their callers' next tries reach other instances while time is left.
 */
import {compareUrgency, type UrgencyPair} from '../../routing/index.js';

/** A request that was read and is not begun yet. */
export type IntakeRequest = {
	readonly id: string;
	readonly route: string;
	readonly urgency: UrgencyPair;
	readonly targetMilliseconds: number;
	readonly arrivedAt: number;
	/** A later start can't be answered any more, or its caller has left by then. */
	readonly lastStartAt: number;
	/** Time that its caller gives it; less than usual if the caller comes back after a refusal. Undefined if the caller names none. */
	readonly givenMilliseconds: number | undefined;
};

/** Why a request is refused, and the wait that was foreseen: another instance can serve it earlier, or this one can't any more. */
export type Judgement = {readonly reason: 'given-away' | 'hopeless'; readonly waitMilliseconds: number; /** For how long requests have been refused now, where that is known. */ readonly overloadedMilliseconds?: number};

export type IntakeStep<Request> = {
	readonly refused: ReadonlyArray<{readonly request: Request; readonly judgement: Judgement}>;
	/** What is begun in this turn. */
	readonly next: Request | undefined;
};

/** The time, the lag of the loop, and whether there are other instances to which callers can go. */
export type Situation = {readonly now: number; readonly lagMilliseconds: number; readonly hasOthers: boolean};

/** A request waits at most this share of its target for its beginning; the rest is the endpoint's. */
const waitShare = 0.5;
/** Every eighth beginning is the longest wait: the most urgent keep nearly their full share, and the least urgent proceed. */
const oldestFirstInterval = 8;
/** Weight of the newest turn in the learned time of one: some ten turns show a burst, and one slow turn does not pass for one. */
const learningWeight = 0.15;
/** A caller that gives less than this share of the longest time seen on its route has spent the rest elsewhere. */
const firstTryShare = 0.95;
/** From this share of arrivals that were refused elsewhere, the others are as late as this instance, and giving away only adds work. */
const allLateShare = 0.3;
/** Weight of the newest arrival in the share of those that were refused elsewhere. */
const arrivalWeight = 0.03;
/** A request that was too late counts for this time after it: less urgent ones are given away until then. */
const pressureMilliseconds = 300;
/** Giving away what is less urgent shows in the lag after this time; then the more urgent one is given away too. */
const reliefMilliseconds = 250;
/** Bounds of the time after which a refused caller comes back: another instance has room now, so it is short, and spread so that they don't come together. */
const retryAfterBounds = {leastMilliseconds: 30, mostMilliseconds: 120};

/** After which time a refused caller comes back; `random` is between 0 and 1. */
export function retryElsewhereAfter(random: number): number {
	const {leastMilliseconds, mostMilliseconds} = retryAfterBounds;
	return leastMilliseconds + ((mostMilliseconds - leastMilliseconds) * random);
}

/** Requests between their reading and their beginning. Times are milliseconds of the monotonic clock. */
export class Intake<Request extends IntakeRequest> {
	/** `givesAway` says whether requests are refused for others that can be begun in time; otherwise a request is refused only once it can't be answered any more. */
	static create<Request extends IntakeRequest>(givesAway = true): Intake<Request> {
		return new Intake<Request>(givesAway);
	}

	readonly #givesAway: boolean;

	#waiting: Request[] = [];
	readonly #longestGiven = new Map<string, number>();
	#beginMilliseconds = 0;
	#begunCount = 0;
	/** The most urgent request that has lately been too late, since when any such has been, and until when it counts. */
	#pressure: {readonly urgency: UrgencyPair; readonly since: number; readonly until: number} | undefined;
	#leastUrgent: UrgencyPair | undefined;
	#refusedElsewhereShare = 0;

	private constructor(givesAway: boolean) {
		this.#givesAway = givesAway;
	}

	get size(): number {
		return this.#waiting.length;
	}

	/** Learned time of a turn in which a request is begun while others wait. */
	get beginMilliseconds(): number {
		return this.#beginMilliseconds;
	}

	/** Whether so many arrivals were refused elsewhere that no other instance has room. */
	get areAllLate(): boolean {
		return this.#refusedElsewhereShare >= allLateShare;
	}

	add(request: Request, _now?: number): void {
		this.#waiting.push(request);
		this.#leastUrgent = this.#leastUrgent === undefined || compareUrgency(request.urgency, this.#leastUrgent) > 0 ? request.urgency : this.#leastUrgent;
		const {route, givenMilliseconds = Infinity} = request;
		const wasElsewhere = this.#wasElsewhere(request);
		if (Number.isFinite(givenMilliseconds)) {
			this.#longestGiven.set(route, Math.max(givenMilliseconds, this.#longestGiven.get(route) ?? 0));
		}

		this.#refusedElsewhereShare += ((wasElsewhere ? 1 : 0) - this.#refusedElsewhereShare) * arrivalWeight;
	}

	remove(id: string): void {
		this.#waiting = this.#waiting.filter(request => request.id !== id);
	}

	/** Records that a turn in which a request was begun, and others waited, took this long. */
	recordTurn(milliseconds: number): void {
		this.#beginMilliseconds += (milliseconds - this.#beginMilliseconds) * (this.#beginMilliseconds === 0 ? 1 : learningWeight);
	}

	/** Why a request that is read now is refused before it is added, if it is. */
	judge(request: IntakeRequest, situation: Situation): Judgement | undefined {
		const ahead = this.#waiting.filter(other => compareUrgency(other.urgency, request.urgency) <= 0).length;
		return this.#judge(request, {...situation, waitMilliseconds: this.#waitMilliseconds(ahead, situation)});
	}

	/** Takes the requests that are refused now, and the one that is begun in this turn. */
	step(situation: Situation): IntakeStep<Request> {
		const {now} = situation;
		const kept: Request[] = [];
		const refused: Array<IntakeStep<Request>['refused'][number]> = [];
		for (const request of this.#ordered(now)) {
			const judgement = this.#judge(request, {...situation, waitMilliseconds: this.#waitMilliseconds(kept.length, situation)});
			if (judgement === undefined) {
				kept.push(request);
			} else {
				refused.push({request, judgement});
			}
		}

		this.#begunCount += 1;
		const position = this.#begunCount % oldestFirstInterval === 0 ? positionOfOldest(kept) : 0;
		const [next] = kept.splice(position, 1);
		this.#waiting = kept;
		return {refused, next};
	}

	/** The wait that a request is judged by, with so many ahead of it. */
	#waitMilliseconds(ahead: number, {lagMilliseconds}: Situation): number {
		return this.#givesAway ? lagMilliseconds + (ahead * this.#beginMilliseconds) : 0;
	}

	#judge(request: IntakeRequest, {now, hasOthers, waitMilliseconds}: Omit<Situation, 'lagMilliseconds'> & {waitMilliseconds: number}): Judgement | undefined {
		const {lastStartAt} = request;
		if (now + waitMilliseconds > lastStartAt) {
			return {reason: 'hopeless', waitMilliseconds};
		}

		if (!this.#givesAway) {
			return undefined;
		}

		const isTooLate = now + waitMilliseconds > inTimeUntil(request);
		const isGivenAway = isTooLate ? this.#isOwnTurn(request, now) : this.#isRelief(request, now);
		return isGivenAway && this.#mayTryElsewhere(request, {now, hasOthers}) ? {reason: 'given-away', waitMilliseconds} : undefined;
	}

	/**
	 * Whether a request that would begin too late is given away. Whatever is less urgent is given away first, and only if that has not helped
	 * for a while, this one.
	 */
	#isOwnTurn({urgency}: IntakeRequest, now: number): boolean {
		const pressure = this.#pressure;
		const isPressed = pressure !== undefined && now < pressure.until && compareUrgency(pressure.urgency, urgency) <= 0;
		this.#pressure = isPressed ? {...pressure, until: now + pressureMilliseconds} : {urgency, since: now, until: now + pressureMilliseconds};
		return compareUrgency(urgency, this.#leastUrgent ?? urgency) >= 0 || (isPressed && now - pressure.since >= reliefMilliseconds);
	}

	/** Whether a request in time is given away for a more urgent one that is not. */
	#isRelief({urgency}: IntakeRequest, now: number): boolean {
		const pressure = this.#pressure;
		return pressure !== undefined && now < pressure.until && compareUrgency(pressure.urgency, urgency) < 0;
	}

	/** Whether its caller has time for another try, has not had one yet, and may find an instance with room. */
	#mayTryElsewhere(request: IntakeRequest, {now, hasOthers}: Pick<Situation, 'now' | 'hasOthers'>): boolean {
		const hasTimeLeft = request.lastStartAt - now >= request.targetMilliseconds + retryAfterBounds.mostMilliseconds;
		return hasOthers && hasTimeLeft && !this.areAllLate && !this.#wasElsewhere(request);
	}

	#wasElsewhere({route, givenMilliseconds = Infinity}: IntakeRequest): boolean {
		return givenMilliseconds < (this.#longestGiven.get(route) ?? 0) * firstTryShare;
	}

	#ordered(now: number): Request[] {
		return this.#waiting.toSorted((left, right) => compareUrgency(left.urgency, right.urgency)
			|| Number(isLate(left, now)) - Number(isLate(right, now))
			|| left.arrivedAt - right.arrivedAt);
	}
}

/** A request that is begun later leaves its endpoint less than the rest of its target. */
export function inTimeUntil({arrivedAt, targetMilliseconds}: IntakeRequest): number {
	return arrivedAt + (targetMilliseconds * waitShare);
}

export function isLate(request: IntakeRequest, now: number): boolean {
	return now > inTimeUntil(request);
}

function positionOfOldest(requests: readonly IntakeRequest[]): number {
	let oldest = 0;
	for (const [position, {arrivedAt}] of requests.entries()) {
		oldest = arrivedAt < requests[oldest]!.arrivedAt ? position : oldest;
	}

	return oldest;
}
