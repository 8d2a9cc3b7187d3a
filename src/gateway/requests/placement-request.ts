import {type Demand, type OutputEstimates, tokensOf} from '../../policy/dispatch/index.js';
import {type Route, type RoutingTable, type UrgencyPair, type Workspace} from '../../routing/index.js';
import {type PlacementRequest} from '../placement/index.js';
import {type RequestMetadata} from '../adapter/index.js';

/** A request with its route, service and workspace, which determine its demand and its queue order. */
export type RequestContext = {
	readonly facts: RequestMetadata;
	readonly table: RoutingTable;
	readonly route: Route;
	readonly service: string;
	readonly workspace: Workspace | undefined;
	/** Arrival of its first byte, on the monotonic clock; the earliest possible one if it was read in a late turn of the event loop. */
	readonly arrivedAt: number;
};

/** Share of a request's target time within which it must start to be on time: the rest is needed for the endpoint's own work. */
const startShare = 0.75;
/**
 * A latency-critical stream has a short prompt. It goes before all others in the queue regardless of its rank, since its
 * prefill delays them by only a few milliseconds. At the endpoint the urgency of its route applies.
 */
const latencyCriticalUrgency: UrgencyPair = {route: -Infinity, workspace: undefined};

/** Requirements of a request on an endpoint; its output is expected by what its route lately took. */
export function demandOf({facts, table, route, service, workspace}: RequestContext, outputs?: OutputEstimates): Demand {
	return {
		service,
		urgency: table.rank(route, service, workspace),
		urgencies: table.urgencies(service),
		targetMilliseconds: route.targetMilliseconds,
		parts: facts.parts,
		outputTokens: outputs === undefined ? facts.outputTokens : outputs.expectedTokens(route.name, facts.outputTokens),
		routeUrgency: Math.max(0, Math.round(route.urgency)),
		isLatencyCritical: table.isLatencyCritical(route, service),
		maxPauseMilliseconds: route.longestPauseMilliseconds,
		strictestPauseMilliseconds: table.strictestPauseMilliseconds(service),
		deferredMilliseconds: 0,
		elapsedMilliseconds: 0,
		isOutranked: false,
	};
}

/** Queue order of a request; the same for each of its attempts. */
export function placementRequestOf(
	{facts, route, workspace, arrivedAt}: RequestContext,
	demand: Demand,
): Pick<PlacementRequest, 'workspace' | 'service' | 'urgency' | 'work' | 'arrivedAt' | 'inTimeUntil' | 'demand'> {
	return {
		workspace: workspace?.name ?? '',
		service: demand.service,
		urgency: demand.isLatencyCritical ? latencyCriticalUrgency : {route: route.urgency, workspace: workspace?.urgency},
		work: facts.outputTokens + tokensOf(facts.parts) + 1,
		arrivedAt,
		inTimeUntil: arrivedAt + (route.targetMilliseconds * startShare),
		demand,
	};
}
