import {type Demand, tokensOf} from '../policy/dispatch/index.js';
import {type Route, type RoutingTable, type UrgencyPair, type Workspace} from '../routing/index.js';
import {type Ticket} from './decision.js';
import {type RequestFacts} from './types.js';

/** What decides a request's place among others. */
export type Asked = {
	readonly facts: RequestFacts;
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
		isTight: table.isTightest(route, service),
		pauseMilliseconds: route.longestPauseMilliseconds,
		tightestPauseMilliseconds: table.tightestPause(service),
		waitedMilliseconds: 0,
		elapsedMilliseconds: 0,
		isOutranked: false,
	};
}

/** Its place in the line, the same for each of its sendings. */
export function ticketOf({facts, route, workspace, arrivedAt}: Asked, demand: Demand): Pick<Ticket, 'workspace' | 'service' | 'urgency' | 'work' | 'arrivedAt' | 'inTimeUntil' | 'demand'> {
	return {
		workspace: workspace?.name ?? '',
		service: demand.service,
		urgency: demand.isTight ? tightUrgency : {route: route.urgency, workspace: workspace?.urgency},
		work: facts.outputTokens + tokensOf(facts.parts) + 1,
		arrivedAt,
		inTimeUntil: arrivedAt + (route.targetMilliseconds * startShare),
		demand,
	};
}
