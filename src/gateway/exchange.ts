import {Alarm, type Body, channel, receive, tryDeliver, tryReceive} from '../concurrency/index.js';
import {combineVerdicts, Verdict} from '../model/index.js';
import {type Demand, failoverAt} from '../policy/dispatch/index.js';
import {type EndpointRecord, RouteKind} from '../routing/index.js';
import {AnswerPasser} from './response-forwarder.js';
import {Attempt} from './attempt.js';
import {AttemptFollower, type Outcome} from './attempt-state.js';
import {type Decision} from './decision.js';
import {type ExchangeEvent, type ExchangeOptions} from './exchange-options.js';
import {answerFinally} from './error-response.js';
import {demandOf, placementRequestOf} from './placement-request.js';

/** Events of one exchange that may wait: no more than one of each kind is ever under way. */
const inboxCapacity = 16;
/** Less than this left is no time to run anything in. */
const leastMilliseconds = 15;
/** Refused callers without a better figure come back after so long. */
const defaultRetryMilliseconds = 300;

/** One request from its whole arrival to its final answer. */
export class Exchange {
	static create(options: ExchangeOptions): Exchange {
		return new Exchange(options);
	}

	readonly #options: ExchangeOptions;
	readonly #inbox = channel<ExchangeEvent>(inboxCapacity);
	readonly #alarm = Alarm.create(this.#inbox);
	readonly #limitAt: number;
	readonly #demand: Demand;
	readonly #excluded = new Set<string>();
	#verdict: Verdict = Verdict.notRun;
	#sendings = 0;
	#runs = 0;
	#attemptNumber = 0;
	readonly #answer: AnswerPasser;
	#waitedMilliseconds = 0;

	private constructor(options: ExchangeOptions) {
		this.#options = options;
		this.#limitAt = options.arrivedAt + Math.min(options.route.timeoutMilliseconds, options.facts.deadlineMilliseconds ?? Infinity);
		this.#demand = demandOf(options);
		this.#answer = AnswerPasser.create({
			caller: options.caller,
			codec: options.codec,
			onFirstEvent(follower) {
				options.dispatcher.recordFirstEvent(follower.decision.runId);
			},
			onDrained: () => {
				tryDeliver(this.#inbox, {type: 'drained'});
			},
		});
	}

	get #isIdempotent(): boolean {
		const {route} = this.#options;
		return route.kind === RouteKind.safe || (route.kind === RouteKind.stream && route.resumable);
	}

	/** Runs until the final answer is out or the caller has left. */
	* run(): Body<void> {
		using alarm = this.#alarm;
		const {caller, dispatcher, service} = this.#options;
		caller.onLeft(() => {
			tryDeliver(this.#inbox, {type: 'left'});
		});
		dispatcher.retries.countRequest(service, performance.now());
		for (;;) {
			const decision = yield * this.#place();
			if (decision === undefined) {
				return;
			}

			const outcome = yield * this.#attempt(decision, alarm);
			if (!this.#goesOn(outcome)) {
				return;
			}
		}
	}

	/** Waits for a place; undefined once the exchange is over without one. */
	* #place(): Body<Extract<Decision, {type: 'placed'}> | undefined> {
		const {facts, dispatcher, caller, log, route, arrivedAt, codec} = this.#options;
		const now = performance.now();
		const patienceAt = caller.hasAnswer ? Infinity : arrivedAt + codec.patienceMilliseconds(route);
		const ticketId = `${facts.id}#${this.#sendings}`;
		this.#alarm.set(this.#limitAt - now);
		dispatcher.submit({
			...placementRequestOf(this.#options, this.#demand),
			id: ticketId,
			lastStartAt: Math.min(this.#limitAt - leastMilliseconds, patienceAt),
			excluded: this.#excluded,
			isIdempotent: this.#isIdempotent,
			onDecision: decision => {
				tryDeliver(this.#inbox, {type: 'decided', decision});
			},
		});
		for (;;) {
			const event = (yield * receive(this.#inbox))!;
			if (event.type === 'decided') {
				this.#waitedMilliseconds = performance.now() - now;
				if (event.decision.type === 'placed') {
					return event.decision;
				}

				log.refused(this.#options, event.decision, this.#waitedMilliseconds);

				this.#finish({type: 'failed', verdict: this.#verdict, reason: event.decision.reason}, event.decision.retryAfterMilliseconds);
				return undefined;
			}

			if (event.type === 'left' || (event.type === 'alarm' && this.#alarm.hasFired)) {
				dispatcher.withdraw(ticketId);
				this.#returnLatePlace();
				this.#finish(event.type === 'left' ? {type: 'left'} : {type: 'expired'});
				return undefined;
			}
		}
	}

	/** A place may have been given in the same turn in which the caller left: it is given back. */
	#returnLatePlace(): void {
		for (let event = tryReceive(this.#inbox); event !== undefined; event = tryReceive(this.#inbox)) {
			if (event.type === 'decided' && event.decision.type === 'placed') {
				this.#options.dispatcher.recordEnd(event.decision.runId);
			}
		}
	}

	/** One sending, followed to its end. */
	* #attempt(decision: Extract<Decision, {type: 'placed'}>, alarm: Alarm): Body<Outcome> {
		const {dispatcher, channels, codec, facts, method, path, rawHeaders, body, workspace, route} = this.#options;
		const {record, runId} = decision;
		const left = this.#limitAt - performance.now();
		if (left < leastMilliseconds || this.#options.caller.hasLeft) {
			dispatcher.recordEnd(runId);
			return this.#options.caller.hasLeft ? {type: 'left'} : {type: 'expired'};
		}

		this.#sendings += 1;
		this.#attemptNumber += 1;
		const number = this.#attemptNumber;
		const attempt = Attempt.start({
			address: record.address,
			method,
			path,
			headers: codec.requestHeaders({
				rawHeaders, bodyBytes: body?.length, endpoint: record.id, workspace,
				remainingMilliseconds: Math.floor(left), resumeAfter: this.#answer.lastEventId, fetchFrom: decision.fetch?.address, route,
			}),
			body,
			connectionPool: channels.of(record, this.#options.table.service(record.service)?.largestConnections),
			onEvent: event => {
				const outcome = this.#answer.take(follower, event);
				if (outcome !== undefined) {
					attempt.cancel();
					tryDeliver(this.#inbox, {type: 'outcome', number, outcome});
				}
			},
		});
		const follower: AttemptFollower = AttemptFollower.create({attempt, number, decision, isStream: route.kind === RouteKind.stream, requestId: facts.id, codec});
		const outcome = yield * this.#follow(follower, alarm);
		attempt.cancel();
		this.#answer.isPaused = false;
		dispatcher.recordEnd(runId);
		this.#excluded.add(record.id);
		this.#judge(record, outcome, follower);
		this.#options.log.sent(this.#options, decision, {
			waitedMilliseconds: this.#waitedMilliseconds, startedAt: follower.startedAt, firstEventAt: follower.firstEventAt, events: follower.events, pauseMilliseconds: follower.longestPauseMilliseconds,
			outcome: outcome.type, reason: outcome.type === 'failed' ? outcome.reason : undefined, status: follower.status,
		});
		return outcome;
	}

	* #follow(follower: AttemptFollower, alarm: Alarm): Body<Outcome> {
		const sentAt = performance.now();
		for (;;) {
			// What moves the alarm further away is seen when it fires.
			alarm.set(this.#nextAlarm(follower, sentAt));
			const event = (yield * receive(this.#inbox))!;
			switch (event.type) {
				case 'left': {
					return {type: 'left'};
				}

				case 'drained': {
					this.#answer.isPaused = false;
					follower.attempt.resume();
					break;
				}

				case 'decided': {
					break;
				}

				case 'alarm': {
					const outcome = alarm.hasFired ? this.#timeOut(follower, sentAt) : undefined;
					if (outcome !== undefined) {
						return outcome;
					}

					break;
				}

				case 'outcome': {
					if (event.number === follower.number) {
						return event.outcome;
					}
				}
			}
		}
	}

	#nextAlarm(follower: AttemptFollower, sentAt: number): number {
		const now = performance.now();
		return Math.max(0, Math.min(this.#limitAt, this.#moveAt(follower, sentAt), follower.suspectAt ?? Infinity) - now);
	}

	/** When the request goes elsewhere, because this endpoint is silent; never, if it may run only once. */
	#moveAt(follower: AttemptFollower, sentAt: number): number {
		const {route} = this.#options;
		if (!this.#isIdempotent || this.#runs + 1 >= route.largestAttempts || this.#answer.isPaused) {
			return Infinity;
		}

		const {targetMilliseconds, longestPauseMilliseconds} = route;
		return failoverAt({sentAt, lastEventAt: follower.lastEventAt, targetMilliseconds, longestPauseMilliseconds, expectedMilliseconds: follower.decision.expectedMilliseconds});
	}

	#timeOut(follower: AttemptFollower, sentAt: number): Outcome | undefined {
		const now = performance.now();
		if (now >= this.#limitAt) {
			return {type: 'expired'};
		}

		if (follower.suspectAt !== undefined && now >= follower.suspectAt) {
			follower.suspectAt = undefined;
			this.#options.dispatcher.endpoints.report(follower.decision.record, 'unreachable');
		}

		if (now >= this.#moveAt(follower, sentAt) && this.#options.dispatcher.endpoints.hasAnother(this.#demand.service, this.#excluded, follower.decision.record)) {
			return {type: 'failed', verdict: Verdict.mayHaveRun, reason: 'silent'};
		}

		// Nothing else to go to: look again after another pause.
		follower.lastEventAt = follower.lastEventAt === undefined ? undefined : now;
		return undefined;
	}

	#judge(record: EndpointRecord, outcome: Outcome, follower: AttemptFollower): void {
		const {dispatcher} = this.#options;
		if (outcome.type === 'done') {
			dispatcher.endpoints.report(record, 'answered');
			if (!follower.isStream && follower.decision.candidates > 0) {
				dispatcher.loadTracker.recordServiceTime(record.service, performance.now() - follower.startedAt);
			}
		} else if (outcome.type === 'failed') {
			dispatcher.endpoints.report(record, follower.status > 0 && outcome.verdict !== Verdict.mayHaveRun ? 'failed' : 'unreachable');
		}
	}

	/** Decides whether the request is sent again; if not, its final answer goes out at once. */
	#goesOn(outcome: Outcome): boolean {
		if (outcome.type !== 'failed') {
			this.#finish(outcome);
			return false;
		}

		const {route, dispatcher, service, caller} = this.#options;
		this.#runs += outcome.verdict === Verdict.notRun ? 0 : 1;
		this.#verdict = combineVerdicts(this.#verdict, outcome.verdict);
		const mayRepeat = outcome.verdict === Verdict.notRun || (this.#isIdempotent && this.#runs < route.largestAttempts);
		const canContinue = !caller.hasAnswer || (route.kind === RouteKind.stream && route.resumable && this.#answer.lastEventId !== undefined);
		const now = performance.now();
		const goesOn = mayRepeat && canContinue && !caller.hasLeft && this.#limitAt - now > leastMilliseconds
			&& (outcome.isUnsent === true || dispatcher.retries.takeRetry(service, dispatcher.view.instances, now));
		if (!goesOn) {
			this.#finish(outcome);
		}

		return goesOn;
	}

	#finish(outcome: Outcome, retryAfterMilliseconds = defaultRetryMilliseconds): void {
		const {caller, codec, facts, log} = this.#options;
		log.finished(this.#options, {outcome: outcome.type, reason: outcome.type === 'failed' ? outcome.reason : undefined, sendings: this.#sendings, verdict: this.#verdict, firstEventAt: this.#answer.firstEventAt});
		if (outcome.type === 'done' || outcome.type === 'left') {
			return;
		}

		answerFinally({caller, codec, facts}, outcome, {verdict: this.#verdict, hasBeenSent: this.#sendings > 0, retryAfterMilliseconds});
	}
}
