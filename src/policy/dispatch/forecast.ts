/**
 * Load pattern: demand above what the endpoints can do. Who waits until its time is over has waited in vain, and all come
 * back together. Whether a request can still be started in time is judged as soon as it comes: by those ahead of it, at the rate at which
 * this instance has placed work lately, or at its equal part of what the endpoints can do, whichever is more.
 */
import {type Candidate} from './demand.js';

/** A refused caller comes back no sooner, and no later: callers honour a third of the time they have. */
const retryAfterBounds = {low: 150, high: 2000};
/** Part of a wait by which callers that are refused together come back apart, either way. */
const retrySpread = 0.25;
/** Until anything was placed: the part of their prompts that engines still have to read. */
const firstUnreadShare = 0.6;
/** Weight of one more placing in that part: the last fifty count. */
const unreadShareWeight = 0.02;

/** Those of a service that come before one. */
export type Ahead = {readonly count: number; readonly work: number};

/** What a service's endpoints and this instance can do. */
export type Capacity = {
	readonly candidates: readonly Candidate[];
	/** Instances that share the endpoints. */
	readonly instances: number;
	readonly tokensPerMillisecond: number;
	/** The part of their prompts that engines still have to read. */
	readonly prefillShare: number;
	/** Work that this instance has placed lately, for each millisecond. */
	readonly startedWorkRate: number;
	/** How long a plain service works on a request. */
	readonly serviceTimeMilliseconds: number;
};

/** How long those ahead will take to have their places. Before anything waited the own rate says nothing. */
export function expectedQueueMilliseconds({count, work}: Ahead, {candidates, instances, tokensPerMillisecond, prefillShare: unreadShare, startedWorkRate, serviceTimeMilliseconds: workMilliseconds}: Capacity): number {
	if (candidates[0]?.isEngine === true) {
		const equalPart = tokensPerMillisecond / unreadShare * candidates.length / instances;
		return work / Math.max(equalPart, startedWorkRate);
	}

	const slots = candidates.reduce((sum, candidate) => sum + candidate.slots, 0);
	return count * workMilliseconds / slots * instances;
}

/** When a refused caller is to come back, for a draw from 0 to 1. */
export function retryAfter(milliseconds: number, draw: number): number {
	const spread = milliseconds * (1 - retrySpread + (2 * retrySpread * draw));
	return Math.min(retryAfterBounds.high, Math.max(retryAfterBounds.low, spread));
}

/** The part of their prompts that a service's engines had to read, of the last ones placed. */
export class PrefillShares {
	static create(): PrefillShares {
		return new PrefillShares();
	}

	readonly #shares = new Map<string, number>();

	of(service: string): number {
		return this.#shares.get(service) ?? firstUnreadShare;
	}

	record(service: string, share: number): void {
		const before = this.of(service);
		this.#shares.set(service, before + ((share - before) * unreadShareWeight));
	}
}
