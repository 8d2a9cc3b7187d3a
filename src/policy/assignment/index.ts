/**
 * Which endpoints should have which model loaded.
 *
 * Load pattern: endpoints come and go a hundred times a day, and a model's traffic needs its number
 * of replicas in more than one availability zone. Without it an operator loads models by hand, and a
 * zone loss takes every replica at once; with a plain ranking every join or restart moves models
 * about, and each move costs a load of many gigabytes from a paced store.
 *
 * The assignment is a deterministic function of the catalogue and of what has been seen of the
 * membership list, so every side computes the same one without talking. Two sides whose lists differ
 * for a while may both load a model; that costs a load and breaks nothing.
 */
import {type EndpointId, type TargetName, type ZoneName} from '../../model/index.js';
import {rankByRendezvous} from '../hashing/index.js';

/** How many endpoints should have a model, as the catalogue says. */
export type ModelDemand = {readonly name: TargetName; readonly replicas: number};

/** An engine as the membership list shows it. */
export type EngineMember = {
	readonly endpoint: EndpointId;
	readonly zone: ZoneName;
	readonly models: readonly TargetName[];
	readonly leaving: boolean;
};

type SeenSite = {readonly site: EngineMember; readonly seenAt: number};

/** What has been seen of the membership list. */
export type Assignment = {readonly sites: ReadonlyMap<EndpointId, SeenSite>};

/**
 * An endpoint that is missing from the list still counts for so long. A restart takes tens of
 * seconds and the list itself lags; loading a model elsewhere takes longer than that, so acting
 * sooner would pay for a load that is not needed when the endpoint is back.
 */
export const absenceMilliseconds = 60_000;

export function createAssignment(): Assignment {
	return {sites: new Map()};
}

/** Takes a reading of the membership list. */
export function observeMembers(state: Assignment, list: readonly EngineMember[], now: number): Assignment {
	const kept = [...state.sites].filter(([, {seenAt}]) => now - seenAt < absenceMilliseconds);
	return {sites: new Map([...kept, ...list.map(site => [site.endpoint, {site, seenAt: now}] as const)])};
}

/**
 * The endpoints that should have a model. Those that have it keep it first: that is the hysteresis.
 * Missing replicas go to the availability zone with the fewest, there to the endpoint with the
 * fewest models, and between equals by rendezvous.
 */
export function endpointsForModel(state: Assignment, demand: ModelDemand): readonly EndpointId[] {
	const sites = new Map([...state.sites.values()].filter(({site}) => !site.leaving).map(({site}) => [site.endpoint, site]));
	const ranked = rankByRendezvous(demand.name, sites.keys()).map(endpoint => sites.get(endpoint)!);
	const holders = ranked.filter(site => site.models.includes(demand.name));
	const chosen: EngineMember[] = pickSpread(holders, demand.replicas, []);
	const others = ranked.filter(site => !site.models.includes(demand.name)).toSorted((left, right) => left.models.length - right.models.length);
	return pickSpread(others, demand.replicas - chosen.length, chosen).map(({endpoint}) => endpoint);
}

/** The models that one endpoint should have. */
export function modelsForEndpoint(state: Assignment, demands: readonly ModelDemand[], endpoint: EndpointId): readonly TargetName[] {
	return demands.filter(demand => endpointsForModel(state, demand).includes(endpoint)).map(({name}) => name);
}

/** Adds up to `count` candidates to those chosen, each from the availability zone that has the fewest by then. */
function pickSpread(candidates: readonly EngineMember[], count: number, chosen: readonly EngineMember[]): EngineMember[] {
	const picked = [...chosen];
	const left = [...candidates];
	for (let added = 0; added < count && left.length > 0; added++) {
		const fewest = Math.min(...left.map(({zone}) => countZone(picked, zone)));
		const best = left.findIndex(({zone}) => countZone(picked, zone) === fewest);
		picked.push(...left.splice(best, 1));
	}

	return picked;
}

function countZone(sites: readonly EngineMember[], zone: ZoneName): number {
	return sites.filter(site => site.zone === zone).length;
}
