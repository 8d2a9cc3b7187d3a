import {Verdict} from '../../model/index.js';
import {failoverAt} from '../../policy/dispatch/index.js';
import {type AttemptState, type Outcome} from './attempt-state.js';
import {type ExchangeOptions} from './exchange-options.js';
import {reportSilence} from './outcome-report.js';
import {type RequestEnd} from './request-end.js';
import {type RequestRetries} from './request-retries.js';
import {type ResponseForwarder} from './response-forwarder.js';

/** Interval between searches for another endpoint while the one in use is silent and no other one is available. */
const failoverSearchMilliseconds = 50;

const silent: Outcome = {type: 'failed', verdict: Verdict.mayHaveRun, reason: 'silent', isSilent: true};

export type AttemptTimeoutsOptions = {
	readonly exchange: ExchangeOptions;
	readonly end: RequestEnd;
	readonly retries: RequestRetries;
	readonly forwarder: ResponseForwarder;
	/** Under which the request asks for its next place. */
	readonly placementId: () => string;
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
		return Math.max(0, Math.min(this.#options.end.nextLookAt, Math.max(this.#failoverAt(state), state.nextFailoverAt), silentAt, state.suspectAt ?? Infinity) - performance.now());
	}

	/** Reports a silent endpoint; an outcome ends the attempt. */
	check(state: AttemptState): Outcome | undefined {
		const {end, exchange: {dispatcher, crashes, request}} = this.#options;
		const now = performance.now();
		const outcome = outcomeAtEnd(end, now);
		if (outcome !== undefined) {
			return outcome;
		}

		if (state.suspectAt !== undefined && now >= state.suspectAt) {
			state.suspectAt = undefined;
			dispatcher.endpoints.report(state.decision.record, 'unreachable');
		}

		if (!state.hasReportedSilence && now >= this.#silentAt(state)) {
			state.hasReportedSilence = true;
			reportSilence(crashes, request, state);
		}

		return this.#checkFailover(state, now);
	}

	/** Called when the search for the next endpoint was decided; an outcome ends the attempt, for the place that was found. */
	checkSuccessor(state: AttemptState): Outcome | undefined {
		const {retries, exchange: {dispatcher}} = this.#options;
		const {progress, record} = retries.search;
		const now = performance.now();
		if (record !== undefined && !state.hasOutcome && now >= this.#failoverAt(state) && dispatcher.endpoints.isOpen(record, now) && retries.mayLeave()) {
			return silent;
		}

		if (progress === 'placed' || progress === 'refused') {
			retries.endSearch();
		}

		return undefined;
	}

	#checkFailover(state: AttemptState, now: number): Outcome | undefined {
		const {retries, placementId, exchange: {dispatcher, caller, service}} = this.#options;
		if (now < this.#failoverAt(state)) {
			retries.endSearch();
			return undefined;
		}

		if (now < state.nextFailoverAt) {
			return undefined;
		}

		state.nextFailoverAt = now + failoverSearchMilliseconds;
		if (retries.search.progress !== 'none' || !dispatcher.endpoints.hasAnother(service, retries.next(), state.decision.record) || !retries.mayLeave()) {
			return undefined;
		}

		// A request that its caller has nothing of waits in the line, or fails there, and its caller may go to another instance.
		if (!caller.hasResponse) {
			return silent;
		}

		this.#reportUnreachable(state);
		state.searches += 1;
		retries.beginSearch(placementId(), state);
		return undefined;
	}

	/** Other requests avoid an endpoint that is silent, also while this one finds no place elsewhere. */
	#reportUnreachable(state: AttemptState): void {
		if (!state.hasReportedUnreachable) {
			state.hasReportedUnreachable = true;
			this.#options.exchange.dispatcher.endpoints.report(state.decision.record, 'unreachable');
		}
	}

	/** When the request is retried at another endpoint because this one is silent; infinite if it may not run again, its answer could not go on there, or it could not end there before the instance stops. */
	#failoverAt(state: AttemptState): number {
		const {end, retries, forwarder: {lastEventId}, exchange: {caller}} = this.#options;
		return retries.mayFailOver({hasResponse: caller.hasResponse, lastEventId}) && performance.now() < end.lastStartAt ? this.#silentAt(state) : Infinity;
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
