/**
 * Assigns models to endpoints.
 *
 * Endpoints join and leave a hundred times a day, and a model's traffic needs its number of replicas in
 * more than one availability zone. Without this module an operator loads models by hand, and the loss of a
 * zone takes every replica at once. With a plain ranking, every join or restart would move models, and each
 * move costs a load of many gigabytes from a rate-limited store.
 *
 * The assignment is a deterministic function of the catalogue and of the observed membership list, so every
 * side (the sidecar process of one endpoint) computes the same one without communication. If the lists of two
 * sides differ for a while, both may load a model; that costs a load and breaks nothing.
 */
import {type EndpointId, type TargetName, type ZoneName} from '../../model/index.js';
import {rankByRendezvous} from '../hashing/index.js';

/** How many endpoints should have a model, according to the catalogue. */
export type ModelDemand = {readonly name: TargetName; readonly replicas: number};

/** An engine's endpoint as shown in the membership list. */
export type EngineMember = {
	readonly endpoint: EndpointId;
	readonly zone: ZoneName;
	readonly models: readonly TargetName[];
	readonly leaving: boolean;
};

type ObservedMember = {readonly member: EngineMember; readonly seenAt: number};

/** The observed state of the membership list. */
export type Assignment = {readonly members: ReadonlyMap<EndpointId, ObservedMember>};

/**
 * For this long, an endpoint that is missing from the list still counts. A restart takes tens of seconds and
 * the list itself lags. Loading a model elsewhere takes longer than that, so acting sooner would pay for a
 * load that is not needed when the endpoint is back.
 */
export const absenceGraceMilliseconds = 60_000;

export function createAssignment(): Assignment {
	return {members: new Map()};
}

/** Applies the current membership list. `now` is in milliseconds. */
export function observeMembers(state: Assignment, list: readonly EngineMember[], now: number): Assignment {
	const kept = [...state.members].filter(([, {seenAt}]) => now - seenAt < absenceGraceMilliseconds);
	return {members: new Map([...kept, ...list.map(member => [member.endpoint, {member, seenAt: now}] as const)])};
}

/**
 * The endpoints that should have a model. Endpoints that already have it are preferred (hysteresis).
 * Missing replicas go to the availability zone with the fewest, there to the endpoint with the
 * fewest models, and among equals by rendezvous hashing.
 */
export function endpointsForModel(state: Assignment, demand: ModelDemand): readonly EndpointId[] {
	const members = new Map([...state.members.values()].filter(({member}) => !member.leaving).map(({member}) => [member.endpoint, member]));
	const ranked = rankByRendezvous(demand.name, members.keys()).map(endpoint => members.get(endpoint)!);
	const holders = ranked.filter(member => member.models.includes(demand.name));
	const chosen: EngineMember[] = pickAcrossZones(holders, demand.replicas, []);
	const others = ranked.filter(member => !member.models.includes(demand.name)).toSorted((left, right) => left.models.length - right.models.length);
	return pickAcrossZones(others, demand.replicas - chosen.length, chosen).map(({endpoint}) => endpoint);
}

/** The models that one endpoint should have. */
export function modelsForEndpoint(state: Assignment, demands: readonly ModelDemand[], endpoint: EndpointId): readonly TargetName[] {
	return demands.filter(demand => endpointsForModel(state, demand).includes(endpoint)).map(({name}) => name);
}

/** Adds up to `count` candidates to `chosen`, each from the availability zone that has the fewest at that point. */
function pickAcrossZones(candidates: readonly EngineMember[], count: number, chosen: readonly EngineMember[]): EngineMember[] {
	const picked = [...chosen];
	const remaining = [...candidates];
	for (let added = 0; added < count && remaining.length > 0; added++) {
		const fewest = Math.min(...remaining.map(({zone}) => countZone(picked, zone)));
		const best = remaining.findIndex(({zone}) => countZone(picked, zone) === fewest);
		picked.push(...remaining.splice(best, 1));
	}

	return picked;
}

function countZone(members: readonly EngineMember[], zone: ZoneName): number {
	return members.filter(member => member.zone === zone).length;
}
