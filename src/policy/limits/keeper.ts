/**
 * How a keeper divides a class's limits among the entries that see its traffic.
 *
 * Load pattern: a balancer that sends most of a class to few entries, and shifts. Without a keeper
 * each entry gets limit/N, and a class whose requests meet one entry gets a fraction of what it is
 * owed; a counter in a store would need a store. A keeper leases shares by demand instead, and never
 * more in sum than the limit, counting what it leased before and has not run out.
 */
import {type Demand, type Lease, type Limits} from './types.js';

/** A share counts as used until it runs out here, even if its holder is gone. */
type Holding = {readonly lease: Lease; readonly demand: Demand; readonly until: number};

/** What a keeper knows of one class: who holds what. */
export type AllocatorState = ReadonlyMap<string, Holding>;

export type KeeperSettings = {
	/** A share's time while the class is near its limit: how long a shift of traffic may go unnoticed. */
	readonly leaseMilliseconds: number;
	/** A share's time while less than half of the limit is wanted: fewer reports where nothing is scarce. */
	readonly quietLeaseMilliseconds: number;
};

/** A second bounds over- and undershoot after a shift; five seconds cut the reports of quiet classes to a fifth. */
export const keeperSettings: KeeperSettings = {leaseMilliseconds: 1000, quietLeaseMilliseconds: 5000};

/** With hundreds of holders leases last longer, so that one class asks no more than 200 reports a second of its keeper. */
const millisecondsPerHolder = 10;
/** Part of the limit above which a class counts as scarce. */
const scarceShare = 0.5;
/**
 * A holder's time starts when the answer reaches it; the keeper counts the share a little longer, so
 * that a slow answer doesn't let two holders use the same share.
 */
export const travelMilliseconds = 200;

/** A keeper that has leased nothing. */
export function createAllocator(): AllocatorState {
	return new Map();
}

/** Takes an entry's report and leases it its share of the limits. */
export function grantLease(state: AllocatorState, request: {holder: string; demand: Demand; limits: Limits}, now: number, settings = keeperSettings): {state: AllocatorState; lease: Lease} {
	const {holder, demand, limits} = request;
	const others = [...state].filter(([name, holding]) => name !== holder && holding.until > now);
	const holdings = others.map(([, holding]) => holding);
	const divide = (name: Dimension, limit: number | undefined): number => limit === undefined ? Number.MAX_SAFE_INTEGER : divideLimit(name, limit, demand, holdings);
	const requestsPerSecond = divide('requestsPerSecond', limits.requestsPerSecond);
	const tokensPerSecond = divide('tokensPerSecond', limits.tokensPerSecond);
	const concurrency = Math.floor(divide('concurrency', limits.concurrency));
	const scarceMilliseconds = Math.max(settings.leaseMilliseconds, (holdings.length + 1) * millisecondsPerHolder);
	const milliseconds = isScarce(demand, holdings, limits) ? scarceMilliseconds : Math.max(scarceMilliseconds, settings.quietLeaseMilliseconds);
	const lease = {requestsPerSecond, tokensPerSecond, concurrency, milliseconds};
	const until = now + milliseconds + travelMilliseconds;
	return {state: new Map([...others, [holder, {lease, demand, until}]]), lease};
}

type Dimension = 'requestsPerSecond' | 'tokensPerSecond' | 'concurrency';

/**
 * In proportion to demand, so that a request's chance is the same at every entry. Where less than
 * half is wanted, twice the demand, and for an entry that wants little an even part of a quarter: it
 * may grow until its next report, and the rest stays free for where the balancer turns next.
 */
function divideLimit(name: Dimension, limit: number, demand: Demand, others: readonly Holding[]): number {
	const wanted = wantedOf(name, demand, limit);
	const total = wanted + sum(others.map(holding => wantedOf(name, holding.demand, limit)));
	const proportional = limit * wanted / total;
	const fair = total >= limit ? proportional : Math.max(Math.min(proportional, 2 * wanted), limit / 4 / (others.length + 1));
	const free = limit - sum(others.map(holding => heldOf(name, holding)));
	const share = name === 'concurrency' ? Math.max(Math.round(fair), demand.running) : fair;
	return Math.max(0, Math.min(share, free));
}

/** Nobody is taken to want nothing: a share of zero would keep an entry from showing its demand. */
function wantedOf(name: Dimension, demand: Demand, limit: number): number {
	return Math.max(name === 'concurrency' ? Math.max(demand.concurrency, demand.running) : demand[name], limit / 1000);
}

function heldOf(name: Dimension, {lease, demand}: Holding): number {
	return name === 'concurrency' ? Math.max(lease.concurrency, demand.running) : lease[name];
}

function isScarce(demand: Demand, others: readonly Holding[], limits: Limits): boolean {
	return (['requestsPerSecond', 'tokensPerSecond', 'concurrency'] as const).some(name => {
		const limit = limits[name];
		return limit !== undefined && sum([demand, ...others.map(holding => holding.demand)].map(each => wantedOf(name, each, limit))) > limit * scarceShare;
	});
}

function sum(values: readonly number[]): number {
	return values.reduce((total, value) => total + value, 0);
}
