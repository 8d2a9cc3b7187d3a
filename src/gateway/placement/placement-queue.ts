import {type Candidate, type MemoryShortage, expectedQueueMilliseconds, type LoadTracker, retryAfter, PrefillShares, type Wait, WaitingQueue} from '../../policy/dispatch/index.js';
import {type FleetView, visibleRequestShare} from '../../policy/sharing/index.js';
import {compareUrgency} from '../../routing/index.js';
import {type WaitEstimate, RefusalReason, type PlacementRequest} from './decision.js';
import {type EndpointPool} from './endpoint-pool.js';
import {type GroupWait} from './group-wait.js';
import {type RoomClaims} from './room-claims.js';

export type PlacementQueueOptions = {
	readonly loadTracker: LoadTracker;
	readonly endpoints: EndpointPool;
	readonly random: () => number;
	readonly view: () => FleetView;
	readonly roomClaims: RoomClaims;
	/** Called when a request is added to the queue. */
	readonly onWaiting: () => void;
};

/** A queued request is searched for again after this share of its estimated wait, but not earlier or later than these bounds. */
const searchDelay = {share: 0.5, leastMilliseconds: 8, mostMilliseconds: 60};
/** Limit of the queue: with the largest usual prompts as bodies it takes a tenth of a small instance's memory. */
const maxQueuedRequests = 1500;
/** Retry delay where the time of the next free slot is unknown. A new registration reaches all instances within this time. */
export const unknownRetryMilliseconds = 700;

type RefusalDetails = {readonly milliseconds: number; readonly candidates: number; readonly foreseen?: WaitEstimate; readonly memory?: MemoryShortage | undefined};

/** Queue of requests that wait for placement. A request that can't be started in time is refused at once. */
export class PlacementQueue {
	static create(options: PlacementQueueOptions): PlacementQueue {
		return new PlacementQueue(options);
	}

	readonly #options: PlacementQueueOptions;
	readonly #queue = WaitingQueue.create();
	readonly #requests = new Map<string, PlacementRequest>();
	readonly #prefillShares = PrefillShares.create();

	private constructor(options: PlacementQueueOptions) {
		this.#options = options;
	}

	get size(): number {
		return this.#queue.size;
	}

	get requests(): Iterable<PlacementRequest> {
		return this.#requests.values();
	}

	has(id: string): boolean {
		return this.#requests.has(id);
	}

	/** Queued requests in the order in which a scan tries to place them. */
	ordered(now: number): PlacementRequest[] {
		const ordered: PlacementRequest[] = [];
		for (const {id} of this.#queue.ordered(now)) {
			ordered.push(this.#requests.get(id)!);
		}

		return ordered;
	}

	/**
	 * Endpoints that queued requests of at least the same urgency wait for: a later request must not take a slot that becomes
	 * free there.
	 */
	endpointsAwaitedBefore({urgency}: PlacementRequest): ReadonlySet<string> {
		const awaited = new Set<string>();
		for (const waiting of this.#requests.values()) {
			if (compareUrgency(waiting.urgency, urgency) <= 0 && waiting.waitsFor !== undefined) {
				awaited.add(waiting.waitsFor.endpoint);
			}
		}

		return awaited;
	}

	/** Removes a request, for example because its caller disconnected or its deadline passed. */
	remove(id: string): void {
		this.#queue.remove(id);
		this.#requests.delete(id);
		this.#options.roomClaims.release(id);
	}

	/** Records the placement of a request and the prefill that it needs. */
	recordPlacement(request: PlacementRequest, prefillTokens: number, now: number): void {
		this.remove(request.id);
		this.#queue.charge(request, now);
		this.#prefillShares.record(request.demand.service, prefillTokens / request.work);
	}

	/** Refuses requests that can no longer be started in time. */
	expire(now: number): void {
		for (const {id} of this.#queue.expired(now)) {
			this.refuse(this.#requests.get(id)!, RefusalReason.tooLate, {milliseconds: unknownRetryMilliseconds, candidates: 0});
		}
	}

	/**
	 * Queues a request after a search; returns true if it was refused instead, because it can't be started in time or the
	 * queue is full.
	 */
	enqueue(request: PlacementRequest, {endpoint, milliseconds, memory}: Wait, candidates: readonly Candidate[]): boolean {
		const now = performance.now();
		const isRefused = this.#admit(request, {now, candidates, foreseen: this.#estimateWait(request, {endpointMilliseconds: milliseconds, memory, candidates, now}), memory});
		if (!isRefused) {
			request.waitsFor = {endpoint, until: now + Math.min(searchDelay.mostMilliseconds, Math.max(searchDelay.leastMilliseconds, milliseconds * searchDelay.share))};
		}

		return isRefused;
	}

	/**
	 * Queues a request without a search of its own, by the wait that another request of its group has found. Returns true if
	 * it was refused instead.
	 */
	enqueueWithGroup(request: PlacementRequest, {milliseconds, memory}: GroupWait, now: number): boolean {
		request.memory = memory;
		const candidates = this.#options.endpoints.candidatesOf(request.service);
		return this.#admit(request, {now, candidates, foreseen: this.#estimateWait(request, {endpointMilliseconds: milliseconds, memory, candidates, now}), memory});
	}

	refuse(request: PlacementRequest, reason: RefusalReason, {milliseconds, candidates, foreseen, memory}: RefusalDetails): void {
		this.remove(request.id);
		const retryAfterMilliseconds = retryAfter(milliseconds, this.#options.random());
		request.onDecision({type: 'refused', reason, retryAfterMilliseconds, candidates, ahead: this.#queue.ahead(request.service, request.urgency).count, waiting: this.#queue.size, foreseen, memory});
	}

	/** Queues the request unless it can't be started in time or the queue is full; returns true if it was refused. */
	#admit(request: PlacementRequest, {now, candidates, foreseen, memory}: {now: number; candidates: readonly Candidate[]; foreseen: WaitEstimate; memory?: MemoryShortage | undefined}): boolean {
		const expected = foreseen.endpoint + foreseen.line;
		if (expected > foreseen.left) {
			this.refuse(request, memory === undefined ? RefusalReason.tooLate : RefusalReason.memoryFull, {milliseconds: expected, candidates: candidates.length, foreseen, memory});
			return true;
		}

		if (this.#requests.has(request.id)) {
			return false;
		}

		if (this.#queue.size >= maxQueuedRequests && !this.#evictLessUrgent(request, now)) {
			this.refuse(request, RefusalReason.lineFull, {milliseconds: expected, candidates: candidates.length, foreseen});
			return true;
		}

		this.#requests.set(request.id, request);
		this.#queue.add(request);
		this.#options.onWaiting();
		return false;
	}

	/**
	 * If the queue contains less urgent requests, refuses the one of the least urgent that was queued last, and returns true. Without
	 * this, a full queue would refuse a request that is more urgent than all queued ones and would be placed next. Among equally
	 * urgent requests the earlier ones stay.
	 */
	#evictLessUrgent({urgency}: PlacementRequest, now: number): boolean {
		const last = this.#queue.last();
		const evicted = last === undefined || compareUrgency(last.urgency, urgency) <= 0 ? undefined : this.#requests.get(last.id);
		if (evicted === undefined) {
			return false;
		}

		const candidates = this.#options.endpoints.candidatesOf(evicted.service);
		this.refuse(evicted, RefusalReason.lineFull, {milliseconds: this.#queueMilliseconds(evicted, {candidates, now}), candidates: candidates.length});
		return true;
	}

	#estimateWait(request: PlacementRequest, {endpointMilliseconds, memory, candidates, now}: {endpointMilliseconds: number; memory: MemoryShortage | undefined; candidates: readonly Candidate[]; now: number}): WaitEstimate {
		const memoryRate = memory === undefined ? undefined : this.#memoryRate(request.service, candidates);
		return {endpoint: endpointMilliseconds, line: this.#queueMilliseconds(request, {candidates, memoryRate, now}), left: request.lastStartAt - now};
	}

	/** Work for which the engines' memory becomes free, per millisecond: what they run now, by the time for which it stays there. */
	#memoryRate(service: string, candidates: readonly Candidate[]): number | undefined {
		const {loadTracker, view} = this.#options;
		const residenceMilliseconds = loadTracker.held.generationTimes.residenceMilliseconds(service);
		const requestedTokens = candidates.reduce((sum, {id}) => sum + loadTracker.held.requestedTokens(id), 0);
		return residenceMilliseconds === undefined ? undefined : requestedTokens / visibleRequestShare(view()) / residenceMilliseconds;
	}

	/**
	 * Where memory is short, the request itself is not ahead of itself: a large one would wait for its own room twice and
	 * be refused while there is time.
	 */
	#queueMilliseconds({id, service, urgency, work}: PlacementRequest, {candidates, memoryRate, now}: {candidates: readonly Candidate[]; memoryRate?: number | undefined; now: number}): number {
		const {loadTracker, view} = this.#options;
		const ahead = this.#queue.ahead(service, urgency);
		if (this.#options.roomClaims.of(id) !== undefined) {
			return 0;
		}

		const isCounted = memoryRate !== undefined && this.#requests.has(id);
		return expectedQueueMilliseconds(isCounted ? {count: ahead.count - 1, work: ahead.work - work} : ahead, {
			candidates,
			instances: view().instances,
			tokensPerMillisecond: loadTracker.prefillSpeed(service).tokensPerMillisecond,
			prefillShare: this.#prefillShares.of(service),
			memoryRate,
			placedWorkRate: this.#queue.placedWorkRate(service, now),
			serviceTimeMilliseconds: loadTracker.serviceTimeMilliseconds(service),
		});
	}
}
