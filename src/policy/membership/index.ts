/**
 * Load pattern: the platform's membership list lags by up to a minute, and is wrong in both
 * directions. Without this fold an endpoint that shuts down gets new work until the list catches
 * up, or a live one is dropped because it is missing from the list.
 *
 * Evidence is ranked: an announcement of the side (the sidecar process of one endpoint) takes precedence over the state
 * of the connection to it, and this over the list. A later incarnation of a side replaces all evidence on earlier ones;
 * within one incarnation, `leaving` is final. The result does not depend on the order in which evidence
 * arrives, or on repetitions, except for the connection events, which this process observes itself in their order.
 */
import {type EndpointId, type InstanceId} from '../../model/index.js';
import {type Phase} from './phase.js';

export {chooseConnection, type ConnectionView} from './current-connection.js';
export type {Phase} from './phase.js';

/** An observation about endpoints. */
export type Evidence
	/** An announcement of the side itself. `sequence` numbers its announcements, so that a delayed one is recognized. */
	= | {readonly type: 'said'; readonly endpoint: EndpointId; readonly instance: InstanceId; readonly phase: Phase; readonly sequence: number}
	/** This process's connection to the side was established or lost. */
		| {readonly type: 'connected' | 'broken'; readonly endpoint: EndpointId; readonly instance: InstanceId}
	/** The complete membership list. Endpoints that it does not name are unlisted. */
		| {readonly type: 'listed'; readonly members: ReadonlyArray<{readonly endpoint: EndpointId; readonly instance: InstanceId; readonly leaving: boolean}>};

type EndpointEvidence = {
	readonly instance: InstanceId;
	readonly announcement?: {readonly phase: Phase; readonly sequence: number};
	readonly connection?: 'up' | 'broken';
	readonly listed?: 'live' | 'leaving' | 'gone';
};

/** The evidence on each endpoint. */
export type Membership = ReadonlyMap<EndpointId, EndpointEvidence>;

/** The status that follows from the evidence on one endpoint. */
export type MembershipStatus = {
	readonly instance: InstanceId;
	/** New requests may be sent to the endpoint. */
	readonly isUsable: boolean;
	readonly leaving: boolean;
	/** This process should try to connect. */
	readonly shouldDial: boolean;
	readonly reason: 'serving' | 'said-leaving' | 'said-down' | 'connection-broken' | 'not-connected' | 'listed-leaving' | 'unlisted';
};

export function createMembership(): Membership {
	return new Map();
}

/** The state after one more piece of evidence. */
export function stepMembership(state: Membership, evidence: Evidence): Membership {
	switch (evidence.type) {
		case 'said': {
			return update(state, evidence, known => applyAnnouncement(known, evidence));
		}

		case 'connected': {
			return update(state, evidence, known => ({...known, connection: 'up'}));
		}

		case 'broken': {
			return update(state, evidence, known => ({...known, connection: 'broken'}));
		}

		case 'listed': {
			return applyList(state, evidence.members);
		}
	}
}

/** Instance ids end in a UUIDv7, so the later incarnation sorts last. */
function update(state: Membership, about: {endpoint: EndpointId; instance: InstanceId}, change: (known: EndpointEvidence) => EndpointEvidence): Membership {
	const known = state.get(about.endpoint);
	if (known && known.instance > about.instance) {
		return state;
	}

	const current = known?.instance === about.instance ? known : {instance: about.instance};
	return new Map(state).set(about.endpoint, change(current));
}

function applyAnnouncement(known: EndpointEvidence, {phase, sequence}: {phase: Phase; sequence: number}): EndpointEvidence {
	// A delayed "serving" may arrive after "leaving"; if it counted, new work would go to a side that shuts down.
	// Leaving is final for an incarnation, so that no order of arrival can undo it.
	if (known.announcement?.phase === 'leaving' || (phase !== 'leaving' && known.announcement && known.announcement.sequence >= sequence)) {
		return known;
	}

	return {...known, announcement: {phase, sequence}};
}

function applyList(state: Membership, members: ReadonlyArray<{endpoint: EndpointId; instance: InstanceId; leaving: boolean}>): Membership {
	let next = state;
	const named = new Set<EndpointId>();
	for (const member of members) {
		named.add(member.endpoint);
		next = update(next, member, known => ({...known, listed: member.leaving ? 'leaving' : 'live'}));
	}

	const pruned = new Map<EndpointId, EndpointEvidence>();
	for (const [endpoint, known] of next) {
		if (named.has(endpoint)) {
			pruned.set(endpoint, known);
		} else if (known.connection === 'up' || known.announcement?.phase === 'leaving') {
			// A side that announced its shutdown is remembered until its endpoint's next incarnation, since the list may name it again.
			pruned.set(endpoint, {...known, listed: 'gone'});
		}
	}

	return pruned;
}

/** The status of an endpoint, or undefined if there is no evidence on it. */
export function membershipStatusOf(state: Membership, endpoint: EndpointId): MembershipStatus | undefined {
	const known = state.get(endpoint);
	return known && evaluate(known);
}

function evaluate({instance, announcement, connection, listed}: EndpointEvidence): MembershipStatus {
	if (announcement?.phase === 'leaving') {
		return {instance, isUsable: false, leaving: true, shouldDial: false, reason: 'said-leaving'};
	}

	if (connection === 'broken') {
		return {instance, isUsable: false, leaving: listed === 'leaving', shouldDial: true, reason: 'connection-broken'};
	}

	if (announcement) {
		const isUsable = announcement.phase === 'serving' && connection === 'up';
		const reason = announcement.phase === 'down' ? 'said-down' : (isUsable ? 'serving' : 'not-connected');
		return {instance, isUsable, leaving: false, shouldDial: connection !== 'up', reason};
	}

	if (listed === 'leaving') {
		return {instance, isUsable: false, leaving: true, shouldDial: false, reason: 'listed-leaving'};
	}

	return {instance, isUsable: false, leaving: false, shouldDial: connection !== 'up', reason: listed === 'gone' ? 'unlisted' : 'not-connected'};
}
