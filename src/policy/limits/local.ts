/**
 * An entry's side of one class's fleet-wide limits: admits while its share lasts.
 *
 * Load pattern: a class that sends more than its limits, in bursts. Its share is the lease while one
 * is valid. With no keeper in reach, a share of limit/N keeps the sum within the limit: an uneven
 * balancer then costs a part of what the class is owed, never more than it may use.
 */
import {createBucket, millisecondsUntil, refill, spend, type Bucket} from './bucket.js';
import {keeperSettings} from './keeper.js';
import {type Demand, type Lease, type LimitKind, type Limits} from './types.js';

/** This entry among the live ones, ranked alike by all: `position` is from 0 up to `entries` - 1. */
export type FleetPosition = {readonly entries: number; readonly position: number};

/** What an entry keeps for one class. */
export type LimiterState = {
	readonly requests: Bucket;
	readonly tokens: Bucket;
	readonly running: number;
	/** Smoothed rates, for the next report. */
	readonly demand: Demand;
	/** Since the last report: requests that came, tokens that ran, and requests refused for concurrency. */
	readonly sinceReport: {readonly requests: number; readonly tokens: number; readonly refused: number; readonly since: number};
	readonly lease?: Lease & {readonly until: number};
	readonly lastUsedAt: number;
};

export type LimiterDecision
	= | {readonly type: 'admitted'}
		| {readonly type: 'limited'; readonly limit: LimitKind; readonly retryAfterMilliseconds: number};

/** How much of a quieter interval enters the demand; a busier one counts at once, so that a burst is served soon. */
const demandWeight = 0.5;
/** When a concurrency limit will have room is unknown; a second is long against most answers' tokens. */
const concurrencyRetryMilliseconds = 1000;
const millisecondsPerSecond = 1000;

type Question = {readonly limits: Limits; readonly fleetPosition: FleetPosition};

/** An entry that has not seen the class before. */
export function createLimiter({limits, fleetPosition: standing}: Question, now: number): LimiterState {
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

/** Decides one request; `promptTokens` are paid at once, those of the answer as they come. */
export function admit(state: LimiterState, question: Question & {promptTokens: number}, now: number): {state: LimiterState; decision: LimiterDecision} {
	const share = shareOf(state, question, now);
	const requests = refill(state.requests, share.requestsPerSecond, now);
	const tokens = refill(state.tokens, share.tokensPerSecond, now);
	const seen = {...state.sinceReport, requests: state.sinceReport.requests + 1};
	const counted = {...state, requests, tokens, sinceReport: seen, lastUsedAt: now};
	if (question.limits.concurrency !== undefined && state.running >= share.concurrency) {
		return {state: {...counted, sinceReport: {...seen, refused: seen.refused + 1}}, decision: limited('concurrency', concurrencyRetryMilliseconds)};
	}

	if (question.limits.requestsPerSecond !== undefined && requests.level < 1) {
		return {state: counted, decision: limited('requests', millisecondsUntil(requests, 1, share.requestsPerSecond))};
	}

	if (question.limits.tokensPerSecond !== undefined && tokens.level <= 0) {
		const wanted = {...counted, sinceReport: {...seen, tokens: seen.tokens + question.promptTokens}};
		return {state: wanted, decision: limited('tokens', millisecondsUntil(tokens, 1, share.tokensPerSecond))};
	}

	const admitted = {...counted, requests: spend(requests, 1), running: state.running + 1};
	return {state: spendTokens(admitted, question.promptTokens), decision: {type: 'admitted'}};
}

/** Tokens that an admitted request used; the bucket may go into debt, which later requests wait out. */
export function spendTokens(state: LimiterState, count: number): LimiterState {
	return {...state, tokens: spend(state.tokens, count), sinceReport: {...state.sinceReport, tokens: state.sinceReport.tokens + count}};
}

/** An admitted request has ended. */
export function finish(state: LimiterState, now: number): LimiterState {
	return {...state, running: state.running - 1, lastUsedAt: now};
}

/**
 * The demand to report now, and the state from which the next interval counts. A report that is
 * asked for early does not end its interval: two requests in fifty milliseconds are no rate.
 */
export function createReport(state: LimiterState, now: number): {state: LimiterState; demand: Demand} {
	const elapsed = now - state.sinceReport.since;
	const isWhole = elapsed >= reportMilliseconds;
	const seconds = Math.max(elapsed, reportMilliseconds) / millisecondsPerSecond;
	const follow = (old: number, seen: number): number => Math.max(seen, isWhole ? old + (demandWeight * (seen - old)) : old);
	const demand = {
		requestsPerSecond: follow(state.demand.requestsPerSecond, state.sinceReport.requests / seconds),
		tokensPerSecond: follow(state.demand.tokensPerSecond, state.sinceReport.tokens / seconds),
		concurrency: follow(state.demand.concurrency, state.running + state.sinceReport.refused),
		running: state.running,
	};
	const seen = isWhole ? {requests: 0, tokens: 0, refused: 0, since: now} : state.sinceReport;
	return {state: {...state, demand, sinceReport: seen}, demand};
}

/** Takes a keeper's answer. */
export function applyLease(state: LimiterState, question: Question, lease: Lease, now: number): LimiterState {
	const old = shareOf(state, question, now);
	return {
		...state,
		requests: refill(state.requests, old.requestsPerSecond, now),
		tokens: refill(state.tokens, old.tokensPerSecond, now),
		lease: {...lease, until: now + lease.milliseconds},
	};
}

/** A lease is renewed when half of it is over, and no report follows another sooner than this. */
const reportMilliseconds = 500;
/** How soon an entry that has to refuse may ask for more, while leases are short. */
const urgentMilliseconds = 50;

/** How long after a report the next one is due; sooner if a request would be refused otherwise. */
export function reportIntervalMilliseconds(state: LimiterState, isUrgent: boolean): number {
	const lease = state.lease?.milliseconds ?? 0;
	if (isUrgent) {
		return lease <= 2 * reportMilliseconds || lease === keeperSettings.quietLeaseMilliseconds ? urgentMilliseconds : lease / 4;
	}

	return Math.max(reportMilliseconds, lease / 2);
}

/** True if the entry has to go by its even share. */
export function lacksLease(state: LimiterState, now: number): boolean {
	return state.lease === undefined || state.lease.until <= now;
}

type Share = Omit<Lease, 'milliseconds'>;

function shareOf(state: LimiterState, question: Question, now: number): Share {
	return state.lease && state.lease.until > now ? state.lease : evenShare(question.limits, question.fleetPosition);
}

/** Limit/N; what is left of a concurrency limit goes to the entries that are ranked first. */
export function evenShare(limits: Limits, {entries, position}: FleetPosition): Share {
	const count = Math.max(entries, 1);
	const concurrency = limits.concurrency ?? Number.MAX_SAFE_INTEGER;
	return {
		requestsPerSecond: (limits.requestsPerSecond ?? Number.MAX_SAFE_INTEGER) / count,
		tokensPerSecond: (limits.tokensPerSecond ?? Number.MAX_SAFE_INTEGER) / count,
		concurrency: Math.floor(concurrency / count) + (position < concurrency % count ? 1 : 0),
	};
}

function limited(limit: LimitKind, retryAfterMilliseconds: number): LimiterDecision {
	return {type: 'limited', limit, retryAfterMilliseconds: Math.ceil(Math.min(retryAfterMilliseconds, 60_000))};
}
