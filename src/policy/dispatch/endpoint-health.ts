/**
 * Health of one endpoint as its responses show it. Load pattern: an endpoint crashes, hangs or fails part of its
 * requests while its liveness check passes. Least-loaded placement then prefers it, because requests that fail fast
 * leave its slots free. Its failures are compared with the failure share that is usual for the service, since some
 * services fail part of their requests at every endpoint.
 */
export type EndpointHealth = {
	/** Share of recent requests that failed, weighted toward the newest. */
	readonly failureShare: number;
	readonly consecutiveUnreachable: number;
	readonly suspendedUntil: number;
	/** Duration of the next suspension. */
	readonly nextSuspensionMilliseconds: number;
	/** Start of the only trial request to a suspended endpoint; undefined once it has an outcome. */
	readonly trialAt: number | undefined;
};

export type HealthEvent
	= | {readonly type: 'answered'}
	/** The endpoint responded with an error of its own. */
		| {readonly type: 'failed'; readonly usualShare: number}
	/** The endpoint gave no response: the connection failed, broke or stayed silent. */
		| {readonly type: 'unreachable'}
		| {readonly type: 'trial'};

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
/** A trial request without an outcome no longer counts after this time, and another one may be sent. */
const trialTimeoutMilliseconds = 3000;

export function createEndpointHealth(): EndpointHealth {
	return {failureShare: 0, consecutiveUnreachable: 0, suspendedUntil: -Infinity, nextSuspensionMilliseconds: firstSuspensionMilliseconds, trialAt: undefined};
}

export function stepEndpointHealth(state: EndpointHealth, event: HealthEvent, now: number): EndpointHealth {
	switch (event.type) {
		case 'answered': {
			const failureShare = state.failureShare * (1 - responseWeight);
			return {failureShare, consecutiveUnreachable: 0, suspendedUntil: -Infinity, trialAt: undefined, nextSuspensionMilliseconds: firstSuspensionMilliseconds};
		}

		case 'failed': {
			const failureShare = raiseFailureShare(state.failureShare);
			const isExcess = failureShare > event.usualShare + excessFailureShare;
			return isExcess ? suspend({...state, failureShare}, now) : {...state, failureShare, trialAt: undefined};
		}

		case 'unreachable': {
			const updated = {...state, failureShare: raiseFailureShare(state.failureShare), consecutiveUnreachable: state.consecutiveUnreachable + 1};
			return updated.consecutiveUnreachable >= consecutiveUnreachableLimit || state.trialAt !== undefined ? suspend(updated, now) : updated;
		}

		case 'trial': {
			return {...state, trialAt: now};
		}
	}
}

/**
 * Whether requests may be sent to the endpoint; `trial` admits one request, to see whether the endpoint has recovered.
 */
export function availability({suspendedUntil, trialAt}: EndpointHealth, now: number): 'open' | 'trial' | 'suspended' {
	if (suspendedUntil === -Infinity) {
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
