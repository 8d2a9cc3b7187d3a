/**
 * The product's placement.
 *
 * Load pattern: bursts that meet several thin entries at once, whose view of the sides lags. Without
 * it, entries that all follow the same stale report crowd one side (least load), or ignore load
 * altogether (random, round robin). Here each entry ranks a subset of the target's live sides by an
 * estimate of the wait, and reserves at the best two: the side that frees a slot first gets the body.
 *
 * All figures are expressed as milliseconds, so that they can be weighed against each other: wait
 * for a slot, slowness over an answer, distance, and the prefill that a cached prefix saves.
 */
import {Tier, type EndpointId, type RequestId, type RequestSummary, type ZoneName} from '../../model/index.js';
import {hash32, rankByRendezvous} from '../hashing/index.js';
import {createStragglers, isEjected, measuredTokenMilliseconds, stepStragglers, isProbeDue, probeIntervalMilliseconds, type Stragglers} from '../stragglers/index.js';
import {certainlyFree, defaultAnswerTokens, defaultTokenMilliseconds, estimateWait} from './estimate.js';
import {createFleet, stepFleet, usableSides, type Fleet, type SideRecord} from './fleet.js';
import {forgetPrefixes, holdsPrefix, rememberPrefix, type PrefixMemory} from './prefixes.js';
import {type Choice, type Placement, type PlacementEvent} from './types.js';

/** What can be measured against each other in the bench. */
export type SubsetSettings = {
	/** Sides of one target that an entry looks at. */
	readonly subsetSize: number;
	/** Of these, places kept for sides of other availability zones. */
	readonly otherZones: number;
	/** Sides that hold a reservation while none is certainly free; 1 is early binding. */
	readonly reservations: number;
	/** The same for the highest tier, whose target leaves no time to wait behind others of it. */
	readonly topReservations: number;
	/** What leaving the availability zone costs: a round trip before the first token, and another for the offer. */
	readonly zoneMilliseconds: number;
	/** Prefill of one prompt token; a cached prefix saves it. */
	readonly prefillMillisecondsPerToken: number;
	/** A cached prefix never counts for more than this, so that load outweighs it soon. */
	readonly largestPrefixMilliseconds: number;
	/** Part of that which the prefix's home gets by rendezvous, so that entries meet there without talking. */
	readonly prefixHomeShare: number;
};

/**
 * 16 sides a target cover every endpoint of today's fleets; at 600 sides and 19 models they are half
 * of the 32 that serve a model, enough for any entry to find a free one, and each side then hears of
 * half the entries. Two reservations: the first extra choice brings most of the gain, each further
 * one costs two frames. A hop between availability zones is about a millisecond one way.
 */
export const subsetSettings: SubsetSettings = {
	subsetSize: 16,
	otherZones: 6,
	reservations: 2,
	topReservations: 3,
	zoneMilliseconds: 4,
	prefillMillisecondsPerToken: 0.1,
	largestPrefixMilliseconds: 100,
	prefixHomeShare: 0.25,
};

/** How fast the estimate of an answer's length follows what is seen: about the last 50 answers. */
const lengthMemory = 0.02;

export type SubsetState = {
	readonly fleet: Fleet;
	readonly stragglers: Stragglers;
	readonly prefixes: PrefixMemory;
	/** Requests of ours that run: what is needed when they end. */
	readonly tokens: ReadonlyMap<RequestId, number>;
	/** Mean answer length in tokens, lately. */
	readonly answerTokens: number;
};

/** The subset of sides that an instance looks at: its own availability zone first, the rest spread over the others. */
export function chooseSubset(instance: string, zone: ZoneName, sides: readonly SideRecord[], figures: SubsetSettings): readonly SideRecord[] {
	if (sides.length <= figures.subsetSize) {
		return sides;
	}

	const byEndpoint = new Map(sides.map(side => [side.view.endpoint, side]));
	const ranked = rankByRendezvous(instance, byEndpoint.keys()).map(endpoint => byEndpoint.get(endpoint)!);
	const own = ranked.filter(side => side.view.zone === zone);
	const other = ranked.filter(side => side.view.zone !== zone);
	const fromOther = Math.min(other.length, Math.max(figures.otherZones, figures.subsetSize - own.length));
	return [...own.slice(0, figures.subsetSize - fromOther), ...other.slice(0, fromOther)];
}

/** Makes the placement with other figures than the product's. */
export function createSubsetPlacement(figures: SubsetSettings): Placement<SubsetState> {
	return {
		create: settings => ({
			fleet: createFleet(settings), stragglers: createStragglers(), prefixes: new Map(), tokens: new Map(), answerTokens: defaultAnswerTokens,
		}),
		step: stepSubset,
		choose: (state, summary, excluded, random, now) => chooseSides(figures, state, {summary, excluded, random, now}),
	};
}

/** The placement that entries use. */
export const subsetPlacement = createSubsetPlacement(subsetSettings);

function stepSubset(state: SubsetState, event: PlacementEvent, now: number): SubsetState {
	const next = {...state, fleet: stepFleet(state.fleet, event, now)};
	switch (event.type) {
		case 'progressed': {
			const tokens = new Map(state.tokens).set(event.request, (state.tokens.get(event.request) ?? 0) + event.tokens);
			return {...next, tokens, stragglers: stepStragglers(state.stragglers, event, now)};
		}

		case 'started': {
			return {...next, prefixes: rememberPrefix(state.prefixes, event.endpoint, event.prefix ?? '', now)};
		}

		case 'ended': {
			return forgetRequest(next, event);
		}

		case 'side-lost': {
			return {
				...next,
				stragglers: stepStragglers(state.stragglers, {type: 'lost', endpoint: event.endpoint}, now),
				prefixes: forgetPrefixes(state.prefixes, event.endpoint),
			};
		}

		case 'tick': {
			return {...next, stragglers: judgeAll(next, now)};
		}

		case 'side-seen':
		case 'reserved':
		case 'offered':
		case 'refused':
		case 'withdrawn':
		case 'first-token': {
			return next;
		}
	}
}

function forgetRequest(state: SubsetState, event: {readonly request: RequestId; readonly whole: boolean}): SubsetState {
	const length = state.tokens.get(event.request);
	if (length === undefined) {
		return state;
	}

	const tokens = new Map(state.tokens);
	tokens.delete(event.request);
	const answerTokens = event.whole ? state.answerTokens + (lengthMemory * (length - state.answerTokens)) : state.answerTokens;
	return {...state, tokens, answerTokens};
}

function judgeAll(state: SubsetState, now: number): Stragglers {
	const groups = new Map<string, EndpointId[]>();
	for (const {view} of state.fleet.sides.values()) {
		const key = view.targets.toSorted().join(' ');
		const group = groups.get(key) ?? [];
		group.push(view.endpoint);
		groups.set(key, group);
	}

	let {stragglers} = state;
	for (const peers of groups.values()) {
		stragglers = stepStragglers(stragglers, {type: 'judge', peers}, now);
	}

	return stragglers;
}

type Question = {
	readonly summary: RequestSummary;
	readonly excluded: ReadonlySet<EndpointId>;
	readonly random: number;
	readonly now: number;
};

type Candidate = {readonly side: SideRecord; readonly cost: number; readonly reason: string};

function chooseSides(figures: SubsetSettings, state: SubsetState, question: Question): Choice {
	const {usable, reasons} = usableSides(state.fleet, question.summary, question.excluded);
	const subset = chooseSubset(state.fleet.instance, state.fleet.zone, usable, figures);
	const trickled = findTrickle(state, subset, question);
	if (trickled) {
		const {endpoint} = trickled.view;
		return {endpoints: [endpoint], reasons: [...reasons, {endpoint, reason: 'trickle'}]};
	}

	const healthy = subset.filter(side => !isEjected(state.stragglers, side.view.endpoint));
	const aside = subset.filter(side => !healthy.includes(side)).map(side => ({endpoint: side.view.endpoint, reason: 'straggler'}));
	const candidates = healthy.length > 0 ? healthy : subset;
	const home = rankByRendezvous(question.summary.prefix, candidates.map(side => side.view.endpoint))[0];
	const ranked = candidates
		.map(side => weigh(figures, state, side, {...question, home}))
		.toSorted((left, right) => left.cost - right.cost);
	const count = ranked[0] && certainlyFree(ranked[0].side, question.summary.tier, question.now) ? 1 : reservationsFor(figures, question.summary);
	return {
		endpoints: ranked.slice(0, count).map(({side}) => side.view.endpoint),
		reasons: [...reasons, ...aside, ...ranked.map(({side, reason}) => ({endpoint: side.view.endpoint, reason}))],
	};
}

function reservationsFor({reservations, topReservations}: SubsetSettings, {tier}: RequestSummary): number {
	return tier === Tier.highest && reservations > 1 ? topReservations : reservations;
}

/** A highest-tier request is never the one that tries a slow endpoint while a lower one could. */
function findTrickle(state: SubsetState, subset: readonly SideRecord[], {summary, now}: Question): SideRecord | undefined {
	const patience = summary.tier === Tier.highest ? 3 * probeIntervalMilliseconds : 0;
	return subset.find(side => isEjected(state.stragglers, side.view.endpoint)
		&& isProbeDue({inFlight: side.own.size, lastReservedAt: side.lastReservedAt + patience}, now));
}

function weigh(figures: SubsetSettings, state: SubsetState, side: SideRecord, question: Question & {readonly home: EndpointId | undefined}): Candidate {
	const {summary, now} = question;
	const {endpoint, zone} = side.view;
	const tokenMilliseconds = measuredTokenMilliseconds(state.stragglers, endpoint, now) ?? (side.view.tokenMilliseconds || defaultTokenMilliseconds);
	const wait = estimateWait(side, summary, {answerTokens: state.answerTokens, tokenMilliseconds}, now);
	const distance = zone === state.fleet.zone ? 0 : figures.zoneMilliseconds;
	const cached = holdsPrefix(state.prefixes, endpoint, summary.prefix, now);
	const share = cached ? 1 : (endpoint === question.home ? figures.prefixHomeShare : 0);
	const saved = share * Math.min(figures.largestPrefixMilliseconds, summary.promptTokens * figures.prefillMillisecondsPerToken);
	const cost = wait + (tokenMilliseconds * slownessTokens) + distance - saved + jitter(endpoint, question.random);
	return {side, cost, reason: `wait ${Math.round(wait)} ms${cached ? ', prefix' : ''}${distance > 0 ? ', other zone' : ''}`};
}

/** Slowness counts as over an answer's first tokens: more would send all to the fastest of nearly equal ones. */
const slownessTokens = 4;
/** Ties are broken by the caller's random number; less than any cost that matters. */
const tieMilliseconds = 2;

function jitter(endpoint: EndpointId, random: number): number {
	return (hash32(`${endpoint} ${random}`) / (2 ** 32)) * tieMilliseconds;
}
