import {Alarm, type AlarmEvent, type Body, channel, receive, tryDeliver, tryReceive} from '../concurrency/index.js';
import {combineVerdicts, Verdict} from '../model/index.js';
import {type Demand} from '../policy/dispatch/index.js';
import {type EndpointRecord, type Route, RouteKind, type RoutingTable, type Workspace} from '../routing/index.js';
import {Attempt, type AttemptEvent} from './attempt.js';
import {AttemptFollower, type Outcome} from './attempt-follower.js';
import {type Caller} from './caller.js';
import {type Decision} from './decision.js';
import {type Dispatcher} from './dispatcher.js';
import {type DecisionLog} from './decision-log.js';
import {type ChannelBook} from './channel-book.js';
import {demandOf, ticketOf} from './ticket.js';
import {type RawHeaders, type RequestCodec, type RequestFacts} from './types.js';

/** What an exchange waits for. Events of an attempt carry its number, so that a stale one shows. */
type ExchangeEvent
	= | AlarmEvent
		| {readonly type: 'left'}
		| {readonly type: 'drained'}
		| {readonly type: 'decided'; readonly decision: Decision}
	/** What bytes have led to; those that go on are passed in the turn in which they came. */
		| {readonly type: 'outcome'; readonly number: number; readonly outcome: Outcome};

export type ExchangeOptions = {
	readonly facts: RequestFacts;
	readonly method: string;
	readonly path: string;
	readonly rawHeaders: RawHeaders;
	readonly body: Uint8Array | undefined;
	readonly table: RoutingTable;
	readonly route: Route;
	readonly service: string;
	readonly workspace: Workspace | undefined;
	readonly caller: Caller;
	readonly codec: RequestCodec;
	readonly dispatcher: Dispatcher;
	readonly channels: ChannelBook;
	readonly log: DecisionLog;
	/** When its first byte was here, on the monotonic clock. */
	readonly arrivedAt: number;
};

/** Events of one exchange that may wait: no more than one of each kind is ever under way. */
const inboxCapacity = 16;
/** An answer up to this size is held until it is whole, so that one cut short can still be asked for again. */
const heldBytes = 512 * 1024;
/**
 * Failure: an endpoint hangs with a request that may be repeated. Symptom: the caller waits for its
 * whole time. After this many targets another endpoint has time left to be late but useful.
 */
const patienceTargets = 2.5;
/** A stream that went quiet for so many of its longest pauses goes on elsewhere, if it may. */
const patiencePauses = 4;
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
	#lastEventId: string | undefined;
	#firstEventAt: number | undefined;
	#waitedMilliseconds = 0;
	#isPaused = false;

	private constructor(options: ExchangeOptions) {
		this.#options = options;
		this.#limitAt = options.arrivedAt + Math.min(options.route.timeoutMilliseconds, options.facts.deadlineMilliseconds ?? Infinity);
		this.#demand = demandOf(options);
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
			...ticketOf(this.#options, this.#demand),
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
				this.#options.dispatcher.ended(event.decision.runId);
			}
		}
	}

	/** One sending, followed to its end. */
	* #attempt(decision: Extract<Decision, {type: 'placed'}>, alarm: Alarm): Body<Outcome> {
		const {dispatcher, channels, codec, facts, method, path, rawHeaders, body, workspace, route} = this.#options;
		const {record, runId} = decision;
		const left = this.#limitAt - performance.now();
		if (left < leastMilliseconds || this.#options.caller.hasLeft) {
			dispatcher.ended(runId);
			return this.#options.caller.hasLeft ? {type: 'left'} : {type: 'expired'};
		}

		this.#sendings += 1;
		this.#attemptNumber += 1;
		const number = this.#attemptNumber;
		const attempt = Attempt.start({
			address: record.address,
			method,
			path,
			headers: codec.forward({
				rawHeaders, bodyBytes: body?.length, endpoint: record.id, workspace,
				milliseconds: Math.floor(left), resumeAfter: this.#lastEventId, fetchFrom: decision.fetch?.address, route,
			}),
			body,
			channels: channels.of(record, this.#options.table.service(record.service)?.largestConnections),
			onEvent: event => {
				const outcome = this.#take(follower, event);
				if (outcome !== undefined) {
					attempt.cancel();
					tryDeliver(this.#inbox, {type: 'outcome', number, outcome});
				}
			},
		});
		const follower: AttemptFollower = AttemptFollower.create({attempt, number, decision, isStream: route.kind === RouteKind.stream, requestId: facts.id, codec});
		const outcome = yield * this.#follow(follower, alarm);
		attempt.cancel();
		this.#isPaused = false;
		dispatcher.ended(runId);
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
					this.#isPaused = false;
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
		if (!this.#isIdempotent || this.#runs + 1 >= route.largestAttempts || this.#isPaused) {
			return Infinity;
		}

		if (follower.lastEventAt !== undefined) {
			return follower.lastEventAt + ((route.longestPauseMilliseconds ?? route.targetMilliseconds) * patiencePauses);
		}

		return sentAt + Math.max(route.targetMilliseconds * patienceTargets, follower.decision.expectedMilliseconds * 2);
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

	#take(follower: AttemptFollower, event: AttemptEvent): Outcome | undefined {
		switch (event.type) {
			case 'head': {
				return follower.head(event);
			}

			case 'data': {
				return this.#takeData(follower, event.bytes);
			}

			case 'end': {
				return this.#takeEnd(follower);
			}

			case 'broken': {
				return {type: 'failed', verdict: event.verdict, reason: event.reason, isUnsent: event.verdict === Verdict.notRun};
			}
		}
	}

	#takeData(follower: AttemptFollower, bytes: Uint8Array): Outcome | undefined {
		if (follower.isPassing) {
			this.#write(follower, bytes);
			return undefined;
		}

		if (follower.isStream) {
			return this.#takeEvents(follower, bytes);
		}

		follower.hold(bytes);
		if (follower.heldBytes > heldBytes) {
			this.#options.caller.head(follower.status, this.#options.codec.answer(follower.rawHeaders));
			this.#write(follower, follower.takeHeld());
			follower.isPassing = true;
		}

		return undefined;
	}

	#takeEvents(follower: AttemptFollower, bytes: Uint8Array): Outcome | undefined {
		const {caller, codec, dispatcher} = this.#options;
		let events;
		try {
			events = follower.splitter.push(bytes);
		} catch (error) {
			return {type: 'failed', verdict: Verdict.mayHaveRun, reason: String(error)};
		}

		for (const event of events) {
			const now = performance.now();
			if (follower.firstEventAt === undefined) {
				dispatcher.firstEvent(follower.decision.runId);
				this.#firstEventAt ??= now;
			}

			follower.event(now);
			if (!isAfter(event.id, this.#lastEventId)) {
				return {type: 'failed', verdict: Verdict.mayHaveRun, reason: `event ${event.id} after ${this.#lastEventId}`};
			}

			if (!caller.hasAnswer) {
				caller.head(follower.status, codec.answer(follower.rawHeaders));
			}

			this.#lastEventId = event.id ?? this.#lastEventId;
			this.#write(follower, event.bytes);
		}

		return undefined;
	}

	#write(follower: AttemptFollower, bytes: Uint8Array): void {
		const hasRoom = this.#options.caller.write(bytes, () => {
			tryDeliver(this.#inbox, {type: 'drained'});
		});
		if (!hasRoom && !this.#isPaused) {
			this.#isPaused = true;
			follower.attempt.pause();
		}
	}

	#takeEnd(follower: AttemptFollower): Outcome {
		const {caller, codec} = this.#options;
		if (follower.isPassing) {
			caller.end();
			return {type: 'done'};
		}

		if (follower.isStream) {
			return this.#endStream(follower);
		}

		const answer = {status: follower.status, headers: follower.rawHeaders, body: follower.takeHeld()};
		if (follower.isFailure) {
			return {type: 'failed', verdict: Verdict.ran, reason: `status ${follower.status}`, endpointAnswer: answer};
		}

		caller.head(answer.status, codec.answer(answer.headers));
		caller.end(answer.body);
		return {type: 'done'};
	}

	#endStream(follower: AttemptFollower): Outcome {
		const {caller, codec} = this.#options;
		if (follower.splitter.rest.length > 0) {
			return {type: 'failed', verdict: Verdict.mayHaveRun, reason: 'ended within an event'};
		}

		if (!caller.hasAnswer) {
			caller.head(follower.status, codec.answer(follower.rawHeaders));
		}

		caller.end();
		return {type: 'done'};
	}

	#judge(record: EndpointRecord, outcome: Outcome, follower: AttemptFollower): void {
		const {dispatcher} = this.#options;
		if (outcome.type === 'done') {
			dispatcher.endpoints.report(record, 'answered');
			if (!follower.isStream && follower.decision.candidates > 0) {
				dispatcher.book.learnWork(record.service, performance.now() - follower.startedAt);
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
		const canContinue = !caller.hasAnswer || (route.kind === RouteKind.stream && route.resumable && this.#lastEventId !== undefined);
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
		log.finished(this.#options, {outcome: outcome.type, reason: outcome.type === 'failed' ? outcome.reason : undefined, sendings: this.#sendings, verdict: this.#verdict, firstEventAt: this.#firstEventAt});
		if (outcome.type === 'done' || outcome.type === 'left') {
			return;
		}

		if (caller.hasAnswer) {
			caller.breakOff();
			return;
		}

		if (outcome.type === 'failed' && outcome.endpointAnswer !== undefined) {
			caller.head(outcome.endpointAnswer.status, codec.answer(outcome.endpointAnswer.headers));
			caller.end(outcome.endpointAnswer.body);
			return;
		}

		const hasRun = this.#verdict !== Verdict.notRun || (outcome.type === 'expired' && this.#sendings > 0);
		caller.answer(hasRun
			? {status: outcome.type === 'expired' ? 504 : 502, message: 'The endpoint gave no whole answer; the request may have run.', headers: codec.ownAnswer(facts)}
			: {status: 503, message: 'The request has not run.', headers: codec.ownAnswer(facts), retryAfterMilliseconds});
	}
}

/** Event ids that are numbers only rise; others say nothing. */
function isAfter(id: string | undefined, last: string | undefined): boolean {
	if (id === undefined || last === undefined || !/^\d+$/v.test(id) || !/^\d+$/v.test(last)) {
		return true;
	}

	return Number(id) === Number(last) + 1;
}
