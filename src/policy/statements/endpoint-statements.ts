/**
 * Statements of one incarnation of an endpoint, from its first response to its end. Load pattern: an endpoint in need
 * tells the instances that send to it how much it can take. If only the membership list counted, which knows nothing of
 * this and may be out of reach, the endpoint would get as much as before until it fails.
 *
 * Times are milliseconds of the monotonic clock.
 */
import {type EndpointStatement, type ResponseStatements} from './statement.js';

/** What an endpoint has stated and not withdrawn. */
export type EndpointStatements = {
	readonly rateLimit: RateLimit | undefined;
};

/** A rate limit that an endpoint has stated. */
export type RateLimit = {
	readonly requestsPerSecond: number;
	/** When the endpoint stated it first, with this or another rate. */
	readonly since: number;
	/** When the newest response that states it was received. */
	readonly heardAt: number;
};

/** An event of one incarnation of the endpoint. */
export type StatementsEvent = ResponseStatements & {
	readonly type: 'response';
	/** When the request of this response was sent. */
	readonly sentAt: number;
	/** True if a statement that is absent is withdrawn: the response is certain to be that of the request. */
	readonly isComplete: boolean;
};

/** A change of what is known of the endpoint. */
export type StatementsAction
	= | {readonly type: 'stated'; readonly statement: EndpointStatement; readonly before: EndpointStatement | undefined}
		| {readonly type: 'withdrawn'; readonly statement: EndpointStatement; readonly milliseconds: number};

export type StatementsStep = {readonly state: EndpointStatements; readonly actions: readonly StatementsAction[]};

export const initialStatements: EndpointStatements = {rateLimit: undefined};

export function stepStatements(state: EndpointStatements, event: StatementsEvent, now: number): StatementsStep {
	const stated = event.statements.find(({type}) => type === 'rate-limit');
	return stated === undefined ? withdrawRateLimit(state, event, now) : stateRateLimit(state, stated, now);
}

function stateRateLimit(state: EndpointStatements, statement: EndpointStatement, now: number): StatementsStep {
	const before = state.rateLimit;
	const rateLimit = {requestsPerSecond: statement.requestsPerSecond, since: before?.since ?? now, heardAt: now};
	return {
		state: {...state, rateLimit},
		actions: before?.requestsPerSecond === statement.requestsPerSecond ? [] : [{type: 'stated', statement, before: before === undefined ? undefined : statementOf(before)}],
	};
}

/**
 * Ends the rate limit if a response lacks it. Responses on different connections overtake each other, so one to a request that
 * was sent before the limit was last heard says nothing.
 */
function withdrawRateLimit(state: EndpointStatements, {sentAt, isComplete}: StatementsEvent, now: number): StatementsStep {
	const {rateLimit} = state;
	if (rateLimit === undefined || !isComplete || sentAt < rateLimit.heardAt) {
		return {state, actions: []};
	}

	return {state: {...state, rateLimit: undefined}, actions: [{type: 'withdrawn', statement: statementOf(rateLimit), milliseconds: now - rateLimit.since}]};
}

function statementOf({requestsPerSecond}: RateLimit): EndpointStatement {
	return {type: 'rate-limit', requestsPerSecond};
}
