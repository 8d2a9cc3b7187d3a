import {Verdict} from '../model/index.js';
import {type AttemptState, isForeign, type Outcome} from './attempt-state.js';
import {type CrashLedger, type RepeatableRequest} from './crash-ledger.js';
import {type Dispatcher} from './dispatcher.js';
import {type ResponseMetadata} from './types.js';

/** Tells the dispatcher what an attempt has shown of its endpoint: its health, and the service time of a plain service. */
export function reportOutcome({endpoints, loadTracker}: Dispatcher, outcome: Outcome, {decision, isStream, startedAt, status}: AttemptState): void {
	const {record, candidates} = decision;
	if (outcome.type === 'done') {
		endpoints.report(record, 'answered');
		if (!isStream && candidates > 0) {
			loadTracker.recordServiceTime(record.service, performance.now() - startedAt);
		}
	} else if (outcome.type === 'failed') {
		endpoints.report(record, status > 0 && outcome.verdict !== Verdict.mayHaveRun ? 'failed' : 'unreachable');
	}
}

/** Tells what a response shows of its endpoint, valid or not: that it runs, and what it states about itself. A misdirected response comes from another endpoint. */
export function reportResponse({statements}: Dispatcher, crashes: CrashLedger, {decision, requestId, startedAt}: AttemptState, response: ResponseMetadata): void {
	if (response.isMisdirected) {
		return;
	}

	if (!isForeign(response, requestId)) {
		crashes.recordResponse(decision.record, startedAt);
	}

	statements.recordResponse(decision.record, {...response.stated, sentAt: startedAt, canWithdraw: response.requestId === requestId}, performance.now());
}

/** Tells the ledger whether the attempt may have crashed its endpoint, or has shown that the request can run to its end. */
export function reportCrashEvidence(crashes: CrashLedger, request: RepeatableRequest, outcome: Outcome, {decision, status}: AttemptState): void {
	const now = performance.now();
	if (outcome.type === 'failed' && outcome.connection === 'broken') {
		crashes.recordBreak(decision.record, request, now);
	} else if (outcome.type === 'done' && isSuccess(status)) {
		crashes.recordCompleted(request, now);
	}
}

/** Whether an endpoint ran the request to its end; one that fails it may not have begun. */
function isSuccess(status: number): boolean {
	return status >= 200 && status < 300;
}
