import {Alarm, type Body, channel, receive, tryDeliver} from '../../concurrency/index.js';
import {Verdict} from '../../model/index.js';
import {type Demand} from '../../policy/dispatch/index.js';
import {buildOf, RouteKind} from '../../routing/index.js';
import {type Decision} from '../placement/index.js';
import {RequestUsage} from '../duties/index.js';
import {ResponseForwarder} from './response-forwarder.js';
import {AttemptSender} from './attempt-sender.js';
import {type AttemptState, type Outcome, type PlacedDecision} from './attempt-state.js';
import {AttemptTimeouts} from './attempt-timeouts.js';
import {attemptResultOf, givenUpOf, reportCrashEvidence, reportOutcome, reportOutput, reportPauses, signOf} from './outcome-report.js';
import {type ExchangeEvent, type ExchangeOptions} from './exchange-options.js';
import {sendErrorResponse} from './error-response.js';
import {HeldRun} from './held-run.js';
import {demandOf} from './placement-request.js';
import {PlacementSubmission} from './placement-submission.js';
import {PlacementWait} from './placement-wait.js';
import {RequestEnd} from './request-end.js';
import {StreamBinding} from './stream-binding.js';
import {RequestRetries} from './request-retries.js';
import {minRunMilliseconds} from './retry-progress.js';

/** Capacity of the inbox; more than the number of event types, of which at most one each is pending at a time. */
const inboxCapacity = 16;
/** Retry delay for refused callers where there is no better estimate. */
const defaultRetryMilliseconds = 300;

/** One request, from its complete arrival to the final response. */
export class Exchange {
	static create(options: ExchangeOptions): Exchange {
		return new Exchange(options);
	}

	readonly #options: ExchangeOptions;
	readonly #inbox = channel<ExchangeEvent>(inboxCapacity);
	readonly #alarm = Alarm.create(this.#inbox);
	readonly #end: RequestEnd;
	readonly #demand: Demand;
	readonly #retries: RequestRetries;
	/** Number of attempts that were sent; the newest has this number. */
	#attempts = 0;
	/** When the first attempt was sent. */
	#sentAt: number | undefined;
	readonly #forwarder: ResponseForwarder;
	readonly #sender: AttemptSender;
	readonly #timeouts: AttemptTimeouts;
	readonly #usage: RequestUsage;
	#waitedMilliseconds = 0;
	readonly #binding: StreamBinding;
	readonly #placementWait: PlacementWait;

	private constructor(options: ExchangeOptions) {
		this.#options = options;
		this.#end = RequestEnd.create(options);
		this.#binding = StreamBinding.create(options);
		this.#demand = demandOf(options, options.dispatcher.outputs);
		const submission = PlacementSubmission.create({exchange: options, demand: this.#demand, end: this.#end});
		this.#placementWait = PlacementWait.create({exchange: options, submission, inbox: this.#inbox, alarm: this.#alarm, end: this.#end});
		this.#usage = RequestUsage.create(options.usage, options.workspace?.name);
		this.#forwarder = ResponseForwarder.create({
			caller: options.caller,
			codec: options.codec,
			isResumable: options.route.resumable,
			onFirstEvent: state => {
				this.#usage.recordFirstEvent();
				options.dispatcher.recordFirstEvent(state.decision.runId);
				this.#binding.bindTo(buildOf(state.decision.record));
			},
			onPace(state, window) {
				options.dispatcher.recordPace(state.decision.runId, window);
			},
			pauseCircumstances({decision: {record}}) {
				const {backlogMilliseconds, running} = options.dispatcher.loadTracker.load(record.id, performance.now());
				return {lagMilliseconds: options.lateness.milliseconds, backlogMilliseconds, running};
			},
			onDrained: () => {
				tryDeliver(this.#inbox, {type: 'drained'});
			},
		});
		this.#sender = AttemptSender.create({exchange: options, end: this.#end, forwarder: this.#forwarder, inbox: this.#inbox});
		this.#retries = RequestRetries.create({exchange: options, demand: this.#demand, end: this.#end, binding: this.#binding, forwarder: this.#forwarder, submission, inbox: this.#inbox});
		this.#timeouts = AttemptTimeouts.create({
			exchange: options, end: this.#end, retries: this.#retries, forwarder: this.#forwarder, placementId: () => this.#placementId,
		});
	}

	/** Runs until the final response is sent or the caller has disconnected. An error ends this request alone. */
	* run(): Body<void> {
		using _alarm = this.#alarm;
		try {
			yield * this.#serve();
		} catch (error) {
			this.#endByError(error);
		}
	}

	* #serve(): Body<void> {
		const {caller, dispatcher, service, stop} = this.#options;
		using _listener = stop.onBegin(() => {
			tryDeliver(this.#inbox, {type: 'stopping'});
		});
		caller.onDisconnect(() => {
			tryDeliver(this.#inbox, {type: 'left'});
		});
		dispatcher.retries.countRequest(service, performance.now());
		const mayGoOn = yield * this.#binding.find();
		if (!mayGoOn || caller.hasDisconnected) {
			this.#finish(caller.hasDisconnected ? {type: 'left'} : {type: 'failed', verdict: Verdict.notRun, reason: 'the build that began the stream is not known'});
			return;
		}

		for (;;) {
			const decision = yield * this.#awaitPlacement();
			if (decision === undefined) {
				return;
			}

			const outcome = yield * this.#runAttempt(decision);
			if (!this.#shouldRetry(outcome)) {
				return;
			}
		}
	}

	/** Waits for a placement, unless the attempt before has left one; undefined if the exchange ended without one. */
	* #awaitPlacement(): Body<PlacedDecision | undefined> {
		const successor = this.#retries.takeSuccessor();
		if (successor !== undefined) {
			this.#waitedMilliseconds = successor.waitedMilliseconds;
			return successor.decision;
		}

		const result = yield * this.#placementWait.run(this.#placementId, this.#retries.next());
		if (result.type === 'ended') {
			this.#finish(result.outcome);
			return undefined;
		}

		this.#waitedMilliseconds = result.waitedMilliseconds;
		return this.#acceptDecision(result.decision);
	}

	get #placementId(): string {
		return `${this.#options.facts.id}#${this.#attempts}`;
	}

	/** Returns a placement; a refusal ends the exchange. */
	#acceptDecision(decision: Decision): PlacedDecision | undefined {
		if (decision.type === 'placed') {
			return decision;
		}

		this.#options.log.logRefusal(this.#options, decision, this.#waitedMilliseconds);
		this.#finish({type: 'failed', verdict: this.#retries.verdict, reason: decision.reason}, decision.retryAfterMilliseconds);
		return undefined;
	}

	/** Runs one attempt to its end. */
	* #runAttempt(decision: PlacedDecision): Body<Outcome> {
		const {dispatcher, caller, route} = this.#options;
		using run = HeldRun.create({dispatcher, usage: this.#usage, runId: decision.runId});
		const now = performance.now();
		if (this.#end.at - now < minRunMilliseconds || caller.hasDisconnected) {
			return caller.hasDisconnected ? {type: 'left'} : {type: 'expired'};
		}

		this.#countAttempt();
		const state = this.#sender.send({decision, number: this.#attempts, remainingMilliseconds: (route.kind === RouteKind.stream ? this.#end.onceBegunAt : this.#end.at) - now});
		run.attempt = state;
		const outcome = yield * this.#awaitOutcome(state);
		this.#endAttempt(state, outcome, run);
		return outcome;
	}

	#countAttempt(): void {
		this.#attempts += 1;
		this.#sentAt ??= performance.now();
		this.#retries.recordSent();
		this.#usage.recordSent(this.#options.route.kind === RouteKind.stream);
	}

	* #awaitOutcome(state: AttemptState): Body<Outcome> {
		for (;;) {
			// Forwarded bytes can postpone a timeout without an event here; `check` compares the times again when the timer fires.
			this.#alarm.set(this.#timeouts.nextMilliseconds(state));
			const outcome = this.#handleEvent(state, (yield * receive(this.#inbox))!);
			if (outcome !== undefined) {
				return outcome;
			}
		}
	}

	#handleEvent(state: AttemptState, event: ExchangeEvent): Outcome | undefined {
		switch (event.type) {
			case 'left': {
				return {type: 'left'};
			}

			case 'drained': {
				this.#forwarder.isPaused = false;
				state.recordSign(performance.now());
				state.attempt.resume();
				return undefined;
			}

			case 'decided':
			case 'stopping': {
				return undefined;
			}

			case 'alarm': {
				// An alarm of the turn in which the answer is read stands before it; it would abort a whole response.
				return this.#alarm.hasFired && !state.hasOutcome ? this.#timeouts.check(state) : undefined;
			}

			case 'successor': {
				return this.#timeouts.checkSuccessor(state);
			}

			case 'error': {
				throw event.error;
			}

			case 'outcome': {
				return event.number === state.number ? event.outcome : undefined;
			}
		}
	}

	/** Cancels an attempt that has an outcome, and reports and logs what it has shown. */
	#endAttempt(state: AttemptState, outcome: Outcome, run: HeldRun): void {
		const {dispatcher, log} = this.#options;
		const {attempt, decision} = state;
		const givenUp = givenUpOf(attempt, outcome);
		const hasBegun = attempt.mayHaveReachedEndpoint && !(outcome.type === 'failed' && outcome.verdict === Verdict.notRun);
		run.release({hasBegun, sign: signOf(outcome, state)});
		this.#forwarder.isPaused = false;
		this.#retries.recordEnd(state);
		reportOutcome(dispatcher, outcome, state);
		reportOutput(this.#options, outcome, state);
		reportPauses(this.#options, outcome, state);
		reportCrashEvidence(this.#options, outcome, state);
		log.logAttempt(this.#options, decision, attemptResultOf(state, outcome, {waitedMilliseconds: this.#waitedMilliseconds, givenUp}));
	}

	/** Decides whether the request is retried; if not, its final response is sent at once. */
	#shouldRetry(outcome: Outcome): boolean {
		if (outcome.type === 'failed' && this.#retries.decide(outcome)) {
			return true;
		}

		this.#finish(outcome);
		return false;
	}

	/** Ends the request after an error of this process; one that was sent may have run. */
	#endByError(error: unknown): void {
		const {log, facts, route, caller} = this.#options;
		log.logError(error, {request: facts.id, route: route.name, sendings: this.#attempts});
		if (this.#attempts > 0) {
			this.#retries.recordUnknownRun();
		}

		try {
			this.#finish({type: 'failed', verdict: this.#retries.verdict, reason: 'an error of this process'});
		} catch (error_) {
			log.logError(error_, {request: facts.id, route: route.name, sendings: this.#attempts});
			caller.abort();
		}
	}

	#finish(outcome: Outcome, retryAfterMilliseconds = defaultRetryMilliseconds): void {
		const {caller, codec, facts, log, stop, route, lateness, readAt, arrivedAt} = this.#options;
		if (outcome.type === 'done' && this.#sentAt !== undefined) {
			stop.recordRun(route, performance.now() - this.#sentAt);
		}

		this.#retries.release();
		log.logResult(this.#options, {
			outcome: outcome.type, reason: outcome.type === 'failed' ? outcome.reason : undefined, sendings: this.#attempts,
			verdict: this.#retries.verdict, firstEventAt: this.#forwarder.firstEventAt,
			leftMilliseconds: this.#end.leftMilliseconds, limit: this.#end.limitedBy, unreadMilliseconds: readAt - arrivedAt,
			lagMilliseconds: lateness.milliseconds, longestLagMilliseconds: lateness.longestMilliseconds,
		});
		if (outcome.type === 'done' || outcome.type === 'left') {
			return;
		}

		sendErrorResponse({caller, codec, facts}, outcome, {verdict: this.#retries.verdict, hasBeenSent: this.#attempts > 0, retryAfterMilliseconds});
	}
}
