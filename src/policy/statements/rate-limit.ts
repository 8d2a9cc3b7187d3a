/**
 * An instance's share of the rate limit that an endpoint states for all instances together. Load pattern: an endpoint in need
 * names a few requests a second, and from four to hundreds of instances send to it, each of which knows only its own requests.
 * If each kept the limit by itself, the endpoint would get a multiple of it.
 *
 * A few instances share the limit evenly, each with a bucket of one request. All instances rank each other for an endpoint
 * alike, so that they agree without messages. An even share of hundreds of instances would not do: each may send its first
 * request at any time, so that together they exceed the limit by as many requests as there are instances.
 *
 * An instance without a share still has to learn when the limit ends. It sends one request in a long period, at a time of its
 * own, so that no herd forms.
 */
import {rankByRendezvous} from '../hashing/index.js';
import {allowedBetween, currentRate, nothingLent, type ShareLending} from './share-lending.js';

/** The part of an endpoint's rate limit that one instance may use. */
export type RateShare
	= | {readonly type: 'share'; readonly requestsPerSecond: number}
	/** No share: one request in this period, to learn whether the limit is still stated. */
		| {readonly type: 'trial'; readonly periodMilliseconds: number};

/** What an instance has used of its share. Times are milliseconds of the monotonic clock. */
export type ShareUse = {
	readonly share: RateShare;
	readonly lending: ShareLending;
	/** Requests that may be sent at once, at most one. */
	readonly level: number;
	readonly updatedAt: number;
	/** Start of the trial periods of this instance. */
	readonly trialsFrom: number;
	readonly lastTrialAt: number;
};

/** The instances that may send to the endpoint. */
export type RateLimitFleet = {readonly endpoint: string; readonly instance: string; readonly instances: readonly string[]};

const millisecondsPerSecond = 1000;
/** An endpoint tolerates this multiple of its limit within this span. */
const tolerance = {factor: 1.5, spanSeconds: 4};
/** Requests that were sent in a longer span may arrive within a shorter one, by up to this time. */
const delayMarginSeconds = 0.5;
const spanSeconds = tolerance.spanSeconds + delayMarginSeconds;
const allowedFactor = tolerance.factor * tolerance.spanSeconds / spanSeconds;
/** Part of the limit that all trials together use. */
const trialPart = 1 / 16;
/** Part of the limit that is left free for them: they come at random times, now and then several in one span. */
const reservedForTrials = 1 / 4;
/** A trial that is not sent within this time after its turn is left out: otherwise, those of a quiet time would be sent together after it. */
const trialTurnMilliseconds = 1000;
/** A lower limit counts as this one, in requests a second, so that its end is noticed. */
const lowestRate = 0.05;

/** The share of one instance; the same at each that knows the same names. */
export function shareOf(requestsPerSecond: number, {endpoint, instance, instances}: RateLimitFleet): RateShare {
	const rate = Math.max(lowestRate, requestsPerSecond);
	const names = new Set([instance, ...instances]);
	const sharers = countSharers(rate, names.size, 0);
	if (sharers === names.size) {
		return {type: 'share', requestsPerSecond: rate / names.size};
	}

	const sharersBesideTrials = countSharers(rate, names.size, reservedForTrials);
	return rankByRendezvous(endpoint, names).indexOf(instance) < sharersBesideTrials
		? {type: 'share', requestsPerSecond: rate / sharersBesideTrials}
		: {type: 'trial', periodMilliseconds: names.size / (rate * trialPart) * millisecondsPerSecond};
}

/** The largest number of instances that may share a limit; a bucket of one request lets each exceed its share by less than one in any span. */
function countSharers(rate: number, instances: number, reservedPart: number): number {
	const allowed = rate * spanSeconds * (allowedFactor - reservedPart);
	for (let sharers = Math.min(instances, Math.floor(allowed)); sharers > 1; sharers--) {
		if (sharers * (Math.floor(rate * spanSeconds / sharers) + 1) <= allowed) {
			return sharers;
		}
	}

	return 1;
}

/** The use of a share that begins now with nothing to spend; `draw` is uniform from 0 to 1. */
export function createShareUse(share: RateShare, draw: number, now: number): ShareUse {
	return {share, lending: nothingLent, level: 0, updatedAt: now, trialsFrom: now + (share.type === 'trial' ? draw * share.periodMilliseconds : 0), lastTrialAt: -Infinity};
}

/** The use after the share has changed; what was saved up stays. */
export function changeShare(use: ShareUse, share: RateShare, draw: number, now: number): ShareUse {
	const isSameTrial = use.share.type === 'trial' && share.type === 'trial' && use.share.periodMilliseconds === share.periodMilliseconds;
	return isSameTrial ? use : {...createShareUse(share, draw, now), lending: use.lending, level: levelAt(use, now)};
}

/** The use after what is lent or borrowed has changed. */
export function changeLending(use: ShareUse, lending: ShareLending, now: number): ShareUse {
	return {...use, lending, level: levelAt(use, now), updatedAt: now};
}

/** The use after one request: a trial spends nothing that was borrowed, unless a whole request is allowed. */
export function spendShare(use: ShareUse, now: number): ShareUse {
	const level = levelAt(use, now);
	const isTrial = use.share.type === 'trial' && level < 1;
	return {...use, level: isTrial ? level : level - 1, updatedAt: now, lastTrialAt: now};
}

/** When the next request may be sent: now or later. */
export function nextPermitAt(use: ShareUse, now: number): number {
	switch (use.share.type) {
		case 'share': {
			return nextWholeAt(use, now);
		}

		case 'trial': {
			return Math.min(nextWholeAt(use, now), nextTrialAt(use, use.share.periodMilliseconds, now));
		}
	}
}

/** When one more request is allowed if what is lent and borrowed now stays so; after the end of the loan if nothing is left until then. */
function nextWholeAt(use: ShareUse, now: number): number {
	const missing = 1 - levelAt(use, now);
	if (missing <= 0) {
		return now;
	}

	const own = ownRate(use);
	const rate = currentRate(use.lending, own, now);
	if (rate > 0) {
		return now + (missing / rate * millisecondsPerSecond);
	}

	return own === 0 ? Infinity : use.lending.lentUntil + (missing / own * millisecondsPerSecond);
}

function levelAt(use: ShareUse, now: number): number {
	return Math.min(1, use.level + allowedBetween(use.lending, ownRate(use), {from: use.updatedAt, to: now}));
}

/** Requests a second of the instance's own share, lent or not; an instance that sends trials has none. */
export function ownRate({share}: ShareUse): number {
	return share.type === 'share' ? share.requestsPerSecond : 0;
}

function nextTrialAt({trialsFrom, lastTrialAt}: ShareUse, periodMilliseconds: number, now: number): number {
	if (now < trialsFrom) {
		return trialsFrom;
	}

	const turnAt = trialsFrom + (Math.floor((now - trialsFrom) / periodMilliseconds) * periodMilliseconds);
	return lastTrialAt < turnAt && now - turnAt < trialTurnMilliseconds ? now : turnAt + periodMilliseconds;
}
