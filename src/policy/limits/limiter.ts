/**
 * Enforces an entry's share of one class's fleet-wide limits.
 *
 * Load pattern: a class that sends more than its limits, in bursts. Its share is the lease while one
 * is valid. If no allocator is reachable, a share of limit/N keeps the sum within the limit: with an uneven
 * load balancer the class then gets less than its limit, but never more.
 */
import {createBucket, millisecondsUntil, refill, spend, type Bucket} from './bucket.js';
import {allocatorSettings} from './allocator.js';
import {type Demand, type Lease, type LimitKind, type Limits} from './types.js';

/** This entry's position among the live ones, in an order on which all agree: `position` is from 0 to `entries` - 1. */
export type FleetPosition = {readonly entries: number; readonly position: number};

/** An entry's state for one class. Times are milliseconds. */
export type LimiterState = {
	readonly requests: Bucket;
	readonly tokens: Bucket;
	readonly running: number;
	/** Smoothed rates for the next report. */
	readonly demand: Demand;
	/** Since the last report: requests that arrived, tokens that were used, and requests refused for concurrency. */
	readonly sinceReport: {readonly requests: number; readonly tokens: number; readonly refused: number; readonly since: number};
	readonly lease?: Lease & {readonly expiresAt: number};
	readonly lastUsedAt: number;
};

/** Whether a request is admitted, or which limit refuses it and when a retry may succeed. */
export type LimiterDecision
	= | {readonly type: 'admitted'}
		| {readonly type: 'limited'; readonly limit: LimitKind; readonly retryAfterMilliseconds: number};

/** Weight of an interval with falling demand in the average; rising demand counts at once, so that a burst is served soon. */
const smoothingFactor = 0.5;
/** It is unknown when a concurrency limit will have room again; a second is long compared with the time of most responses' tokens. */
const concurrencyRetryMilliseconds = 1000;
const millisecondsPerSecond = 1000;

type LimitContext = {readonly limits: Limits; readonly fleetPosition: FleetPosition};

/** The state of an entry that has not seen the class before. */
export function createLimiter({limits, fleetPosition: standing}: LimitContext, now: number): LimiterState {
	const share = evenShare(limits, standing);
	return {
		requests: {...createBucket(share.requestsPerSecond, now), level: Math.min(1, share.requestsPerSecond)},
		tokens: {...createBucket(share.tokensPerSecond, now), level: Math.min(1, share.tokensPerSecond)},
		running: 0,
		demand: {requestsPerSecond: 0, tokensPerSecond: 0, concurrency: 0, running: 0},
		sinceReport: {requests: 0, tokens: 0, refused: 0, since: now},
		lastUsedAt: now,
	};
}

/** Decides on one request; `promptTokens` are spent at once, those of the response as they arrive. */
export function admit(state: LimiterState, context: LimitContext & {promptTokens: number}, now: number): {state: LimiterState; decision: LimiterDecision} {
	const share = shareOf(state, context, now);
	const requests = refill(state.requests, share.requestsPerSecond, now);
	const tokens = refill(state.tokens, share.tokensPerSecond, now);
	const sinceReport = {...state.sinceReport, requests: state.sinceReport.requests + 1};
	const counted = {...state, requests, tokens, sinceReport, lastUsedAt: now};
	if (context.limits.concurrency !== undefined && state.running >= share.concurrency) {
		return {state: {...counted, sinceReport: {...sinceReport, refused: sinceReport.refused + 1}}, decision: createRefusal('concurrency', concurrencyRetryMilliseconds)};
	}

	if (context.limits.requestsPerSecond !== undefined && requests.level < 1) {
		return {state: counted, decision: createRefusal('requests', millisecondsUntil(requests, 1, share.requestsPerSecond))};
	}

	if (context.limits.tokensPerSecond !== undefined && tokens.level <= 0) {
		const refused = {...counted, sinceReport: {...sinceReport, tokens: sinceReport.tokens + context.promptTokens}};
		return {state: refused, decision: createRefusal('tokens', millisecondsUntil(tokens, 1, share.tokensPerSecond))};
	}

	const admitted = {...counted, requests: spend(requests, 1), running: state.running + 1};
	return {state: spendTokens(admitted, context.promptTokens), decision: {type: 'admitted'}};
}

/** Spends tokens that an admitted request used; the bucket may become negative, and later requests are refused until it is refilled. */
export function spendTokens(state: LimiterState, count: number): LimiterState {
	return {...state, tokens: spend(state.tokens, count), sinceReport: {...state.sinceReport, tokens: state.sinceReport.tokens + count}};
}

/** Records that an admitted request has ended. */
export function finish(state: LimiterState, now: number): LimiterState {
	return {...state, running: state.running - 1, lastUsedAt: now};
}

/**
 * The demand to report now, and the state from which the next interval counts. A report that is
 * requested early does not end its interval: two requests in fifty milliseconds give no usable rate.
 */
export function createReport(state: LimiterState, now: number): {state: LimiterState; demand: Demand} {
	const elapsed = now - state.sinceReport.since;
	const isFullInterval = elapsed >= reportMilliseconds;
	const seconds = Math.max(elapsed, reportMilliseconds) / millisecondsPerSecond;
	const smooth = (previous: number, measured: number): number => Math.max(measured, isFullInterval ? previous + (smoothingFactor * (measured - previous)) : previous);
	const demand = {
		requestsPerSecond: smooth(state.demand.requestsPerSecond, state.sinceReport.requests / seconds),
		tokensPerSecond: smooth(state.demand.tokensPerSecond, state.sinceReport.tokens / seconds),
		concurrency: smooth(state.demand.concurrency, state.running + state.sinceReport.refused),
		running: state.running,
	};
	const sinceReport = isFullInterval ? {requests: 0, tokens: 0, refused: 0, since: now} : state.sinceReport;
	return {state: {...state, demand, sinceReport}, demand};
}

/** Applies a lease that the allocator granted. */
export function applyLease(state: LimiterState, context: LimitContext, lease: Lease, now: number): LimiterState {
	const previousShare = shareOf(state, context, now);
	return {
		...state,
		requests: refill(state.requests, previousShare.requestsPerSecond, now),
		tokens: refill(state.tokens, previousShare.tokensPerSecond, now),
		lease: {...lease, expiresAt: now + lease.milliseconds},
	};
}

/** The minimum interval between regular reports; a lease is renewed when half of it is over. */
const reportMilliseconds = 500;
/** How soon an entry that would have to refuse requests may report again while leases are short. */
const urgentReportMilliseconds = 50;

/** How long after a report the next one is due, in milliseconds; sooner (`isUrgent`) if a request would be refused otherwise. */
export function reportIntervalMilliseconds(state: LimiterState, isUrgent: boolean): number {
	const lease = state.lease?.milliseconds ?? 0;
	if (isUrgent) {
		return lease <= 2 * reportMilliseconds || lease === allocatorSettings.quietLeaseMilliseconds ? urgentReportMilliseconds : lease / 4;
	}

	return Math.max(reportMilliseconds, lease / 2);
}

/** True if the entry has no valid lease and has to use its even share. */
export function lacksLease(state: LimiterState, now: number): boolean {
	return state.lease === undefined || state.lease.expiresAt <= now;
}

type Share = Omit<Lease, 'milliseconds'>;

function shareOf(state: LimiterState, context: LimitContext, now: number): Share {
	return state.lease && state.lease.expiresAt > now ? state.lease : evenShare(context.limits, context.fleetPosition);
}

/** Limit/N; the remainder of a concurrency limit goes to the entries at the first positions. */
export function evenShare(limits: Limits, {entries, position}: FleetPosition): Share {
	const count = Math.max(entries, 1);
	const concurrency = limits.concurrency ?? Number.MAX_SAFE_INTEGER;
	return {
		requestsPerSecond: (limits.requestsPerSecond ?? Number.MAX_SAFE_INTEGER) / count,
		tokensPerSecond: (limits.tokensPerSecond ?? Number.MAX_SAFE_INTEGER) / count,
		concurrency: Math.floor(concurrency / count) + (position < concurrency % count ? 1 : 0),
	};
}

function createRefusal(limit: LimitKind, retryAfterMilliseconds: number): LimiterDecision {
	return {type: 'limited', limit, retryAfterMilliseconds: Math.ceil(Math.min(retryAfterMilliseconds, 60_000))};
}
