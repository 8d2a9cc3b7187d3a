/**
 * The placement policy that entries use.
 *
 * It is made for bursts that reach several entries at once, each with an outdated view of the sides. With
 * least load, all entries would follow the same outdated report and overload one side; random and round robin
 * ignore load altogether. Here each entry ranks a subset of the target's live sides by an estimate of the
 * wait and reserves at the best two; the side that frees a slot first gets the body.
 *
 * All terms of the cost are in milliseconds, so that they can be added: the wait for a slot, the slowness of
 * the endpoint, the distance, and the prefill that a cached prefix saves.
 */
import {Tier, type EndpointId, type RequestId, type RequestSummary, type ZoneName} from '../../model/index.js';
import {hash32, rankByRendezvous} from '../hashing/index.js';
import {createStragglers, isEjected, measuredTokenMilliseconds, stepStragglers, isProbeDue, probeIntervalMilliseconds, type Stragglers} from '../stragglers/index.js';
import {isCertainlyFree, defaultResponseTokens, defaultTokenMilliseconds, estimateWait} from './estimate.js';
import {createFleet, stepFleet, usableSides, type Fleet, type SideRecord} from './fleet.js';
import {forgetPrefixes, hasPrefix, rememberPrefix, type PrefixMemory} from './prefixes.js';
import {type Choice, type Placement, type PlacementEvent} from './types.js';

/** Parameters of the placement. */
export type SubsetSettings = {
	/** Number of sides of one target that an entry considers. */
	readonly subsetSize: number;
	/** How many of these are reserved for sides of other availability zones. */
	readonly otherZoneSides: number;
	/**
	 * Number of sides at which to reserve while none certainly has a free slot; with 1, a request is bound to
	 * one queue before it is known which slot frees first (early binding).
	 */
	readonly reservations: number;
	/** The same for the highest tier, whose target leaves no time to wait behind other requests of the tier. */
	readonly highestTierReservations: number;
	/** Cost of leaving the availability zone: a round trip before the first token, and another for the offer. */
	readonly otherZoneMilliseconds: number;
	/** Prefill time of one prompt token, which a cached prefix saves. */
	readonly prefillMillisecondsPerToken: number;
	/** Upper limit of what a cached prefix saves, so that load soon outweighs it. */
	readonly maximumPrefixMilliseconds: number;
	/** Fraction of the saving that counts for the prefix's preferred endpoint (by rendezvous hashing), so that entries choose the same one without communication. */
	readonly preferredEndpointShare: number;
};

/**
 * 16 sides per target cover every endpoint of current fleets. At 600 sides and 19 models, 32 sides serve each
 * model; half of these are enough for any entry to find a free one, and each side then gets messages from
 * half of the entries. Two reservations: the first additional choice brings most of the gain, and each
 * further one costs two frames. A hop between availability zones takes about a millisecond one way.
 */
export const subsetSettings: SubsetSettings = {
	subsetSize: 16,
	otherZoneSides: 6,
	reservations: 2,
	highestTierReservations: 3,
	otherZoneMilliseconds: 4,
	prefillMillisecondsPerToken: 0.1,
	maximumPrefixMilliseconds: 100,
	preferredEndpointShare: 0.25,
};

/** Weight of a new response in the moving average of the response length: about the last 50 responses count. */
const lengthSmoothingFactor = 0.02;

export type SubsetState = {
	readonly fleet: Fleet;
	readonly stragglers: Stragglers;
	readonly prefixes: PrefixMemory;
	/** Tokens so far of this entry's running requests, for the average when they end. */
	readonly tokens: ReadonlyMap<RequestId, number>;
	/** Moving average of the response length in tokens. */
	readonly responseTokens: number;
};

/** The subset of sides that an instance considers: those of its own availability zone first, the rest spread over the others. */
export function chooseSubset(instance: string, zone: ZoneName, sides: readonly SideRecord[], settings: SubsetSettings): readonly SideRecord[] {
	if (sides.length <= settings.subsetSize) {
		return sides;
	}

	const byEndpoint = new Map(sides.map(side => [side.view.endpoint, side]));
	const ranked = rankByRendezvous(instance, byEndpoint.keys()).map(endpoint => byEndpoint.get(endpoint)!);
	const ownZone = ranked.filter(side => side.view.zone === zone);
	const otherZones = ranked.filter(side => side.view.zone !== zone);
	const otherZoneCount = Math.min(otherZones.length, Math.max(settings.otherZoneSides, settings.subsetSize - ownZone.length));
	return [...ownZone.slice(0, settings.subsetSize - otherZoneCount), ...otherZones.slice(0, otherZoneCount)];
}

/** Creates the placement with other settings than the defaults. */
export function createSubsetPlacement(settings: SubsetSettings): Placement<SubsetState> {
	return {
		create: instanceSettings => ({
			fleet: createFleet(instanceSettings), stragglers: createStragglers(), prefixes: new Map(), tokens: new Map(), responseTokens: defaultResponseTokens,
		}),
		step: stepSubset,
		choose: (state, summary, excluded, random, now) => chooseSides(settings, state, {summary, excluded, random, now}),
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
			return recordEnd(next, event);
		}

		case 'side-lost': {
			return {
				...next,
				stragglers: stepStragglers(state.stragglers, {type: 'lost', endpoint: event.endpoint}, now),
				prefixes: forgetPrefixes(state.prefixes, event.endpoint),
			};
		}

		case 'tick': {
			return {...next, stragglers: updateStragglers(next, now)};
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

function recordEnd(state: SubsetState, event: {readonly request: RequestId; readonly whole: boolean}): SubsetState {
	const length = state.tokens.get(event.request);
	if (length === undefined) {
		return state;
	}

	const tokens = new Map(state.tokens);
	tokens.delete(event.request);
	const responseTokens = event.whole ? state.responseTokens + (lengthSmoothingFactor * (length - state.responseTokens)) : state.responseTokens;
	return {...state, tokens, responseTokens};
}

function updateStragglers(state: SubsetState, now: number): Stragglers {
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

type PlacementQuery = {
	readonly summary: RequestSummary;
	readonly excluded: ReadonlySet<EndpointId>;
	readonly random: number;
	readonly now: number;
};

type Candidate = {readonly side: SideRecord; readonly cost: number; readonly reason: string};

function chooseSides(settings: SubsetSettings, state: SubsetState, query: PlacementQuery): Choice {
	const {usable, reasons} = usableSides(state.fleet, query.summary, query.excluded);
	const subset = chooseSubset(state.fleet.instance, state.fleet.zone, usable, settings);
	const probed = findProbeTarget(state, subset, query);
	if (probed) {
		const {endpoint} = probed.view;
		return {endpoints: [endpoint], reasons: [...reasons, {endpoint, reason: 'trickle'}]};
	}

	const healthy = subset.filter(side => !isEjected(state.stragglers, side.view.endpoint));
	const ejected = subset.filter(side => !healthy.includes(side)).map(side => ({endpoint: side.view.endpoint, reason: 'straggler'}));
	const candidates = healthy.length > 0 ? healthy : subset;
	const preferredEndpoint = rankByRendezvous(query.summary.prefix, candidates.map(side => side.view.endpoint))[0];
	const ranked = candidates
		.map(side => scoreSide(settings, state, side, {...query, preferredEndpoint}))
		.toSorted((left, right) => left.cost - right.cost);
	const count = ranked[0] && isCertainlyFree(ranked[0].side, query.summary.tier, query.now) ? 1 : reservationsFor(settings, query.summary);
	return {
		endpoints: ranked.slice(0, count).map(({side}) => side.view.endpoint),
		reasons: [...reasons, ...ejected, ...ranked.map(({side, reason}) => ({endpoint: side.view.endpoint, reason}))],
	};
}

function reservationsFor({reservations, highestTierReservations}: SubsetSettings, {tier}: RequestSummary): number {
	return tier === Tier.highest && reservations > 1 ? highestTierReservations : reservations;
}

/** Finds an ejected endpoint that is due for a probe request. A highest-tier request probes only three probe intervals later than others, so that a lower-tier one goes first. */
function findProbeTarget(state: SubsetState, subset: readonly SideRecord[], {summary, now}: PlacementQuery): SideRecord | undefined {
	const extraMilliseconds = summary.tier === Tier.highest ? 3 * probeIntervalMilliseconds : 0;
	return subset.find(side => isEjected(state.stragglers, side.view.endpoint)
		&& isProbeDue({inFlight: side.ownRequests.size, lastReservedAt: side.lastReservedAt + extraMilliseconds}, now));
}

function scoreSide(settings: SubsetSettings, state: SubsetState, side: SideRecord, query: PlacementQuery & {readonly preferredEndpoint: EndpointId | undefined}): Candidate {
	const {summary, now} = query;
	const {endpoint, zone} = side.view;
	const tokenMilliseconds = measuredTokenMilliseconds(state.stragglers, endpoint, now) ?? (side.view.tokenMilliseconds || defaultTokenMilliseconds);
	const wait = estimateWait(side, summary, {responseTokens: state.responseTokens, tokenMilliseconds}, now);
	const distance = zone === state.fleet.zone ? 0 : settings.otherZoneMilliseconds;
	const isCached = hasPrefix(state.prefixes, endpoint, summary.prefix, now);
	const share = isCached ? 1 : (endpoint === query.preferredEndpoint ? settings.preferredEndpointShare : 0);
	const saved = share * Math.min(settings.maximumPrefixMilliseconds, summary.promptTokens * settings.prefillMillisecondsPerToken);
	const cost = wait + (tokenMilliseconds * slownessTokens) + distance - saved + jitter(endpoint, query.random);
	return {side, cost, reason: `wait ${Math.round(wait)} ms${isCached ? ', prefix' : ''}${distance > 0 ? ', other zone' : ''}`};
}

/** Slowness counts over the first tokens of a response; over more, all requests would go to the fastest of nearly equal endpoints. */
const slownessTokens = 4;
/** Ties are broken by the given random number, by less than any relevant difference in cost. */
const jitterMilliseconds = 2;

function jitter(endpoint: EndpointId, random: number): number {
	return (hash32(`${endpoint} ${random}`) / (2 ** 32)) * jitterMilliseconds;
}
