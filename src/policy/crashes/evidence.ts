/**
 * Evidence of one instance that one incarnation of an endpoint has crashed. Load pattern: a request crashes each endpoint that runs it. An
 * endpoint whose process dies closes its connections; one that loses power falls silent, and its connections stay open. If only broken
 * connections counted, a request under which endpoints fall silent would never be suspected, and crash one endpoint after the other.
 *
 * Silence alone is no crash: an engine may be slow, a link cut, or this instance may have been frozen. It makes requests suspects, and
 * becomes a crash once the endpoint's registration ends without an announced shutdown, or another incarnation takes its place.
 *
 * Times are milliseconds of the monotonic clock.
 */
import {maxNamed, pendingMilliseconds} from '../quarantine/index.js';

/** What suggests that an endpoint has crashed: a connection that broke, or silence. */
export type CrashSign = 'break' | 'silence';

/** A request that was at the endpoint when it stopped responding. */
export type UnansweredRequest = {
	/** Its own, and those of the prompt parts that it shares. */
	readonly fingerprints: readonly string[];
	readonly sentAt: number;
	/** When the connection broke, or when the endpoint had been silent for so long that it counts. */
	readonly at: number;
	readonly sign: CrashSign;
};

/** What speaks for a crash of one incarnation, and what has been told of it. */
export type CrashEvidence = {
	readonly requests: readonly UnansweredRequest[];
	/** When the registration ended without an announced shutdown. */
	readonly lostAt: number | undefined;
	/** Fingerprints of the requests that are suspected; the other instances know them. */
	readonly suspected: readonly string[];
	/** Fingerprints of a crash that was concluded from silence. */
	readonly crashed: readonly string[];
};

export type EvidenceEvent
	= | {readonly type: 'unanswered'; readonly request: UnansweredRequest}
	/** The endpoint has sent something to a request that was sent to it at `sentAt`. */
		| {readonly type: 'responded'; readonly sentAt: number}
		| {readonly type: 'lost'}
	/** The registration is back: the store had dropped an endpoint that lives. */
		| {readonly type: 'registered'}
		| {readonly type: 'time'};

export type EvidenceAction
	= | {readonly type: 'suspect'; readonly fingerprints: readonly string[]}
	/** The endpoint has crashed, with these requests. */
		| {readonly type: 'crash'; readonly fingerprints: readonly string[]; readonly at: number; readonly sign: CrashSign}
	/** Requests are no longer suspected, or the crash that was concluded was none. */
		| {readonly type: 'dismiss' | 'retract'; readonly fingerprints: readonly string[]; readonly reason: DismissalReason};

/** Why the endpoint has not crashed: it responds, it is registered again, or its registration did not end. */
export type DismissalReason = 'responds' | 'registered' | 'expired';

export type EvidenceStep = {readonly state: CrashEvidence; readonly actions: readonly EvidenceAction[]};

/**
 * A broken connection is a crash unless the endpoint responds to a request that was sent after the break within this time. An
 * endpoint that loses a response, or whose connection was reset, goes on responding; one that crashed starts again under another id.
 */
export const breakMilliseconds = 1000;
/** A silent endpoint is suspected unless it is heard within this time: one that lives and is in use is. */
export const silenceMilliseconds = 500;
/** A store that was out of reach drops endpoints that live; they register again within a few seconds of its return. */
const retractableMilliseconds = 60_000;

export const noEvidence: CrashEvidence = {requests: [], lostAt: undefined, suspected: [], crashed: []};

/** The state after an event, and what follows from it. */
export function stepEvidence(state: CrashEvidence, event: EvidenceEvent, now: number): EvidenceStep {
	switch (event.type) {
		case 'unanswered': {
			return conclude(isInnocent(event.request, state) ? state : addRequest(state, event.request), now);
		}

		case 'responded': {
			return retract(withdraw(state, request => isRefuted(request, {sentAt: event.sentAt, now}), 'responds'), 'responds');
		}

		case 'lost': {
			return conclude({...state, lostAt: state.lostAt ?? now}, now);
		}

		case 'registered': {
			return retract(withdraw({...state, lostAt: undefined}, ({sign}) => sign === 'silence', 'registered'), 'registered');
		}

		case 'time': {
			return conclude(state, now);
		}
	}
}

/** Whether the evidence may be forgotten. */
export function isSettled({requests, lostAt = -Infinity, crashed}: CrashEvidence, now: number): boolean {
	return requests.length === 0 && (crashed.length === 0 || now - lostAt >= retractableMilliseconds);
}

/** When the evidence has to be looked at again; infinite if only an event can change it. */
export function nextEvidenceAt({requests, suspected}: CrashEvidence): number {
	return Math.min(...requests.map(({fingerprints, at, sign}) => {
		if (sign === 'break') {
			return at + breakMilliseconds;
		}

		return at + (areSuspected(fingerprints, suspected) ? pendingMilliseconds : silenceMilliseconds);
	}));
}

/** A request that was sent after the endpoint had fallen silent has not silenced it. */
function isInnocent({sentAt, sign}: UnansweredRequest, {requests, crashed}: CrashEvidence): boolean {
	const silentAt = Math.min(Infinity, ...requests.filter(request => request.sign === 'silence').map(({at}) => at));
	return sign === 'silence' && (crashed.length > 0 || sentAt > silentAt);
}

/** Adds a request, with as many of its fingerprints as one crash may still name. */
function addRequest(state: CrashEvidence, request: UnansweredRequest): CrashEvidence {
	const known = distinct(state.requests);
	const named = new Set([...known, ...request.fingerprints].slice(0, Math.max(maxNamed, known.length)));
	const fingerprints = request.fingerprints.filter(fingerprint => named.has(fingerprint));
	return fingerprints.length === 0 ? state : {...state, requests: [...state.requests, {...request, fingerprints}]};
}

/**
 * Responses that arrive after a break may have been on their way, so only one to a later request refutes it. After a silence, whatever
 * arrives refutes it.
 */
function isRefuted({at, sign}: UnansweredRequest, {sentAt, now}: {sentAt: number; now: number}): boolean {
	return sign === 'break' ? sentAt > at : now > at;
}

function conclude(state: CrashEvidence, now: number): EvidenceStep {
	const crashSign = signOfCrash(state, now);
	if (crashSign !== undefined) {
		const fingerprints = distinct(state.requests);
		const crashed = crashSign === 'silence' ? fingerprints : state.crashed;
		return {state: {...state, requests: [], suspected: [], crashed}, actions: [{type: 'crash', fingerprints, at: Math.min(...state.requests.map(({at}) => at)), sign: crashSign}]};
	}

	const expired = withdraw(state, ({at, sign}) => sign === 'silence' && now - at >= pendingMilliseconds, 'expired');
	const due = expired.state.requests.filter(({at, sign, fingerprints}) => sign === 'silence' && now - at >= silenceMilliseconds && !areSuspected(fingerprints, expired.state.suspected));
	const fingerprints = distinct(due).filter(one => !expired.state.suspected.includes(one));
	return fingerprints.length === 0
		? expired
		: {state: {...expired.state, suspected: [...expired.state.suspected, ...fingerprints]}, actions: [...expired.actions, {type: 'suspect', fingerprints}]};
}

/** What shows that the endpoint has crashed, if anything does. */
function signOfCrash({requests, lostAt}: CrashEvidence, now: number): UnansweredRequest['sign'] | undefined {
	if (requests.some(({at, sign}) => sign === 'break' && now - at >= breakMilliseconds)) {
		return 'break';
	}

	return lostAt !== undefined && requests.some(({at, sign}) => sign === 'silence' && now - at >= silenceMilliseconds) ? 'silence' : undefined;
}

/** Drops requests; those that were suspected and have no other evidence are dismissed. */
function withdraw(state: CrashEvidence, isDropped: (request: UnansweredRequest) => boolean, reason: DismissalReason): EvidenceStep {
	const requests = state.requests.filter(request => !isDropped(request));
	if (requests.length === state.requests.length) {
		return {state, actions: []};
	}

	const left = new Set(distinct(requests));
	const dismissed = state.suspected.filter(fingerprint => !left.has(fingerprint));
	const suspected = state.suspected.filter(fingerprint => left.has(fingerprint));
	return {state: {...state, requests, suspected}, actions: dismissed.length === 0 ? [] : [{type: 'dismiss', fingerprints: dismissed, reason}]};
}

/** Takes back a crash that was concluded from silence: the endpoint lives. */
function retract({state, actions}: EvidenceStep, reason: DismissalReason): EvidenceStep {
	return state.crashed.length === 0
		? {state, actions}
		: {state: {...state, crashed: []}, actions: [...actions, {type: 'retract', fingerprints: state.crashed, reason}]};
}

function areSuspected(fingerprints: readonly string[], suspected: readonly string[]): boolean {
	return fingerprints.every(fingerprint => suspected.includes(fingerprint));
}

function distinct(requests: readonly UnansweredRequest[]): string[] {
	return [...new Set(requests.flatMap(({fingerprints}) => fingerprints))];
}
