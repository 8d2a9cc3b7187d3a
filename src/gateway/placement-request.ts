import {type Demand, tokensOf} from '../policy/dispatch/index.js';
import {type Route, type RoutingTable, type UrgencyPair, type Workspace} from '../routing/index.js';
import {type PlacementRequest} from './decision.js';
import {type RequestMetadata} from './types.js';

/** What decides a request's place among others. */
export type Asked = {
	readonly facts: RequestMetadata;
	readonly table: RoutingTable;
	readonly route: Route;
	readonly service: string;
	readonly workspace: Workspace | undefined;
	/** When its first byte was here, on the monotonic clock. */
	readonly arrivedAt: number;
};

/** A start after this part of the target is late: the rest goes to the endpoint's own work. */
const startShare = 0.75;
/**
 * A stream with tight pauses has a short prompt: it goes before others in the line whatever its rank,
 * since reading it holds them up for a few milliseconds. At the endpoint its route's urgency counts.
 */
const tightUrgency: UrgencyPair = {route: -Infinity, workspace: undefined};

/** What a request wants of an endpoint. */
export function demandOf({facts, table, route, service, workspace}: Asked): Demand {
	return {
		service,
		urgency: table.rank(route, service, workspace),
		urgencies: table.urgencies(service),
		targetMilliseconds: route.targetMilliseconds,
		parts: facts.parts,
		isLatencyCritical: table.isLatencyCritical(route, service),
		maxPauseMilliseconds: route.longestPauseMilliseconds,
		strictestPauseMilliseconds: table.strictestPauseMilliseconds(service),
		waitedMilliseconds: 0,
		elapsedMilliseconds: 0,
		isOutranked: false,
	};
}

/** Its place in the line, the same for each of its sendings. */
export function placementRequestOf({facts, route, workspace, arrivedAt}: Asked, demand: Demand): Pick<PlacementRequest, 'workspace' | 'service' | 'urgency' | 'work' | 'arrivedAt' | 'inTimeUntil' | 'demand'> {
	return {
		workspace: workspace?.name ?? '',
		service: demand.service,
		urgency: demand.isLatencyCritical ? tightUrgency : {route: route.urgency, workspace: workspace?.urgency},
		work: facts.outputTokens + tokensOf(facts.parts) + 1,
		arrivedAt,
		inTimeUntil: arrivedAt + (route.targetMilliseconds * startShare),
		demand,
	};
}
