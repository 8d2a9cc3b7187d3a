/**
 * Load pattern: an endpoint crashes, hangs or fails part of its requests while its liveness check is
 * good. Least-loaded placement then prefers it, since what fails fast leaves room. Evidence is what
 * its answers were, against what is usual for the service, since some services fail by themselves.
 */
export type EndpointHealth = {
	/** Share of recent requests that failed, the newest counting most. */
	readonly failureShare: number;
	readonly consecutive: number;
	readonly suspendedUntil: number;
	/** How long the next suspension lasts. */
	readonly nextMilliseconds: number;
	/** A suspended endpoint's one trial, from its start until its outcome. */
	readonly trialAt: number | undefined;
};

export type HealthEvent
	= | {readonly type: 'answered'}
	/** The endpoint's own error. */
		| {readonly type: 'failed'; readonly usualShare: number}
	/** No connection, a broken one, or silence: no answer of the endpoint at all. */
		| {readonly type: 'unreachable'}
		| {readonly type: 'trial'};

/** Two in a row: one lost answer is common, two in a row on one endpoint are rare at three in a hundred. */
const consecutiveLimit = 2;
/** Weight of one answer: about the last ten count. */
const weight = 0.1;
/** Suspended above the usual share by this much: between a service's own errors and an endpoint that fails four in ten. */
const excessShare = 0.3;
/** The first suspension is about the time of a fast restart, the longest bounds how late a recovery is seen. */
const firstMilliseconds = 600;
const longestMilliseconds = 5000;
/** A trial without an outcome is taken back after so long. */
const trialMilliseconds = 3000;

export function createEndpointHealth(): EndpointHealth {
	return {failureShare: 0, consecutive: 0, suspendedUntil: -Infinity, nextMilliseconds: firstMilliseconds, trialAt: undefined};
}

export function stepEndpointHealth(state: EndpointHealth, event: HealthEvent, now: number): EndpointHealth {
	switch (event.type) {
		case 'answered': {
			const failureShare = state.failureShare * (1 - weight);
			return {failureShare, consecutive: 0, suspendedUntil: -Infinity, trialAt: undefined, nextMilliseconds: firstMilliseconds};
		}

		case 'failed': {
			const failureShare = grow(state.failureShare);
			const isExcess = failureShare > event.usualShare + excessShare;
			return isExcess ? suspend({...state, failureShare}, now) : {...state, failureShare, trialAt: undefined};
		}

		case 'unreachable': {
			const next = {...state, failureShare: grow(state.failureShare), consecutive: state.consecutive + 1};
			return next.consecutive >= consecutiveLimit || state.trialAt !== undefined ? suspend(next, now) : next;
		}

		case 'trial': {
			return {...state, trialAt: now};
		}
	}
}

/** Whether requests may go there: `trial` allows one, to see whether it recovered. */
export function availability({suspendedUntil, trialAt}: EndpointHealth, now: number): 'open' | 'trial' | 'suspended' {
	if (suspendedUntil === -Infinity) {
		return 'open';
	}

	const hasTrial = trialAt !== undefined && now - trialAt < trialMilliseconds;
	return now < suspendedUntil || hasTrial ? 'suspended' : 'trial';
}

function grow(share: number): number {
	return (share * (1 - weight)) + weight;
}

function suspend(state: EndpointHealth, now: number): EndpointHealth {
	return {
		...state,
		trialAt: undefined,
		suspendedUntil: now + state.nextMilliseconds,
		nextMilliseconds: Math.min(longestMilliseconds, state.nextMilliseconds * 2),
	};
}
