import {rankByRendezvous} from '../hashing/index.js';

/**
 * Health of one endpoint as its responses show it. Load pattern: an endpoint crashes, hangs or fails part of its
 * requests while its liveness check passes. Least-loaded placement then prefers it, because requests that fail fast
 * leave its slots free. Its failures are compared with the failure share that is usual for the service, since some
 * services fail part of their requests at every endpoint.
 *
 * Instances tell each other how their requests ended. An endpoint that stands still reads what was sent to it when it wakes, long after
 * each request has been retried elsewhere, and every instance that finds out by itself sends two requests and a trial again and again.
 * Silence that others met counts here too, unless anybody is known to have had a response since: then it concerns only some instances, or
 * single responses. A trial of one instance is the trial of all.
 */
export type EndpointHealth = {
	/** Share of recent requests that failed, weighted toward the newest. */
	readonly failureShare: number;
	readonly consecutiveUnreachable: number;
	/** Silences that other instances have met since anybody had a response. */
	readonly othersSilences: number;
	readonly suspendedUntil: number;
	/** Duration of the next suspension. */
	readonly nextSuspensionMilliseconds: number;
	/** Start of the only trial request to a suspended endpoint; undefined once it has an outcome. */
	readonly trialAt: number | undefined;
	/** When this instance, or another one that tells it, last had a response. */
	readonly lastResponseAt: number;
	/** True if others have met the silence of the endpoint since that response. */
	readonly isSilentToOthers: boolean;
};

export type HealthEvent
	= | {readonly type: 'answered'}
	/** The endpoint responded with an error of its own. */
		| {readonly type: 'failed'; readonly usualShare: number}
	/** The endpoint gave no response: the connection failed, broke or stayed silent. */
		| {readonly type: 'unreachable'}
		| {readonly type: 'trial'}
	/** Another instance has sent a request there. */
		| {readonly type: 'sent-by-other'}
	/** Another instance has had a response. */
		| {readonly type: 'answered-other'}
	/** The endpoint was silent to a request that another instance sent at `sentAt`; this instance may try it so much later than a suspension ends. */
		| {readonly type: 'silent-to-other'; readonly sentAt: number; readonly turnMilliseconds: number};

/** One lost response is common; two in a row on one endpoint are rare where three in a hundred are lost. */
const consecutiveUnreachableLimit = 2;
/** Weight of one response in the failure share: about the last ten count. */
const responseWeight = 0.1;
/**
 * An endpoint is suspended when its failure share exceeds the usual one by this much. That is more than the errors that
 * a service returns by its nature, and less than the share of an endpoint that fails four requests in ten.
 */
const excessFailureShare = 0.3;
/**
 * The first suspension takes about as long as a fast restart; the longest one bounds how late a recovery is noticed.
 */
const firstSuspensionMilliseconds = 600;
const longestSuspensionMilliseconds = 5000;
/** Instances try an endpoint that is silent to all in an order of their own for each endpoint, so much after each other: the time in which they learn of a request sent there. */
const turnMilliseconds = 100;
/** Later instances have the same turn, so that the last of many does not notice a recovery much later where the first ones have no request to try it with. */
const largestTurn = 9;

/** How much later than the first instance this one may try an endpoint. */
export function trialTurnMilliseconds(endpoint: string, instance: string, others: readonly string[]): number {
	const rank = rankByRendezvous(endpoint, new Set([instance, ...others])).indexOf(instance);
	return Math.min(rank, largestTurn) * turnMilliseconds;
}

/** A trial request without an outcome no longer counts after this time, and another one may be sent. */
const trialTimeoutMilliseconds = 3000;

export function createEndpointHealth(): EndpointHealth {
	return {
		failureShare: 0, consecutiveUnreachable: 0, othersSilences: 0, suspendedUntil: -Infinity, nextSuspensionMilliseconds: firstSuspensionMilliseconds, trialAt: undefined,
		lastResponseAt: -Infinity, isSilentToOthers: false,
	};
}

export function stepEndpointHealth(state: EndpointHealth, event: HealthEvent, now: number): EndpointHealth {
	switch (event.type) {
		case 'answered': {
			const failureShare = state.failureShare * (1 - responseWeight);
			return {...createEndpointHealth(), failureShare, lastResponseAt: now};
		}

		case 'failed': {
			const failureShare = raiseFailureShare(state.failureShare);
			const isExcess = failureShare > event.usualShare + excessFailureShare;
			const responded = {...state, failureShare, lastResponseAt: now, othersSilences: 0, isSilentToOthers: false};
			return isExcess ? suspend(responded, now) : {...responded, trialAt: undefined};
		}

		case 'unreachable': {
			const updated = {...state, failureShare: raiseFailureShare(state.failureShare), consecutiveUnreachable: state.consecutiveUnreachable + 1};
			return hasFallenSilent(updated) || state.trialAt !== undefined ? suspend(updated, now) : updated;
		}

		case 'trial': {
			return {...state, trialAt: now};
		}

		case 'sent-by-other': {
			return state.isSilentToOthers && isSuspended(state) ? {...state, trialAt: now} : state;
		}

		case 'answered-other': {
			return afterOthersResponse(state, now);
		}

		case 'silent-to-other': {
			return state.lastResponseAt >= event.sentAt ? state : afterOthersSilence(state, event.turnMilliseconds, now);
		}
	}
}

/** A suspended endpoint that was silent to all may be tried at once. One that is silent to this instance alone keeps its suspension. */
function afterOthersResponse(state: EndpointHealth, now: number): EndpointHealth {
	const {failureShare, consecutiveUnreachable, nextSuspensionMilliseconds, suspendedUntil, trialAt} = state;
	const isFreed = state.isSilentToOthers && isSuspended(state);
	return {
		failureShare, consecutiveUnreachable, othersSilences: 0, suspendedUntil: isFreed ? Math.min(suspendedUntil, now) : suspendedUntil, nextSuspensionMilliseconds,
		trialAt: isFreed ? undefined : trialAt, lastResponseAt: now, isSilentToOthers: false,
	};
}

function afterOthersSilence(state: EndpointHealth, turnMilliseconds: number, now: number): EndpointHealth {
	const silent = {...state, isSilentToOthers: true};
	if (!isSuspended(state)) {
		const updated = {...silent, othersSilences: state.othersSilences + 1};
		return hasFallenSilent(updated) ? postpone(suspend(updated, now), turnMilliseconds) : updated;
	}

	// Of several instances that met the same silence, the first one counts; a trial of any of them counts for all.
	if (now >= state.suspendedUntil || state.trialAt !== undefined) {
		return postpone(suspend(silent, now), turnMilliseconds);
	}

	return state.isSilentToOthers ? state : postpone(silent, turnMilliseconds);
}

/** Silences that this instance and others have met count alike. */
function hasFallenSilent({consecutiveUnreachable, othersSilences}: EndpointHealth): boolean {
	return consecutiveUnreachable + othersSilences >= consecutiveUnreachableLimit;
}

function postpone(state: EndpointHealth, milliseconds: number): EndpointHealth {
	return {...state, suspendedUntil: state.suspendedUntil + milliseconds};
}

function isSuspended({suspendedUntil}: EndpointHealth): boolean {
	return suspendedUntil !== -Infinity;
}

/**
 * Whether requests may be sent to the endpoint; `trial` admits one request, to see whether the endpoint has recovered.
 */
export function availability(state: EndpointHealth, now: number): 'open' | 'trial' | 'suspended' {
	const {suspendedUntil, trialAt} = state;
	if (!isSuspended(state)) {
		return 'open';
	}

	const hasTrial = trialAt !== undefined && now - trialAt < trialTimeoutMilliseconds;
	return now < suspendedUntil || hasTrial ? 'suspended' : 'trial';
}

function raiseFailureShare(share: number): number {
	return (share * (1 - responseWeight)) + responseWeight;
}

function suspend(state: EndpointHealth, now: number): EndpointHealth {
	return {
		...state,
		trialAt: undefined,
		suspendedUntil: now + state.nextSuspensionMilliseconds,
		nextSuspensionMilliseconds: Math.min(longestSuspensionMilliseconds, state.nextSuspensionMilliseconds * 2),
	};
}
