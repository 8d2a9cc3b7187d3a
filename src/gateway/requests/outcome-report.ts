import {Verdict} from '../../model/index.js';
import {type CrashSign} from '../../policy/crashes/index.js';
import {EndpointSign} from '../../policy/dispatch/index.js';
import {type CrashLedger, type RepeatableRequest} from '../crashes/index.js';
import {type Dispatcher} from '../placement/index.js';
import {type ResponseMetadata} from '../adapter/index.js';
import {type AttemptResult, type GivenUp} from './decision-log.js';
import {type AttemptState, isForeign, isSuccess, type Outcome} from './attempt-state.js';
import {type Attempt} from './attempt.js';
import {type ExchangeOptions} from './exchange-options.js';

/** What crashes an endpoint that begins to write on it does so within this time. */
const begunMilliseconds = 300;

/** Tells the dispatcher what an attempt has shown of its endpoint: its health, and the service time of a plain service. */
export function reportOutcome({endpoints, loadTracker}: Dispatcher, outcome: Outcome, {decision, isStream, startedAt, status, hasReportedUnreachable}: AttemptState): void {
	const {record, candidates} = decision;
	if (outcome.type === 'done') {
		endpoints.report(record, 'answered');
		if (!isStream && candidates > 0) {
			loadTracker.recordServiceTime(record.service, performance.now() - startedAt);
		}
	} else if (outcome.type === 'failed' && !(hasReportedUnreachable && outcome.isSilent === true)) {
		endpoints.report(record, status > 0 && outcome.verdict !== Verdict.mayHaveRun ? 'failed' : 'unreachable');
	}
}

/** Tells how much a complete stream has generated; of a resumed one this attempt shows a part only. */
export function reportOutput({facts, route, service, table, dispatcher}: ExchangeOptions, outcome: Outcome, {isStream, status, events}: AttemptState): void {
	const tokensPerEvent = table.service(service)?.engine?.tokensPerEvent;
	if (outcome.type === 'done' && isStream && isSuccess(status) && tokensPerEvent !== undefined && facts.resumption === undefined) {
		dispatcher.outputs.record(route.name, {statedTokens: facts.outputTokens, tokens: events * tokensPerEvent});
	}
}

/** Tells what a response shows of its endpoint, valid or not: that it runs, and what it states about itself. A misdirected response comes from another endpoint. */
export function reportResponse({statements}: Dispatcher, crashes: CrashLedger, {decision, requestId, startedAt}: AttemptState, response: ResponseMetadata): void {
	if (response.isMisdirected) {
		return;
	}

	if (!isForeign(response, requestId)) {
		crashes.monitor.recordResponse(decision.record, startedAt, performance.now());
	}

	statements.recordResponse(decision.record, {...response.stated, sentAt: startedAt, canWithdraw: response.requestId === requestId}, performance.now());
}

/** Tells whether a complete stream was late by the pauses of its engine, if pauses of its route are the ones that matter there. */
export function reportPauses({route, service, table, dispatcher}: ExchangeOptions, outcome: Outcome, {isStream, longestPause}: AttemptState): void {
	const {longestPauseMilliseconds: maxPauseMilliseconds} = route;
	if (outcome.type === 'done' && isStream && longestPause !== undefined && maxPauseMilliseconds !== undefined && table.isLatencyCritical(route, service)) {
		const {milliseconds: pauseMilliseconds, lagMilliseconds} = longestPause;
		dispatcher.latePauses.record(service, {pauseMilliseconds, lagMilliseconds, maxPauseMilliseconds});
	}
}

/** Tells the ledger whether the attempt may have crashed its endpoint, or has shown that the request can run to its end. */
export function reportCrashEvidence({crashes, request, dispatcher}: ExchangeOptions, outcome: Outcome, {attempt, decision, startedAt, status, firstEventAt, lastEventAt = -Infinity}: AttemptState): void {
	const now = performance.now();
	if (outcome.type === 'done') {
		if (isSuccess(status)) {
			crashes.recordCompleted(request, now);
		}

		return;
	}

	if (firstEventAt !== undefined && lastEventAt - firstEventAt >= begunMilliseconds) {
		crashes.recordBegun(request, now);
	}

	const sign = signOfCrash(outcome, {hasEvents: firstEventAt !== undefined, isRegistered: dispatcher.endpoints.isRegistered(decision.record)});
	if (sign !== undefined && attempt.mayHaveReachedEndpoint) {
		crashes.recordUnanswered(decision.record, request, {sentAt: startedAt, sign, now});
	}
}

/** What the end of an attempt shows of its endpoint to the other instances; a response may come after the endpoint had been silent for long. */
export function signOf(outcome: Outcome, {hasOwnResponse, hasReportedSilence}: Pick<AttemptState, 'hasOwnResponse' | 'hasReportedSilence'>): EndpointSign | undefined {
	if (outcome.type === 'done') {
		return EndpointSign.response;
	}

	if (hasReportedSilence) {
		return EndpointSign.silence;
	}

	return outcome.type === 'failed' && hasOwnResponse ? EndpointSign.response : undefined;
}

/** What is known of the request of an attempt that ends before its endpoint has sent anything, unless the connection ended it. */
export function givenUpOf(attempt: Attempt, outcome: Outcome): GivenUp | undefined {
	const isBroken = outcome.type === 'failed' && outcome.connection !== undefined;
	return attempt.isUnanswered && !isBroken ? {unsentBytes: attempt.unsentBytes} : undefined;
}

/** What the log says of an attempt. */
export function attemptResultOf(state: AttemptState, outcome: Outcome, more: Pick<AttemptResult, 'waitedMilliseconds' | 'givenUp'>): AttemptResult {
	const {startedAt, firstEventAt, events, longestPause, searches, status} = state;
	return {
		...more, startedAt, firstEventAt, events, longestPause, ...(searches > 0 && {searches}),
		outcome: outcome.type, reason: outcome.type === 'failed' ? outcome.reason : undefined, status,
	};
}

/** Tells the ledger that the endpoint has sent nothing for too long, while the attempt goes on. */
export function reportSilence(crashes: CrashLedger, request: RepeatableRequest, {attempt, decision, startedAt}: AttemptState): void {
	if (attempt.mayHaveReachedEndpoint) {
		crashes.recordUnanswered(decision.record, request, {sentAt: startedAt, sign: 'silence', now: performance.now()});
	}
}

/**
 * What an attempt without a complete response shows of its endpoint: after a break or in silence, it may have crashed. A caller that leaves, or
 * a stream that runs into the deadline, shows nothing; if the endpoint had been silent until then, it has been reported already. A break shows
 * nothing once the endpoint's registration has ended: one that crashes breaks its connections first, one that has left ends with whatever it still runs.
 */
function signOfCrash(outcome: Exclude<Outcome, {type: 'done'}>, {hasEvents, isRegistered}: {readonly hasEvents: boolean; readonly isRegistered: boolean}): CrashSign | undefined {
	switch (outcome.type) {
		case 'failed': {
			return outcome.connection === 'broken' && isRegistered ? 'break' : (outcome.isSilent === true ? 'silence' : undefined);
		}

		case 'expired': {
			return hasEvents ? undefined : 'silence';
		}

		case 'left': {
			return undefined;
		}
	}
}
