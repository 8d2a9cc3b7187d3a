/**
 * Divides a class's limits among the entries that receive its traffic.
 *
 * Load pattern: a load balancer that sends most requests of a class to few entries, and shifts them over time. Without an allocator
 * each entry gets limit/N, and a class whose requests all arrive at one entry gets a fraction of its
 * limit; a shared counter would need a store. The allocator leases shares by demand instead. The sum of the shares, including
 * earlier leases that have not expired, never exceeds the limit.
 */
import {type Demand, type Lease, type Limits} from './types.js';

/** A lease that was granted. Its share counts as used until it expires here, even if its holder is gone. */
type Grant = {readonly lease: Lease; readonly demand: Demand; readonly until: number};

/** An allocator's state for one class: the grants by the name of their holder. */
export type AllocatorState = ReadonlyMap<string, Grant>;

/** Durations of leases. */
export type AllocatorSettings = {
	/** A lease's duration while the class is near its limit: the time for which a shift of traffic may go unnoticed. */
	readonly leaseMilliseconds: number;
	/** A lease's duration while the demand is less than half of the limit: fewer reports while capacity is not scarce. */
	readonly quietLeaseMilliseconds: number;
};

/** One second bounds over- and undershoot after a shift of traffic; five seconds cut the reports of quiet classes to a fifth. */
export const allocatorSettings: AllocatorSettings = {leaseMilliseconds: 1000, quietLeaseMilliseconds: 5000};

/** With hundreds of holders leases last longer, so that one class causes at most 200 reports a second at its allocator. */
const leaseMillisecondsPerHolder = 10;
/** The part of its limit above which a class's capacity counts as scarce. */
const scarceThreshold = 0.5;
/**
 * A lease starts for its holder when the response arrives there. The allocator counts it for this much longer, so
 * that a slow response doesn't let two holders use the same share.
 */
export const deliveryMarginMilliseconds = 200;

/** An allocator without grants. */
export function createAllocator(): AllocatorState {
	return new Map();
}

/** Processes an entry's demand report and grants it a lease on its share of the limits. */
export function grantLease(state: AllocatorState, request: {holder: string; demand: Demand; limits: Limits}, now: number, settings = allocatorSettings): {state: AllocatorState; lease: Lease} {
	const {holder, demand, limits} = request;
	const others = [...state].filter(([name, grant]) => name !== holder && grant.until > now);
	const otherGrants = others.map(([, grant]) => grant);
	const shareOf = (name: Dimension, limit: number | undefined): number => limit === undefined ? Number.MAX_SAFE_INTEGER : divideLimit(name, limit, demand, otherGrants);
	const requestsPerSecond = shareOf('requestsPerSecond', limits.requestsPerSecond);
	const tokensPerSecond = shareOf('tokensPerSecond', limits.tokensPerSecond);
	const concurrency = Math.floor(shareOf('concurrency', limits.concurrency));
	const scarceMilliseconds = Math.max(settings.leaseMilliseconds, (otherGrants.length + 1) * leaseMillisecondsPerHolder);
	const milliseconds = isScarce(demand, otherGrants, limits) ? scarceMilliseconds : Math.max(scarceMilliseconds, settings.quietLeaseMilliseconds);
	const lease = {requestsPerSecond, tokensPerSecond, concurrency, milliseconds};
	const until = now + milliseconds + deliveryMarginMilliseconds;
	return {state: new Map([...others, [holder, {lease, demand, until}]]), lease};
}

type Dimension = 'requestsPerSecond' | 'tokensPerSecond' | 'concurrency';

/**
 * Shares are proportional to demand, so that a request has the same chance of admission at every entry. While less than
 * half of the limit is in demand, an entry gets twice its demand, and one with little demand at least an even part of a quarter of the
 * limit: its traffic may grow until its next report, and the rest stays free for the entry to which the load balancer shifts next.
 */
function divideLimit(name: Dimension, limit: number, demand: Demand, others: readonly Grant[]): number {
	const ownDemand = demandOf(name, demand, limit);
	const totalDemand = ownDemand + sum(others.map(grant => demandOf(name, grant.demand, limit)));
	const proportional = limit * ownDemand / totalDemand;
	const fairShare = totalDemand >= limit ? proportional : Math.max(Math.min(proportional, 2 * ownDemand), limit / 4 / (others.length + 1));
	const available = limit - sum(others.map(grant => grantedOf(name, grant)));
	const share = name === 'concurrency' ? Math.max(Math.round(fairShare), demand.running) : fairShare;
	return Math.max(0, Math.min(share, available));
}

/** Demand counts as at least a thousandth of the limit: with a share of zero an entry could never show its demand. */
function demandOf(name: Dimension, demand: Demand, limit: number): number {
	return Math.max(name === 'concurrency' ? Math.max(demand.concurrency, demand.running) : demand[name], limit / 1000);
}

function grantedOf(name: Dimension, {lease, demand}: Grant): number {
	return name === 'concurrency' ? Math.max(lease.concurrency, demand.running) : lease[name];
}

function isScarce(demand: Demand, others: readonly Grant[], limits: Limits): boolean {
	return (['requestsPerSecond', 'tokensPerSecond', 'concurrency'] as const).some(name => {
		const limit = limits[name];
		return limit !== undefined && sum([demand, ...others.map(grant => grant.demand)].map(each => demandOf(name, each, limit))) > limit * scarceThreshold;
	});
}

function sum(values: readonly number[]): number {
	return values.reduce((total, value) => total + value, 0);
}
