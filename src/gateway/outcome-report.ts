import {Verdict} from '../model/index.js';
import {type AttemptState, type Outcome} from './attempt-state.js';
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

/** Tells the dispatcher what the endpoint states about itself in a response, valid or not; a misdirected response comes from another endpoint. */
export function reportStatements({statements}: Dispatcher, {decision, requestId, startedAt}: AttemptState, {isMisdirected, requestId: answered, stated}: ResponseMetadata): void {
	if (!isMisdirected) {
		statements.recordResponse(decision.record, {...stated, sentAt: startedAt, canWithdraw: answered === requestId}, performance.now());
	}
}
