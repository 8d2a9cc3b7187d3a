import {type Channel} from '../../concurrency/index.js';
import {type Verdict} from '../../model/index.js';
import {type Demand} from '../../policy/dispatch/index.js';
import {incarnationOf, RouteKind} from '../../routing/index.js';
import {type AttemptState} from './attempt-state.js';
import {type ExchangeEvent, type ExchangeOptions} from './exchange-options.js';
import {type NextAttempt, type PlacementSubmission} from './placement-submission.js';
import {type RequestEnd} from './request-end.js';
import {type ResponseForwarder} from './response-forwarder.js';
import {type BegunResponse, type FailedOutcome, type RetryContext, RetryProgress} from './retry-progress.js';
import {type StreamBinding} from './stream-binding.js';
import {type Successor, SuccessorSearch} from './successor-search.js';

export type RequestRetriesOptions = {
	readonly exchange: ExchangeOptions;
	readonly demand: Demand;
	readonly end: RequestEnd;
	readonly binding: StreamBinding;
	readonly forwarder: ResponseForwarder;
	readonly submission: PlacementSubmission;
	readonly inbox: Channel<ExchangeEvent>;
};

/** The retries of one request: whether there is another attempt, what it takes of the allowance of all instances, and where it may go. */
export class RequestRetries {
	static create(options: RequestRetriesOptions): RequestRetries {
		return new RequestRetries(options);
	}

	/** The search for the next endpoint beside an attempt at a silent one. */
	readonly search: SuccessorSearch;
	readonly #options: RequestRetriesOptions;
	readonly #progress: RetryProgress;
	/** Incarnations of endpoints that the request was sent to. */
	readonly #excluded = new Set<string>();

	private constructor(options: RequestRetriesOptions) {
		this.#options = options;
		this.#progress = RetryProgress.create(options.exchange.route);
		this.search = SuccessorSearch.create(options);
	}

	/** The verdict on all attempts together. */
	get verdict(): Verdict {
		return this.#progress.verdict;
	}

	/** What is required of the next endpoint, also beside an attempt that goes on. */
	next(current?: AttemptState): NextAttempt {
		const excluded = current === undefined ? this.#excluded : new Set([...this.#excluded, incarnationOf(current.decision.record)]);
		return {excluded, build: this.#options.binding.build, isIdempotent: this.#progress.isIdempotent};
	}

	/** True if the request may run at one more endpoint while the attempt in progress may still run it. */
	mayFailOver(response: BegunResponse): boolean {
		return this.#progress.mayFailOver(response);
	}

	/**
	 * Whether the request may leave a silent endpoint for another one. A lookup fails at once where no retry is left, and its caller may go to another
	 * instance; a silent engine may still read the prompt of a stream, whose retry is reserved first.
	 */
	mayLeave(): boolean {
		return this.#options.exchange.route.kind !== RouteKind.stream || this.#progress.reserveFailover(this.#context());
	}

	/** Looks for the next endpoint while the attempt goes on: not for a suspended one, whose trial may fail while the endpoint in use goes on. */
	beginSearch(placementId: string, current: AttemptState): void {
		this.search.begin(placementId, {...this.next(current), hasAttempt: true});
	}

	/** Ends the search; the attempt goes on, and the retry that was reserved is released. */
	endSearch(): void {
		if (this.search.progress !== 'none') {
			this.release();
		}
	}

	/** Hands over the place that the search has found beside the last attempt; without one, leaves the line. */
	takeSuccessor(): Successor | undefined {
		const successor = this.search.take();
		this.search.cancel();
		return successor;
	}

	/** Excludes the endpoint of an attempt that has ended. */
	recordEnd({decision}: AttemptState): void {
		this.#excluded.add(incarnationOf(decision.record));
	}

	/** Records that an attempt has ended without its outcome: it may have run. */
	recordUnknownRun(): void {
		this.#progress.recordUnknownRun();
	}

	/** Decides whether a failed attempt is followed by another one, and logs it. */
	decide(outcome: FailedOutcome): boolean {
		const decision = this.#progress.decide(outcome, this.#context());
		this.#options.exchange.log.logRetryDecision(this.#options.exchange, decision);
		return decision.type === 'retry';
	}

	/** Counts the retry that was reserved, if the attempt that is sent is one. */
	recordSent(): void {
		const {dispatcher, service} = this.#options.exchange;
		if (this.#progress.takeReservation()) {
			dispatcher.retries.recordSent(service, performance.now());
		}
	}

	/** Releases what is held for a retry that is not made. */
	release(): void {
		const {dispatcher, service} = this.#options.exchange;
		this.search.cancel();
		if (this.#progress.takeReservation()) {
			dispatcher.retries.release(service, performance.now());
		}
	}

	#context(): RetryContext {
		const {demand, end, forwarder, exchange: {dispatcher, caller, crashes, request}} = this.#options;
		const now = performance.now();
		return {
			hasLeft: caller.hasDisconnected, remainingMilliseconds: end.at - now, mayStart: now < end.lastStartAt, hasResponse: caller.hasResponse, lastEventId: forwarder.lastEventId,
			isQuarantined: () => crashes.isSuspect(request, now),
			reserveRetry: () => dispatcher.reserveRetry(demand, now),
		};
	}
}
