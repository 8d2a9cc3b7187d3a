import {Verdict} from '../../model/index.js';
import {failoverAt} from '../../policy/dispatch/index.js';
import {type AttemptState, type Outcome} from './attempt-state.js';
import {type ExchangeOptions} from './exchange-options.js';
import {reportSilence} from './outcome-report.js';
import {type RequestEnd} from './request-end.js';
import {type ResponseForwarder} from './response-forwarder.js';
import {type RetryProgress} from './retry-progress.js';

/** Interval between searches for another endpoint while the one in use is silent and no other one is available. */
const failoverSearchMilliseconds = 50;

export type AttemptTimeoutsOptions = {
	readonly exchange: ExchangeOptions;
	readonly end: RequestEnd;
	readonly retryProgress: RetryProgress;
	readonly forwarder: ResponseForwarder;
	/** Incarnations of endpoints that the request has already been sent to. */
	readonly excluded: ReadonlySet<string>;
	/** The build that the request is bound to, once it is. */
	readonly build: () => string | undefined;
	/** Whether the request may leave a silent endpoint for another one; if so, what that takes is reserved. */
	readonly mayLeave: () => boolean;
};

/** What the silence of an endpoint leads to: its report, a retry at another endpoint, the end of the request. Times are milliseconds of the monotonic clock. */
export class AttemptTimeouts {
	static create(options: AttemptTimeoutsOptions): AttemptTimeouts {
		return new AttemptTimeouts(options);
	}

	readonly #options: AttemptTimeoutsOptions;

	private constructor(options: AttemptTimeoutsOptions) {
		this.#options = options;
	}

	/** Time until `check` may have something to do. */
	nextMilliseconds(state: AttemptState): number {
		const silentAt = state.hasReportedSilence ? Infinity : this.#silentAt(state);
		return Math.max(0, Math.min(this.#options.end.nextLookAt, this.#failoverAt(state), silentAt, state.suspectAt ?? Infinity) - performance.now());
	}

	/** Reports a silent endpoint; an outcome ends the attempt. */
	check(state: AttemptState): Outcome | undefined {
		const {end, excluded, build, mayLeave, exchange: {dispatcher, crashes, request, service}} = this.#options;
		const now = performance.now();
		const outcome = outcomeAtEnd(end, now);
		if (outcome !== undefined) {
			return outcome;
		}

		const {record} = state.decision;
		if (state.suspectAt !== undefined && now >= state.suspectAt) {
			state.suspectAt = undefined;
			dispatcher.endpoints.report(record, 'unreachable');
		}

		if (!state.hasReportedSilence && now >= this.#silentAt(state)) {
			state.hasReportedSilence = true;
			reportSilence(crashes, request, state);
		}

		if (now < this.#failoverAt(state)) {
			return undefined;
		}

		state.nextFailoverAt = now + failoverSearchMilliseconds;
		return dispatcher.endpoints.hasAnother(service, {excluded, build: build()}, record) && mayLeave()
			? {type: 'failed', verdict: Verdict.mayHaveRun, reason: 'silent', isSilent: true}
			: undefined;
	}

	/** When the request is retried at another endpoint because this one is silent; infinite if it may not run again, its answer could not go on there, or it could not end there before the instance stops. */
	#failoverAt(state: AttemptState): number {
		const {end, retryProgress, forwarder: {lastEventId}, exchange: {caller}} = this.#options;
		return retryProgress.mayFailOver({hasResponse: caller.hasResponse, lastEventId}) && performance.now() < end.lastStartAt ? Math.max(this.#silentAt(state), state.nextFailoverAt) : Infinity;
	}

	/** When the endpoint has sent nothing for too long; infinite if the caller reads too slowly. */
	#silentAt({startedAt, lastEventAt, lastSignAt, decision: {expectedMilliseconds}}: AttemptState): number {
		const {forwarder, exchange: {route: {targetMilliseconds, longestPauseMilliseconds}}} = this.#options;
		if (forwarder.isPaused) {
			return Infinity;
		}

		const timing = {sentAt: startedAt, targetMilliseconds, longestPauseMilliseconds, expectedMilliseconds};
		const silentSinceSignAt = lastSignAt === undefined ? -Infinity : failoverAt({...timing, lastEventAt: lastSignAt});
		return Math.max(failoverAt({...timing, lastEventAt}), silentSinceSignAt);
	}
}

/** How an attempt ends when the time of its request is over; undefined before. An endpoint that the instance's stop leaves no time is not silent, and its request not one that crashes it. */
export function outcomeAtEnd(end: RequestEnd, now: number): Outcome | undefined {
	if (now < end.at) {
		return undefined;
	}

	return end.isStopped ? {type: 'failed', verdict: Verdict.mayHaveRun, reason: 'the instance stops'} : {type: 'expired'};
}
