/**
 * Load pattern: the platform's membership list lags, up to a minute, and is wrong in both
 * directions. Without this fold an endpoint that is leaving gets new work until the list catches
 * up, or a live one is dropped because the list lost it.
 *
 * Evidence is ranked: a side's own word counts for more than the state of the connection to it, and
 * that for more than the list. A later incarnation of a side replaces all evidence on earlier ones;
 * within one, *leaving* is final. The fold gives the same standing in whatever order evidence
 * arrives, and however often, but for a connection's own up and down, which are this process's.
 */
import {type EndpointId, type InstanceId} from '../../model/index.js';

export type Phase = 'serving' | 'leaving' | 'down';

export type Evidence
	/** What the side said of itself. `sequence` counts its words, so that a late one is known as late. */
	= | {readonly type: 'said'; readonly endpoint: EndpointId; readonly instance: InstanceId; readonly phase: Phase; readonly sequence: number}
	/** This process's connection to the side came up or broke. */
		| {readonly type: 'connected' | 'broken'; readonly endpoint: EndpointId; readonly instance: InstanceId}
	/** The membership list, whole. Endpoints that it does not name are unlisted. */
		| {readonly type: 'listed'; readonly members: ReadonlyArray<{readonly endpoint: EndpointId; readonly instance: InstanceId; readonly leaving: boolean}>};

type Known = {
	readonly instance: InstanceId;
	readonly word?: {readonly phase: Phase; readonly sequence: number};
	readonly connection?: 'up' | 'broken';
	readonly listed?: 'live' | 'leaving' | 'gone';
};

export type Membership = ReadonlyMap<EndpointId, Known>;

/** What follows from the evidence on one endpoint. */
export type Standing = {
	readonly instance: InstanceId;
	/** New work may go there. */
	readonly usable: boolean;
	readonly leaving: boolean;
	/** A connection should be sought. */
	readonly dial: boolean;
	readonly reason: 'serving' | 'said-leaving' | 'said-down' | 'connection-broken' | 'not-connected' | 'listed-leaving' | 'unlisted';
};

export function createMembership(): Membership {
	return new Map();
}

export function stepMembership(state: Membership, evidence: Evidence): Membership {
	switch (evidence.type) {
		case 'said': {
			return update(state, evidence, known => laterWord(known, evidence));
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
function update(state: Membership, about: {endpoint: EndpointId; instance: InstanceId}, change: (known: Known) => Known): Membership {
	const known = state.get(about.endpoint);
	if (known && known.instance > about.instance) {
		return state;
	}

	const current = known?.instance === about.instance ? known : {instance: about.instance};
	return new Map(state).set(about.endpoint, change(current));
}

function laterWord(known: Known, {phase, sequence}: {phase: Phase; sequence: number}): Known {
	// Failure: a delayed "serving" arrives after "leaving". Symptom: new work on a side that stops.
	// Leaving is final for an incarnation, so no order of arrival can undo it.
	if (known.word?.phase === 'leaving' || (phase !== 'leaving' && known.word && known.word.sequence >= sequence)) {
		return known;
	}

	return {...known, word: {phase, sequence}};
}

function applyList(state: Membership, members: ReadonlyArray<{endpoint: EndpointId; instance: InstanceId; leaving: boolean}>): Membership {
	let next = state;
	const named = new Set<EndpointId>();
	for (const member of members) {
		named.add(member.endpoint);
		next = update(next, member, known => ({...known, listed: member.leaving ? 'leaving' : 'live'}));
	}

	const pruned = new Map<EndpointId, Known>();
	for (const [endpoint, known] of next) {
		if (named.has(endpoint)) {
			pruned.set(endpoint, known);
		} else if (known.connection === 'up' || known.word?.phase === 'leaving') {
			// A side that left is remembered until its endpoint's next incarnation: the list may name it again.
			pruned.set(endpoint, {...known, listed: 'gone'});
		}
	}

	return pruned;
}

/** The standing of an endpoint, or undefined if nothing is known of it. */
export function standingOf(state: Membership, endpoint: EndpointId): Standing | undefined {
	const known = state.get(endpoint);
	return known && judge(known);
}

function judge({instance, word, connection, listed}: Known): Standing {
	if (word?.phase === 'leaving') {
		return {instance, usable: false, leaving: true, dial: false, reason: 'said-leaving'};
	}

	if (connection === 'broken') {
		return {instance, usable: false, leaving: listed === 'leaving', dial: true, reason: 'connection-broken'};
	}

	if (word) {
		const usable = word.phase === 'serving' && connection === 'up';
		const reason = word.phase === 'down' ? 'said-down' : (usable ? 'serving' : 'not-connected');
		return {instance, usable, leaving: false, dial: connection !== 'up', reason};
	}

	if (listed === 'leaving') {
		return {instance, usable: false, leaving: true, dial: false, reason: 'listed-leaving'};
	}

	return {instance, usable: false, leaving: false, dial: connection !== 'up', reason: listed === 'gone' ? 'unlisted' : 'not-connected'};
}
