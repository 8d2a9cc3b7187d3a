/**
 * Load pattern: if each instance polls the store independently, calls grow with the number of instances. Calls are
 * priced and limited, and any one instance learns what all need to know. Linked instances therefore poll at different
 * times and broadcast the results: the more there are, the less often each one polls, so that the fleet as a whole polls about as often as
 * a single instance would, and every instance receives a change within a few messages.
 */

/** What a polling interval depends on: the number of polls before it, and a random draw from 0 to 1 that stays the same while it lasts. */
export type PollPosition = {readonly polls: number; readonly draw: number};

/** What determines how often the endpoints are polled. */
export type EndpointPolling = {
	/** Other instances that poll too and broadcast the result. */
	readonly others: number;
	/** For how long an endpoint that shuts down goes on serving. */
	readonly drainMilliseconds: number;
};

/** Base intervals as parts of an endpoint's drain time: instances have to learn of the shutdown well before the drain ends. */
const drainShares = {alone: 0.45, minimum: 0.7, perPeer: 0.175, maximum: 3};
/** The store keeps its history for twenty seconds: an instance that polls less often needs a full snapshot each time. */
const maxIntervalMilliseconds = 12_000;
/** A poll of the endpoints counts as current up to this age: the longest interval plus the time of a slow response. */
export const recentPollMilliseconds = maxIntervalMilliseconds + 2000;

/** The number of other instances from which on an instance relies on their broadcasts. */
const minimumReportingPeers = 2;
/**
 * Jitter: instances that start together would otherwise poll at the same times. All of them would miss an endpoint's shutdown for up to
 * a full interval, and it would get requests after it has stopped serving. An initial interval is a random part of the base interval, which
 * spreads the instances out; later ones vary by a fifth, so that no two instances stay synchronized for long.
 */
const minimumJitterFactor = {initial: 0, later: 0.8};
/** With this many polls the initial phase lasts until the other instances are known, and one or two base intervals longer. */
const initialPolls = 6;

/** How long an instance waits before it polls the endpoints again, in milliseconds. */
export function endpointPollInterval(polling: EndpointPolling, {polls, draw}: PollPosition): number {
	const minimumFactor = polls <= initialPolls ? minimumJitterFactor.initial : minimumJitterFactor.later;
	return baseIntervalMilliseconds(polling) * (minimumFactor + ((1 - minimumFactor) * draw));
}

function baseIntervalMilliseconds({others, drainMilliseconds}: EndpointPolling): number {
	return others < minimumReportingPeers
		? drainShares.alone * drainMilliseconds
		: Math.min(maxIntervalMilliseconds, drainMilliseconds * Math.min(drainShares.maximum, Math.max(drainShares.minimum, others * drainShares.perPeer)));
}

/**
 * How long a long poll of the routing table may wait for a change, which ends it at once. If the store stops responding
 * during the long polls of all instances while it accepts a change, callers get 404 for its routes until the
 * first wait is over, since no peer has the change either. Waits that end at different times detect the silence within
 * `perPeer`, however many instances there are.
 */
const routingWaitMilliseconds = {minimum: 2500, perPeer: 900, maximum: 20_000};

/** A long poll that is about to be sent. */
export type LongPoll = {
	/** Other instances that poll too and broadcast the result. */
	readonly others: number;
	/** Polls since the last change or failure. */
	readonly polls: number;
	/** True if the store has left a call without a response since its last response. */
	readonly isStoreUnresponsive: boolean;
};

/**
 * How long the next long poll may wait at the store, in whole milliseconds, for a random draw from 0 to 1.
 *
 * A long poll that is sent to an unresponsive store would hang for its full wait even after the store recovers, and delay what was
 * accepted in between. While the store is unresponsive, a poll therefore asks without waiting, and its loss is detected within a second.
 * A change ends the waits of all instances at once: the next wait is a random part of the base wait, so that they end at different
 * times again.
 */
export function routingLongPollWait({others, polls, isStoreUnresponsive: isDoubted}: LongPoll, draw: number): number {
	if (isDoubted) {
		return 0;
	}

	const baseWait = Math.min(routingWaitMilliseconds.maximum, Math.max(routingWaitMilliseconds.minimum, others * routingWaitMilliseconds.perPeer));
	const minimumFactor = polls === 0 ? minimumJitterFactor.initial : minimumJitterFactor.later;
	return Math.round(baseWait * (minimumFactor + ((1 - minimumFactor) * draw)));
}

/**
 * How long a long poll of the stored crashes may wait. Peers tell of crashes over links; the store reaches those without a link, and is
 * polled as rarely as a wait may last.
 */
const crashWaitMilliseconds = 20_000;

/** How long the next long poll of the stored crashes may wait at the store, in whole milliseconds, for a random draw from 0 to 1. */
export function crashLongPollWait({isStoreUnresponsive: isDoubted}: LongPoll, draw: number): number {
	return isDoubted ? 0 : Math.round(crashWaitMilliseconds * (minimumJitterFactor.later + ((1 - minimumJitterFactor.later) * draw)));
}

/**
 * Pause between two long polls of the stored crashes. Many instances notice a crash within moments, and each of their records would otherwise
 * be a read of its own at every other instance. One that reaches all others learns of crashes from them.
 */
const crashPauseMilliseconds = {apart: 1000, linked: 10_000};

/** How long until the stored crashes are polled again, by whether some other instance may be out of reach. */
export function crashPollPause(isApart: boolean): number {
	return isApart ? crashPauseMilliseconds.apart : crashPauseMilliseconds.linked;
}

/** Instances that start together have announced themselves within the first polls; later they come and go rarely. */
const instanceIntervals = {initial: 600, factor: 4, maximum: 20_000};

/** How long until the announcements of instances are polled again, in milliseconds. */
export function instancePollInterval({polls}: PollPosition): number {
	return Math.min(instanceIntervals.maximum, instanceIntervals.initial * (instanceIntervals.factor ** (polls - 1)));
}

/**
 * Backoff after failed polls.
 *
 * If the store refuses some instances for seconds and each of them retries again and again, the refused calls count against the limit and
 * cost as much as others. An instance that receives what others poll waits as long as after a successful poll; one that has no data yet can't.
 *
 * If the store refuses or ignores all instances and their retries become ever rarer, what it accepts after its recovery stays
 * unknown for seconds. Delays are therefore parts of the time within which a change has to be in force: a single instance retries often
 * enough by itself, and of many, one retries within a fraction of that time, whatever their number.
 */
const retryDelays = {initial: 100, aloneShare: 0.25, perPeerShare: 0.06, maximum: 6000};

/** A poll that failed, and what the delay before its retry depends on. */
export type FailedPoll = {
	/** Consecutive failures. */
	readonly failures: number;
	/** Other instances that poll too and broadcast the result. */
	readonly others: number;
	/** Whether the instance has polled successfully before. */
	readonly hasRead: boolean;
	/** The interval after a successful poll. */
	readonly pollIntervalMilliseconds: number;
	/** A change has to be in force at every instance within this time. */
	readonly applyMilliseconds: number;
};

/** How long until a failed poll is retried, in milliseconds, for a random draw from 0 to 1. */
export function pollRetryDelay({failures, others, hasRead, pollIntervalMilliseconds, applyMilliseconds}: FailedPoll, draw: number): number {
	const hasReportingPeers = hasRead && others >= minimumReportingPeers;
	const aloneMaximum = applyMilliseconds * retryDelays.aloneShare;
	const maximum = hasReportingPeers ? Math.min(retryDelays.maximum, Math.max(aloneMaximum, others * applyMilliseconds * retryDelays.perPeerShare)) : aloneMaximum;
	const delay = Math.min(maximum, retryDelays.initial * (2 ** (failures - 1)));
	const jittered = delay * ((1 + draw) / 2);
	return hasReportingPeers ? Math.max(jittered, pollIntervalMilliseconds) : jittered;
}
