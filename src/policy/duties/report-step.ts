import {type DutyClock} from './settings.js';
import {type DutyState, type Tenure} from './state.js';
import {type UsageCounts, windowEnd} from './usage.js';

/** The next call to the receiver of reports. */
export type ReportStep
	= | {readonly type: 'wait'}
		| {readonly type: 'report'; readonly window: number; readonly counts: UsageCounts; readonly token: number}
	/** This instance gets no response from the receiver; another one may. */
		| {readonly type: 'hand-over'};

/** A holder makes no call in the last part of its lease: the call would arrive when another instance may hold the duties. */
const unusedLeaseShare = 1 / 6;
/** A holder whose calls fail for this long hands over. */
const handOverMilliseconds = 2000;

/** Chooses the next call: the oldest window that is decided and not closed. */
export function nextReportStep(state: DutyState, clock: DutyClock): ReportStep {
	const {tenure} = state;
	if (tenure === undefined || tenure.isEnding || !mayAct(state, tenure, clock) || clock.steady < tenure.nextCallAt) {
		return {type: 'wait'};
	}

	if (tenure.failingSince !== undefined && clock.steady - tenure.failingSince > handOverMilliseconds && clock.steady - tenure.since > state.settings.leaseMilliseconds) {
		return {type: 'hand-over'};
	}

	const window = tenure.closedThrough + 1;
	const decision = state.known?.log.decisions.get(window);
	return decision === undefined ? {type: 'wait'} : {type: 'report', window, counts: decision.counts, token: tenure.token};
}

/** True while the lease lasts, counted from the start of the last successful append. */
export function mayAct({settings: {leaseMilliseconds}}: DutyState, {renewedAt}: Tenure, {lease}: DutyClock): boolean {
	return lease - renewedAt < leaseMilliseconds * (1 - unusedLeaseShare);
}

/** True once a report of the window would be late. */
export function isTooLate({settings}: DutyState, window: number, {time}: DutyClock): boolean {
	return time > windowEnd(window, settings.windowMilliseconds) + settings.lateMilliseconds;
}
