/**
 * Predicts how long a request will wait in the queue. Load pattern: demand above the capacity of the endpoints. If a
 * request is not placed before its time is over, its wait was useless, and the callers of all such requests come back
 * together. Each request is therefore checked on arrival for whether it can still start in time: by the work queued
 * ahead of it, at the rate at which this instance has recently placed work, or at its equal share of the capacity of
 * the endpoints, whichever is more.
 */
import {type Candidate} from './demand.js';

/**
 * Bounds of the time after which a refused caller is told to come back: a caller waits for no more than a third of the
 * time it has.
 */
const retryAfterBounds = {low: 150, high: 2000};
/** Jitter as a share of the wait, in both directions, so that callers refused together come back at different times. */
const retryJitterShare = 0.25;
/** Share of prompt tokens that engines are assumed to prefill before the first placement. */
const initialPrefillShare = 0.6;
/** Weight of one placement in that share: about the last fifty count. */
const prefillShareWeight = 0.02;

/** Requests of a service that are queued ahead of one, and their work. */
export type QueuedAhead = {readonly count: number; readonly work: number};

/** Capacity of the endpoints of a service, and recent rates of this instance. */
export type Capacity = {
	readonly candidates: readonly Candidate[];
	/** Instances that share the endpoints. */
	readonly instances: number;
	readonly tokensPerMillisecond: number;
	/** Share of prompt tokens that engines have to prefill, since they are not cached. */
	readonly prefillShare: number;
	/** Work that this instance has recently placed, per millisecond. */
	readonly placedWorkRate: number;
	/** Work for which the engines' memory becomes free, per millisecond; absent while it has room. */
	readonly memoryRate?: number | undefined;
	/** Service time of a request at a plain service. */
	readonly serviceTimeMilliseconds: number;
};

/**
 * Expected time until the requests ahead are placed. Before any request had to wait, the instance's own rate reflects
 * demand, not capacity; the equal share is therefore the lower limit.
 */
export function expectedQueueMilliseconds({count, work}: QueuedAhead, {candidates, instances, tokensPerMillisecond, prefillShare, placedWorkRate, memoryRate = Infinity, serviceTimeMilliseconds}: Capacity): number {
	if (candidates[0]?.isEngine === true) {
		const equalShareRate = tokensPerMillisecond / prefillShare * candidates.length / instances;
		return work / Math.max(Math.min(equalShareRate, memoryRate / instances), placedWorkRate);
	}

	const slots = candidates.reduce((sum, candidate) => sum + candidate.slots, 0);
	return count * serviceTimeMilliseconds / slots * instances;
}

/** Time after which a refused caller should come back, with jitter from `draw`, a random number from 0 to 1. */
export function retryAfter(milliseconds: number, draw: number): number {
	const jittered = milliseconds * (1 - retryJitterShare + (2 * retryJitterShare * draw));
	return Math.min(retryAfterBounds.high, Math.max(retryAfterBounds.low, jittered));
}

/** Share of prompt tokens that the engines of each service had to prefill, averaged over recent placements. */
export class PrefillShares {
	static create(): PrefillShares {
		return new PrefillShares();
	}

	readonly #shares = new Map<string, number>();

	of(service: string): number {
		return this.#shares.get(service) ?? initialPrefillShare;
	}

	record(service: string, share: number): void {
		const before = this.of(service);
		this.#shares.set(service, before + ((share - before) * prefillShareWeight));
	}
}
