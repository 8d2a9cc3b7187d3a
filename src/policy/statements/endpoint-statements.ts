/**
 * Statements of one incarnation of an endpoint, from its first response to its end. Load pattern: an endpoint in need
 * tells the instances that send to it how much it can take, that it wants a rest, or that it leaves. If only the membership
 * list and failures counted, it would get as much as before until it fails: the list may be out of reach, and says nothing of
 * need; failures suspend an endpoint only after several, and for a time of their own.
 *
 * Times are milliseconds of the monotonic clock.
 */
import {changeShare, createShareUse, nextPermitAt, type RateLimitFleet, type RateShare, shareOf, type ShareUse, spendShare} from './rate-limit.js';
import {type EndpointStatement, type RateLimitStatement, type ResponseStatements} from './statement.js';

/** What an endpoint has stated and not withdrawn. */
export type EndpointStatements = {
	readonly isLeaving: boolean;
	/** End of the rest that the endpoint has asked this instance for. */
	readonly restsUntil: number;
	readonly rateLimit: RateLimit | undefined;
	/** The newest time at which the endpoint said whether it has a rate limit, to this instance or to one that told it. */
	readonly rateLimitHeardAt: number;
	/** Whether a response to this instance said so; otherwise another instance did. */
	readonly isFirstHand: boolean;
};

/** A rate limit that an endpoint has stated. */
export type RateLimit = {
	readonly requestsPerSecond: number;
	/** When the endpoint stated it first, with this or another rate. */
	readonly since: number;
	readonly use: ShareUse;
};

/** An event of one incarnation of the endpoint. */
export type StatementsEvent
	= | (ResponseStatements & {
		readonly type: 'response';
		/** When the request of this response was sent. */
		readonly sentAt: number;
		/** True if a statement that is absent is withdrawn: the response is certain to be that of the request. */
		readonly isComplete: boolean;
	})
	/** Another instance has learned this from a response that it received at that time. */
	| {readonly type: 'told'; readonly rateLimit: RateLimitStatement | undefined; readonly heardAt: number}
	/** A request is sent to the endpoint. */
	| {readonly type: 'sent'}
	/** Instances have come or gone. */
	| {readonly type: 'fleet-changed'};

/** A change of what is known of the endpoint. */
export type StatementsAction
	= | {readonly type: 'limited'; readonly requestsPerSecond: number; readonly before: number | undefined; readonly share: RateShare}
		| {readonly type: 'unlimited'; readonly before: number; readonly milliseconds: number}
	/** The endpoint has begun to leave. */
		| {readonly type: 'leaving'}
	/** The endpoint asks for rest, or for a longer one. */
		| {readonly type: 'resting'; readonly milliseconds: number; readonly isLonger: boolean}
	/** The other instances should learn what this one has heard from the endpoint itself. */
		| {readonly type: 'tell'; readonly rateLimit: RateLimitStatement | undefined};

export type StatementsStep = {readonly state: EndpointStatements; readonly actions: readonly StatementsAction[]};

/** What comes with each event: the time, the instances, and a uniform draw from 0 to 1. */
export type StatementsContext = {readonly now: number; readonly fleet: RateLimitFleet; readonly draw: number};

/** Whether a request may be sent to the endpoint now; `by` is the statement that holds it back. */
export type Admission = {readonly type: 'open'} | {readonly type: 'held'; readonly by: EndpointStatement['type']; readonly until: number};

/** A longer rest is cut to this: the endpoint can ask again, and a mistaken value would take it out of use until it restarts. */
export const longestRestMilliseconds = 300_000;

export const initialStatements: EndpointStatements = {isLeaving: false, restsUntil: -Infinity, rateLimit: undefined, rateLimitHeardAt: -Infinity, isFirstHand: false};

export function stepStatements(state: EndpointStatements, event: StatementsEvent, context: StatementsContext): StatementsStep {
	switch (event.type) {
		case 'response': {
			const left = hearLeaving(state, event);
			const rested = hearRest(left.state, event, context.now);
			const step = hearRateLimit(rested.state, event, context);
			return {...step, actions: [...left.actions, ...rested.actions, ...step.actions]};
		}

		case 'told': {
			return hearNews(state, event, context);
		}

		case 'sent': {
			return {state: withUse(state, use => spendShare(use, context.now)), actions: []};
		}

		case 'fleet-changed': {
			return {state: withUse(state, use => changeShare(use, shareOf(state.rateLimit!.requestsPerSecond, context.fleet), context.draw, context.now)), actions: []};
		}
	}
}

export function admissionOf({rateLimit, restsUntil}: EndpointStatements, now: number): Admission {
	const permitAt = rateLimit === undefined ? now : nextPermitAt(rateLimit.use, now);
	if (restsUntil > now && restsUntil >= permitAt) {
		return {type: 'held', by: 'rest', until: restsUntil};
	}

	return permitAt <= now ? {type: 'open'} : {type: 'held', by: 'rate-limit', until: permitAt};
}

/** The kinds of statements in force. */
export function statementsInForce({isLeaving, restsUntil, rateLimit}: EndpointStatements, now: number): ReadonlyArray<EndpointStatement['type']> {
	return [...(isLeaving ? ['leaving'] as const : []), ...(restsUntil > now ? ['rest'] as const : []), ...(rateLimit === undefined ? [] : ['rate-limit'] as const)];
}

/** Final for the incarnation: a response without the statement may be an earlier one that was overtaken. */
function hearLeaving(state: EndpointStatements, {statements}: ResponseStatements): StatementsStep {
	return state.isLeaving || !statements.some(({type}) => type === 'leaving')
		? {state, actions: []}
		: {state: {...state, isLeaving: true}, actions: [{type: 'leaving'}]};
}

/** A rest ends by its time alone: a good response may be to a request that was sent before, and a shorter rest does not replace a longer one. */
function hearRest(state: EndpointStatements, {statements}: ResponseStatements, now: number): StatementsStep {
	const rest = statements.find(statement => statement.type === 'rest');
	const restsUntil = now + Math.min(longestRestMilliseconds, rest?.milliseconds ?? 0);
	return restsUntil <= now || restsUntil <= state.restsUntil
		? {state, actions: []}
		: {state: {...state, restsUntil}, actions: [{type: 'resting', milliseconds: restsUntil - now, isLonger: state.restsUntil > now}]};
}

/**
 * A response that lacks the rate limit ends it. Responses on different connections overtake each other, so one to a request that
 * was sent before the limit was last heard says nothing, nor does one with a malformed statement. What this instance hears itself it tells the others if it is new to it, or
 * if it had only been told.
 */
function hearRateLimit(state: EndpointStatements, {statements, malformed, sentAt, isComplete}: Extract<StatementsEvent, {type: 'response'}>, context: StatementsContext): StatementsStep {
	const rateLimit = statements.find(statement => statement.type === 'rate-limit');
	const mayWithdraw = isComplete && malformed.length === 0 && sentAt >= state.rateLimitHeardAt;
	if (rateLimit === undefined && !mayWithdraw) {
		return {state, actions: []};
	}

	const step = setRateLimit({...state, rateLimitHeardAt: context.now, isFirstHand: true}, rateLimit, context);
	const isKnown = state.isFirstHand || state.rateLimitHeardAt === -Infinity;
	return step.actions.length === 0 && isKnown ? step : {...step, actions: [...step.actions, {type: 'tell', rateLimit}]};
}

/** News that changes nothing does not end a first-hand knowledge: otherwise two instances would tell each other the same for ever. */
function hearNews(state: EndpointStatements, {rateLimit, heardAt}: Extract<StatementsEvent, {type: 'told'}>, context: StatementsContext): StatementsStep {
	if (heardAt <= state.rateLimitHeardAt) {
		return {state, actions: []};
	}

	const step = setRateLimit({...state, rateLimitHeardAt: heardAt}, rateLimit, context);
	return step.actions.length === 0 ? step : {...step, state: {...step.state, isFirstHand: false}};
}

function setRateLimit(state: EndpointStatements, statement: RateLimitStatement | undefined, context: StatementsContext): StatementsStep {
	const before = state.rateLimit;
	if (before?.requestsPerSecond === statement?.requestsPerSecond) {
		return {state, actions: []};
	}

	if (statement === undefined) {
		return {state: {...state, rateLimit: undefined}, actions: [{type: 'unlimited', before: before!.requestsPerSecond, milliseconds: context.now - before!.since}]};
	}

	const {now, draw, fleet} = context;
	const {requestsPerSecond} = statement;
	const share = shareOf(requestsPerSecond, fleet);
	const use = before === undefined ? createShareUse(share, draw, now) : changeShare(before.use, share, draw, now);
	return {
		state: {...state, rateLimit: {requestsPerSecond, since: before?.since ?? now, use}},
		actions: [{type: 'limited', requestsPerSecond, before: before?.requestsPerSecond, share}],
	};
}

function withUse(state: EndpointStatements, change: (use: ShareUse) => ShareUse): EndpointStatements {
	return state.rateLimit === undefined ? state : {...state, rateLimit: {...state.rateLimit, use: change(state.rateLimit.use)}};
}
