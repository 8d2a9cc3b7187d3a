import {compareUrgency, type UrgencyPair} from '../../routing/index.js';
import {groupKeyOf} from './scan-results.js';

/**
 * Load pattern: demand above what the endpoints can do. Served in order of arrival, urgent requests
 * wait behind drafts, one workspace's burst holds up its rivals, and once the wait is longer than the
 * target, everyone is served late. The line is ordered by urgency, then those that can still be in time
 * before the others, then by how much of the service each workspace had lately, then by arrival; every
 * eighth place goes to whoever waited longest, so that nobody starves.
 *
 * A workspace that goes first does so in all its kinds of request. Failure: it sends many drafts, and for as long as these come, others'
 * confirmations get nothing at all. Whoever has used half of its time is therefore at risk, and goes before every less urgent kind, whoever sends it.
 */
export type QueuedRequest = {
	readonly id: string;
	readonly workspace: string;
	readonly service: string;
	readonly urgency: UrgencyPair;
	/** Tokens or other work that it asks for. */
	readonly work: number;
	readonly arrivedAt: number;
	/** Started later than this it misses its target. */
	readonly inTimeUntil: number;
	/** After this it can't be answered any more. */
	readonly lastStartAt: number;
};

/** The part of a request's time after which it is at risk to get nothing. */
const riskShare = 0.5;

/** Whether a request is at risk to get nothing: from then on its kind alone decides whom it goes before. */
export function isAtRisk({arrivedAt, lastStartAt}: Pick<QueuedRequest, 'arrivedAt' | 'lastStartAt'>, now: number): boolean {
	return now - arrivedAt > (lastStartAt - arrivedAt) * riskShare;
}

/** An eighth keeps the urgent at nearly their full share and lets the least urgent move. */
const longestWaitingTurn = 8;
/** What a workspace had is forgotten by half in about this time. */
const memoryMilliseconds = 4000;
/** The work that left the line is averaged over about a second: longer than the gaps between long prompts. */
const rateMilliseconds = 1000;

/** Those of one service and urgency together. */
type Group = {readonly service: string; readonly urgency: UrgencyPair; readonly count: number; readonly work: number};

/** A pure value: who waits, and what each workspace had lately. */
export class WaitingQueue {
	static create(): WaitingQueue {
		return new WaitingQueue();
	}

	readonly #waiting = new Map<string, QueuedRequest>();
	/** How many wait of each group and what they ask for, kept as they come and go: a refusal asks for it again and again. */
	readonly #groups = new Map<string, Group>();
	readonly #had = new Map<string, {work: number; at: number}>();
	readonly #started = new Map<string, {work: number; at: number}>();
	#turn = 0;

	get size(): number {
		return this.#waiting.size;
	}

	add(waiting: QueuedRequest): void {
		this.remove(waiting.id);
		this.#waiting.set(waiting.id, waiting);
		this.#count(waiting, 1);
	}

	remove(id: string): boolean {
		const waiting = this.#waiting.get(id);
		if (waiting === undefined) {
			return false;
		}

		this.#waiting.delete(id);
		this.#count(waiting, -1);
		return true;
	}

	/** A workspace's request was placed. */
	charge({workspace, service, work}: Pick<QueuedRequest, 'workspace' | 'service' | 'work'>, now: number): void {
		this.#had.set(workspace, {work: this.#recentWork(workspace, now) + work, at: now});
		this.#started.set(service, {work: this.#recentlyStarted(service, now) + work, at: now});
	}

	/** Work that a service's requests were placed with lately, for each millisecond. */
	startedWorkRate(service: string, now: number): number {
		return this.#recentlyStarted(service, now) / rateMilliseconds;
	}

	/** Those that can't be started in time any more. */
	expired(now: number): QueuedRequest[] {
		return [...this.#waiting.values()].filter(({lastStartAt}) => now > lastStartAt);
	}

	/** Of the least urgent the one that came last. */
	last(): QueuedRequest | undefined {
		let last: QueuedRequest | undefined;
		for (const waiting of this.#waiting.values()) {
			const order = last === undefined ? 1 : (compareUrgency(waiting.urgency, last.urgency) || waiting.arrivedAt - last.arrivedAt);
			last = order >= 0 ? waiting : last;
		}

		return last;
	}

	/** Everyone, in the order in which they should be tried now. */
	ordered(now: number): QueuedRequest[] {
		const waiting = [...this.#waiting.values()];
		const recent = new Map(waiting.map(({workspace}) => [workspace, this.#recentWork(workspace, now)]));
		waiting.sort((left, right) => compareUrgency(left.urgency, right.urgency)
			|| Number(now > left.inTimeUntil) - Number(now > right.inTimeUntil)
			|| (recent.get(left.workspace) ?? 0) - (recent.get(right.workspace) ?? 0)
			|| left.arrivedAt - right.arrivedAt);
		const all = putAtRiskFirst(waiting, now);
		this.#turn += 1;
		if (this.#turn % longestWaitingTurn === 0 && all.length > 1) {
			const oldest = longestWaiting(all);
			return [oldest, ...all.filter(one => one !== oldest)];
		}

		return [...all];
	}

	/**
	 * What of a service would be tried before one of this urgency: how many, and their work together. A less urgent kind is not, whoever
	 * sends it: it steps back before the request would get nothing.
	 */
	ahead(service: string, urgency: UrgencyPair): {readonly count: number; readonly work: number} {
		let count = 0;
		let work = 0;
		for (const group of this.#groups.values()) {
			if (group.service === service && group.urgency.route <= urgency.route && compareUrgency(group.urgency, urgency) <= 0) {
				count += group.count;
				work += group.work;
			}
		}

		return {count, work};
	}

	/** One more or one less of its group; a group of none is gone, so that sums of its work don't drift. */
	#count(waiting: QueuedRequest, change: 1 | -1): void {
		const key = groupKeyOf(waiting);
		const {service, urgency, work} = waiting;
		const group = this.#groups.get(key) ?? {service, urgency, count: 0, work: 0};
		if (group.count + change === 0) {
			this.#groups.delete(key);
		} else {
			this.#groups.set(key, {...group, count: group.count + change, work: group.work + (change * work)});
		}
	}

	#recentlyStarted(service: string, now: number): number {
		const held = this.#started.get(service);
		return held === undefined ? 0 : held.work * Math.exp((held.at - now) / rateMilliseconds);
	}

	#recentWork(workspace: string, now: number): number {
		const held = this.#had.get(workspace);
		return held === undefined ? 0 : held.work * (0.5 ** ((now - held.at) / memoryMilliseconds));
	}
}

function longestWaiting(all: readonly QueuedRequest[]): QueuedRequest {
	let oldest = all[0]!;
	for (const waiting of all) {
		oldest = waiting.arrivedAt < oldest.arrivedAt ? waiting : oldest;
	}

	return oldest;
}

/** Moves whoever is at risk before the first of a less urgent kind, and nobody back; those moved keep their order among their kind. */
function putAtRiskFirst(all: readonly QueuedRequest[], now: number): readonly QueuedRequest[] {
	let leastUrgent = -Infinity;
	const moved: QueuedRequest[] = [];
	const others: QueuedRequest[] = [];
	for (const waiting of all) {
		const {route} = waiting.urgency;
		(route < leastUrgent && isAtRisk(waiting, now) ? moved : others).push(waiting);
		leastUrgent = Math.max(leastUrgent, route);
	}

	if (moved.length === 0) {
		return all;
	}

	moved.sort((left, right) => left.urgency.route - right.urgency.route);
	const merged: QueuedRequest[] = [];
	let next = 0;
	for (const waiting of others) {
		for (; next < moved.length && moved[next]!.urgency.route < waiting.urgency.route; next++) {
			merged.push(moved[next]!);
		}

		merged.push(waiting);
	}

	return [...merged, ...moved.slice(next)];
}
