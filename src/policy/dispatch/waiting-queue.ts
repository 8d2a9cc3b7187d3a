import {compareUrgency, type UrgencyPair} from '../../routing/index.js';
import {groupKeyOf} from './scan-results.js';

/**
 * Load pattern: demand above the capacity of the endpoints. In order of arrival, urgent requests would wait behind
 * drafts (requests of low urgency), one workspace's burst would delay the other workspaces, and once the wait is longer
 * than the target, every request would be late. The queue is ordered by urgency, then requests that can still be in
 * time before the others, then by how much of the service each workspace had recently, then by arrival. Every eighth
 * scan starts with the request that has waited longest, so that none starves.
 *
 * A workspace with precedence has it for the requests of all its routes. If it sends many drafts, confirmations
 * (requests of high urgency) of other workspaces would not be placed for as long as these drafts arrive. A request that
 * has used half of its time is therefore at risk, and precedes the requests of every less urgent route of any
 * workspace.
 */
export type QueuedRequest = {
	readonly id: string;
	readonly workspace: string;
	readonly service: string;
	readonly urgency: UrgencyPair;
	/** Requested work, in tokens or another unit. */
	readonly work: number;
	readonly arrivedAt: number;
	/** A later start misses the target. */
	readonly inTimeUntil: number;
	/** After this time the request can't be answered any more. */
	readonly lastStartAt: number;
};

/** Share of a request's time after which it is at risk of not being placed. */
const atRiskShare = 0.5;

/** Whether a request is at risk of not being placed: from then on its route alone decides which others it precedes. */
export function isAtRisk({arrivedAt, lastStartAt}: Pick<QueuedRequest, 'arrivedAt' | 'lastStartAt'>, now: number): boolean {
	return now - arrivedAt > (lastStartAt - arrivedAt) * atRiskShare;
}

/**
 * One scan in this many starts with the request that has waited longest: an eighth keeps urgent requests at nearly
 * their full share and lets the least urgent proceed.
 */
const oldestFirstInterval = 8;
/** Time in which the recorded usage of a workspace falls by half. */
const usageHalfLifeMilliseconds = 4000;
/** Placed work is averaged over about a second: longer than the gaps between long prompts. */
const rateWindowMilliseconds = 1000;

/** Requests of one service and urgency together. */
type QueueGroup = {readonly service: string; readonly urgency: UrgencyPair; readonly count: number; readonly work: number};

/** A request with what its place in a scan depends on. */
type SortEntry = {readonly request: QueuedRequest; readonly isLate: 0 | 1; readonly usage: number};

/** Waiting requests, and the recent usage of each workspace; time is passed in with each call. */
export class WaitingQueue {
	static create(): WaitingQueue {
		return new WaitingQueue();
	}

	readonly #queued = new Map<string, QueuedRequest>();
	/** Count and work of each group, updated whenever a request is added or removed, since every refusal reads them. */
	readonly #groups = new Map<string, QueueGroup>();
	readonly #usage = new Map<string, {work: number; at: number}>();
	readonly #placedWork = new Map<string, {work: number; at: number}>();
	#scanCount = 0;

	get size(): number {
		return this.#queued.size;
	}

	add(waiting: QueuedRequest): void {
		this.remove(waiting.id);
		this.#queued.set(waiting.id, waiting);
		this.#updateGroup(waiting, 1);
	}

	remove(id: string): boolean {
		const waiting = this.#queued.get(id);
		if (waiting === undefined) {
			return false;
		}

		this.#queued.delete(id);
		this.#updateGroup(waiting, -1);
		return true;
	}

	/** Records that a request of a workspace was placed. */
	charge({workspace, service, work}: Pick<QueuedRequest, 'workspace' | 'service' | 'work'>, now: number): void {
		this.#usage.set(workspace, {work: this.#recentUsage(workspace, now) + work, at: now});
		this.#placedWork.set(service, {work: this.#recentlyPlacedWork(service, now) + work, at: now});
	}

	/** Work of a service's requests that were placed recently, per millisecond. */
	placedWorkRate(service: string, now: number): number {
		return this.#recentlyPlacedWork(service, now) / rateWindowMilliseconds;
	}

	/** Requests that can't be started in time any more. */
	expired(now: number): QueuedRequest[] {
		return [...this.#queued.values()].filter(({lastStartAt}) => now > lastStartAt);
	}

	/** The last to arrive of the least urgent requests. */
	last(): QueuedRequest | undefined {
		let last: QueuedRequest | undefined;
		for (const waiting of this.#queued.values()) {
			const order = last === undefined ? 1 : (compareUrgency(waiting.urgency, last.urgency) || waiting.arrivedAt - last.arrivedAt);
			last = order >= 0 ? waiting : last;
		}

		return last;
	}

	/** All requests, in the order in which a scan tries them. */
	ordered(now: number): QueuedRequest[] {
		const all = moveAtRiskForward(this.#sorted(now), now);
		this.#scanCount += 1;
		if (this.#scanCount % oldestFirstInterval === 0 && all.length > 1) {
			const oldest = oldestRequest(all);
			return [oldest, ...all.filter(one => one !== oldest)];
		}

		return [...all];
	}

	/**
	 * Requests of a service that would be tried before one of this urgency: their number and total work. Those of a
	 * less urgent route don't count, of whichever workspace: once the request is at risk, it precedes them.
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

	/** Requests by urgency, chance to be in time, recent usage of their workspace and arrival; what they are compared by is computed once for each. */
	#sorted(now: number): QueuedRequest[] {
		const recentUsage = new Map<string, number>();
		const entries: SortEntry[] = [];
		for (const request of this.#queued.values()) {
			const usage = recentUsage.get(request.workspace) ?? this.#recentUsage(request.workspace, now);
			recentUsage.set(request.workspace, usage);
			entries.push({request, isLate: now > request.inTimeUntil ? 1 : 0, usage});
		}

		return entries.toSorted((left, right) => compareEntries(left, right)).map(({request}) => request);
	}

	/**
	 * Adds one request to its group or removes it; an empty group is deleted, so that the sums of its work don't drift.
	 */
	#updateGroup(waiting: QueuedRequest, change: 1 | -1): void {
		const key = groupKeyOf(waiting);
		const {service, urgency, work} = waiting;
		const group = this.#groups.get(key) ?? {service, urgency, count: 0, work: 0};
		if (group.count + change === 0) {
			this.#groups.delete(key);
		} else {
			this.#groups.set(key, {...group, count: group.count + change, work: group.work + (change * work)});
		}
	}

	#recentlyPlacedWork(service: string, now: number): number {
		const placed = this.#placedWork.get(service);
		return placed === undefined ? 0 : placed.work * Math.exp((placed.at - now) / rateWindowMilliseconds);
	}

	#recentUsage(workspace: string, now: number): number {
		const usage = this.#usage.get(workspace);
		return usage === undefined ? 0 : usage.work * (0.5 ** ((now - usage.at) / usageHalfLifeMilliseconds));
	}
}

function compareEntries(left: SortEntry, right: SortEntry): number {
	return compareUrgency(left.request.urgency, right.request.urgency) || left.isLate - right.isLate || left.usage - right.usage || left.request.arrivedAt - right.request.arrivedAt;
}

function oldestRequest(all: readonly QueuedRequest[]): QueuedRequest {
	let oldest = all[0]!;
	for (const waiting of all) {
		oldest = waiting.arrivedAt < oldest.arrivedAt ? waiting : oldest;
	}

	return oldest;
}

/**
 * Moves requests at risk before the first one of a less urgent route, and none to a later position; those moved keep
 * their order within their route.
 */
function moveAtRiskForward(ordered: readonly QueuedRequest[], now: number): readonly QueuedRequest[] {
	let leastUrgent = -Infinity;
	const moved: QueuedRequest[] = [];
	const others: QueuedRequest[] = [];
	for (const waiting of ordered) {
		const {route} = waiting.urgency;
		(route < leastUrgent && isAtRisk(waiting, now) ? moved : others).push(waiting);
		leastUrgent = Math.max(leastUrgent, route);
	}

	if (moved.length === 0) {
		return ordered;
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
