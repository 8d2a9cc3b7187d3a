/**
 * Statements of one incarnation of an endpoint, from its first response to its end. Load pattern: an endpoint in need
 * states how much it can take, for how long an instance should back off, or that it leaves. If only the membership
 * list and failures counted, it would get as much as before until it fails: the list may be out of reach, and says nothing of
 * need; failures suspend an endpoint only after several, and for a time of their own.
 *
 * Times are milliseconds of the monotonic clock.
 */
import {changeLending, changeShare, createShareUse, nextPermitAt, ownRate, type RateLimitFleet, type RateShare, shareOf, type ShareUse, spendShare} from './rate-limit.js';
import {borrow, forgetLender, lend, mayLend} from './share-lending.js';
import {type EndpointStatement, type RateLimitStatement, type ResponseStatements} from './statement.js';

/** What an endpoint has stated and not withdrawn. */
export type EndpointStatements = {
	readonly isLeaving: boolean;
	/** End of the backoff that the endpoint has asked this instance for. */
	readonly backoffUntil: number;
	readonly rateLimit: RateLimit | undefined;
	/** When the newest response arrived that shows whether the endpoint has a rate limit, here or at an instance that reported it. */
	readonly rateLimitObservedAt: number;
	/** Whether that response arrived here; otherwise another instance reported it. */
	readonly isOwnObservation: boolean;
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
		readonly canWithdraw: boolean;
	})
	/** Another instance reports what a response showed that it received at that time. */
	| {readonly type: 'reported'; readonly rateLimit: RateLimitStatement | undefined; readonly observedAt: number}
	/** A request is sent to the endpoint. */
	| {readonly type: 'sent'}
	/** Instances have come or gone. */
	| {readonly type: 'fleet-changed'}
	/** A request waits since the share of the rate limit is used up. */
	| {readonly type: 'short'}
	/** Another instance asks for the share. */
	| {readonly type: 'asked'; readonly by: string}
	/** Another instance lends its share, for a time that counts from this instance's question. */
	| {readonly type: 'lent'; readonly lender: string; readonly requestsPerSecond: number; readonly until: number}
	/** Another instance is gone, or has started again. */
	| {readonly type: 'lender-lost'; readonly lender: string};

/** A change of what is known of the endpoint. */
export type StatementsAction
	= | {readonly type: 'limited'; readonly requestsPerSecond: number; readonly before: number | undefined; readonly share: RateShare}
		| {readonly type: 'unlimited'; readonly before: number; readonly milliseconds: number}
	/** The endpoint has begun to leave. */
		| {readonly type: 'leaving'}
	/** The endpoint asks for a backoff, or for a longer one. */
		| {readonly type: 'backing-off'; readonly milliseconds: number; readonly isLonger: boolean}
	/** The share is lent to that instance, which is to be told. */
		| {readonly type: 'lend'; readonly to: string; readonly requestsPerSecond: number; readonly isRenewal: boolean}
	/** The other instances are to be sent what a response to this one has shown. */
		| {readonly type: 'report'; readonly rateLimit: RateLimitStatement | undefined};

export type StatementsStep = {readonly state: EndpointStatements; readonly actions: readonly StatementsAction[]};

/** What comes with each event: the time, the instances, and a uniform draw from 0 to 1. */
export type StatementsContext = {readonly now: number; readonly fleet: RateLimitFleet; readonly draw: number};

/** Whether a request may be sent to the endpoint now; `by` is the statement that holds it back. */
export type Admission = {readonly type: 'open'} | {readonly type: 'held'; readonly by: EndpointStatement['type']; readonly until: number};

/** A longer backoff is cut to this: the endpoint can ask again, and a mistaken value would take it out of use until it restarts. */
export const maxBackoffMilliseconds = 300_000;

export const initialStatements: EndpointStatements = {isLeaving: false, backoffUntil: -Infinity, rateLimit: undefined, rateLimitObservedAt: -Infinity, isOwnObservation: false};

export function stepStatements(state: EndpointStatements, event: StatementsEvent, context: StatementsContext): StatementsStep {
	switch (event.type) {
		case 'response': {
			const left = applyLeaving(state, event);
			const backedOff = applyBackoff(left.state, event, context.now);
			const step = applyRateLimit(backedOff.state, event, context);
			return {...step, actions: [...left.actions, ...backedOff.actions, ...step.actions]};
		}

		case 'reported': {
			return applyReport(state, event, context);
		}

		case 'sent': {
			return {state: withUse(state, use => spendShare(use, context.now)), actions: []};
		}

		case 'fleet-changed': {
			return {state: withUse(state, use => changeShare(use, shareOf(state.rateLimit!.requestsPerSecond, context.fleet), context.draw, context.now)), actions: []};
		}

		case 'short': {
			return {state: withUse(state, use => changeLending(use, {...use.lending, shortAt: context.now}, context.now)), actions: []};
		}

		case 'asked': {
			return lendShare(state, event.by, context.now);
		}

		case 'lent': {
			return {state: withUse(state, use => changeLending(use, borrow(use.lending, {lender: event.lender, requestsPerSecond: event.requestsPerSecond, until: event.until}, context.now), context.now)), actions: []};
		}

		case 'lender-lost': {
			return {state: withUse(state, use => changeLending(use, forgetLender(use.lending, event.lender), context.now)), actions: []};
		}
	}
}

export function admissionOf({rateLimit, backoffUntil}: EndpointStatements, now: number): Admission {
	const permitAt = rateLimit === undefined ? now : nextPermitAt(rateLimit.use, now);
	if (backoffUntil > now && backoffUntil >= permitAt) {
		return {type: 'held', by: 'backoff', until: backoffUntil};
	}

	return permitAt <= now ? {type: 'open'} : {type: 'held', by: 'rate-limit', until: permitAt};
}

/** The kinds of statements in force. */
export function statementsInForce({isLeaving, backoffUntil, rateLimit}: EndpointStatements, now: number): ReadonlyArray<EndpointStatement['type']> {
	return [...(isLeaving ? ['leaving'] as const : []), ...(backoffUntil > now ? ['backoff'] as const : []), ...(rateLimit === undefined ? [] : ['rate-limit'] as const)];
}

/** Final for the incarnation: a response without the statement may be an earlier one that was overtaken. */
function applyLeaving(state: EndpointStatements, {statements}: ResponseStatements): StatementsStep {
	return state.isLeaving || !statements.some(({type}) => type === 'leaving')
		? {state, actions: []}
		: {state: {...state, isLeaving: true}, actions: [{type: 'leaving'}]};
}

/** A backoff ends by its time alone: a success may be the response to a request that was sent before, and a shorter backoff does not replace a longer one. */
function applyBackoff(state: EndpointStatements, {statements}: ResponseStatements, now: number): StatementsStep {
	const backoff = statements.find(statement => statement.type === 'backoff');
	const backoffUntil = now + Math.min(maxBackoffMilliseconds, backoff?.milliseconds ?? 0);
	return backoffUntil <= now || backoffUntil <= state.backoffUntil
		? {state, actions: []}
		: {state: {...state, backoffUntil}, actions: [{type: 'backing-off', milliseconds: backoffUntil - now, isLonger: state.backoffUntil > now}]};
}

/**
 * A response that lacks the rate limit ends it. Responses on different connections overtake each other, so one to a request that
 * was sent before the limit was last stated does not count, nor does one with a malformed statement. An own observation is reported
 * to the others if it is new here, or if it was known from a report only.
 */
function applyRateLimit(state: EndpointStatements, {statements, malformed, sentAt, canWithdraw}: Extract<StatementsEvent, {type: 'response'}>, context: StatementsContext): StatementsStep {
	const rateLimit = statements.find(statement => statement.type === 'rate-limit');
	const mayWithdraw = canWithdraw && malformed.length === 0 && sentAt >= state.rateLimitObservedAt;
	if (rateLimit === undefined && !mayWithdraw) {
		return {state, actions: []};
	}

	const step = setRateLimit({...state, rateLimitObservedAt: context.now, isOwnObservation: true}, rateLimit, context);
	const isKnown = state.isOwnObservation || state.rateLimitObservedAt === -Infinity;
	return step.actions.length === 0 && isKnown ? step : {...step, actions: [...step.actions, {type: 'report', rateLimit}]};
}

/** A report that changes nothing leaves an own observation as it is: otherwise two instances would report the same to each other for ever. */
function applyReport(state: EndpointStatements, {rateLimit, observedAt}: Extract<StatementsEvent, {type: 'reported'}>, context: StatementsContext): StatementsStep {
	if (observedAt <= state.rateLimitObservedAt) {
		return {state, actions: []};
	}

	const step = setRateLimit({...state, rateLimitObservedAt: observedAt}, rateLimit, context);
	return step.actions.length === 0 ? step : {...step, state: {...step.state, isOwnObservation: false}};
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

/** Lends the share if there is one and it is not needed here. */
function lendShare(state: EndpointStatements, borrower: string, now: number): StatementsStep {
	const use = state.rateLimit?.use;
	if (use === undefined || ownRate(use) === 0 || !mayLend(use.lending, borrower, now)) {
		return {state, actions: []};
	}

	return {
		state: withUse(state, () => changeLending(use, lend(use.lending, borrower, now), now)),
		actions: [{type: 'lend', to: borrower, requestsPerSecond: ownRate(use), isRenewal: use.lending.borrower === borrower && use.lending.lentUntil > now}],
	};
}

function withUse(state: EndpointStatements, change: (use: ShareUse) => ShareUse): EndpointStatements {
	return state.rateLimit === undefined ? state : {...state, rateLimit: {...state.rateLimit, use: change(state.rateLimit.use)}};
}
