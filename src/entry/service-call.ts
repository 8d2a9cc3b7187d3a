import {Alarm, type Body, channel, type Channel, receive, sleep, spawn, tryDeliver, wait} from '../concurrency/index.js';
import {
	combineVerdicts, createFailure, type Failure, FailureKind, RequestError, Verdict,
} from '../model/index.js';
import {type MessageOf, type StreamMessage} from '../wire/index.js';
import {ReasonCode} from '../telemetry/index.js';
import {ClaimGuard, type ClaimStop} from './claims/index.js';
import {drainedOrClosed} from './protocol/index.js';
import {inboxCapacity, type RequestEvent} from './request-event.js';
import {type ServiceCallOptions} from './service-call-options.js';
import {ServiceResponse} from './service-response.js';
import {type Slot} from './slot.js';
import {SlotFinder, type SlotFound} from './slot-finder.js';

/** Parts of a response that a side may send ahead of what the caller has read. */
const responseWindow = 16;
/** Time without progress after which the connection counts as hung; longer than a service may take for its response head. */
const stallTimeoutMilliseconds = 70_000;

type AttemptEnd
	= | {readonly type: 'whole'}
		| {readonly type: 'caller-left'}
		| {readonly type: 'failed'; readonly failure: Failure};

/**
 * One call of a plain service. A request body that arrived in one part can be sent again if the verdict allows
 * it; a streamed body cannot, since it is not buffered.
 */
export class ServiceCallInProgress {
	static create(options: ServiceCallOptions): ServiceCallInProgress {
		return new ServiceCallInProgress(options);
	}

	readonly inbox: Channel<RequestEvent> = channel<RequestEvent>(inboxCapacity);
	readonly #options: ServiceCallOptions;
	readonly #timer: Alarm;
	readonly #finder: SlotFinder;
	readonly #claim: ClaimGuard | undefined;
	readonly #response: ServiceResponse;
	#receivedParts = 0;
	#attempts = 0;
	#verdict: Verdict = Verdict.notRun;

	private constructor(options: ServiceCallOptions) {
		this.#options = options;
		this.#timer = Alarm.create(this.inbox);
		const {claim} = options;
		this.#claim = claim && ClaimGuard.create(claim.manager, claim.request, () => {
			tryDeliver(this.inbox, {type: 'claim-stopped'});
		});
		this.#finder = SlotFinder.create({...options, inbox: this.inbox, timer: this.#timer, claim: this.#claim, lastStartAt: () => options.stop.lastStartAt(options)});
		this.#response = ServiceResponse.create(options.response, options.summary.id);
	}

	/** The caller closed its connection, or its request body ended early. */
	callerLeft(): void {
		tryDeliver(this.inbox, {type: 'caller-left'});
	}

	* run(): Body<void> {
		try {
			yield * this.#runAttempts();
		} finally {
			this.#timer[Symbol.dispose]();
			this.#options.body.stop();
			this.inbox.close();
		}
	}

	* #runAttempts(): Body<void> {
		const {telemetry, summary} = this.#options;
		for (;;) {
			const found = yield * this.#finder.find();
			const end = found.type === 'slot' ? yield * this.#runAttempt(found.slot) : attemptEndOf(found);
			if (end.type !== 'failed') {
				yield * this.#endClaim(end, found);
				telemetry.record(summary.id, end.type === 'whole' ? ReasonCode.finished : ReasonCode.cancelled);
				return;
			}

			this.#verdict = combineVerdicts(this.#verdict, end.failure.verdict);
			if (found.type !== 'slot' || !(yield * this.#awaitRetry(end.failure))) {
				const verdict = this.#claim ? yield * this.#claim.failed(this.#verdict, this.#finder.deadline) : this.#verdict;
				const failure = {...end.failure, verdict};
				telemetry.refused(summary.id, failure);
				this.#response.fail(failure);
				return;
			}

			this.#finder.exclude(found.slot.endpoint);
		}
	}

	* #endClaim(end: AttemptEnd, found: SlotFound): Body<void> {
		if (end.type === 'whole' && found.type === 'slot') {
			if (this.#claim) {
				yield * this.#claim.finished(found.slot.endpoint);
			}

			return;
		}

		this.#claim?.abandoned();
	}

	* #awaitRetry(failure: Failure): Body<boolean> {
		const {body, summary, retries} = this.#options;
		if (!body.isComplete || this.#response.hasStarted) {
			return false;
		}

		const decision = retries.decide({
			failure, attempts: this.#attempts, idempotent: summary.idempotent, isBodySent: true, deadline: this.#finder.deadline,
		});
		if (decision.type === 'give-up') {
			return false;
		}

		yield * sleep(decision.afterMilliseconds);
		return true;
	}

	* #runAttempt(slot: Slot): Body<AttemptEnd> {
		const {fleet, summary, method, path, headers, body, stop} = this.#options;
		const startedAt = performance.now();
		this.#attempts += 1;
		slot.link.send({
			type: 'start', stream: slot.stream, request: summary.id, method, path, headers: {...headers},
			body: body.firstPart, more: !body.isComplete, resumeTokens: 0, resumeText: '', credit: responseWindow,
		});
		fleet.observe({type: 'started', endpoint: slot.endpoint, request: summary.id});
		if (!body.isComplete) {
			void spawn('service-body', () => this.#sendBody(slot));
		}

		const end = yield * this.#relay(slot);
		if (end.type === 'whole') {
			stop.recordRun(summary, performance.now() - startedAt);
		} else {
			slot.link.send({type: 'cancel', stream: slot.stream, request: summary.id});
		}

		slot.link.closeStream(slot.stream);
		fleet.observe({type: 'ended', endpoint: slot.endpoint, request: summary.id, whole: end.type === 'whole'});
		return end;
	}

	* #sendBody(slot: Slot): Body<void> {
		try {
			yield * this.#options.body.sendRest(slot, this.#options.summary.id);
		} catch (error) {
			if (error instanceof RequestError) {
				// The service has a part of the body and may run it.
				this.#response.fail({...error.failure, verdict: Verdict.mayHaveRun});
			}

			this.callerLeft();
		}
	}

	* #relay(slot: Slot): Body<AttemptEnd> {
		for (;;) {
			this.#timer.set(stallTimeoutMilliseconds);
			const event = (yield * receive(this.inbox)) ?? {type: 'caller-left'};
			const end = yield * this.#handleEvent(slot, event);
			if (end !== undefined) {
				return end;
			}
		}
	}

	* #handleEvent(slot: Slot, event: RequestEvent): Body<AttemptEnd | undefined> {
		switch (event.type) {
			case 'frame': {
				const isExpected = event.link === slot.link && event.message.stream === slot.stream;
				return isExpected ? yield * this.#handleFrame(slot, event.message) : undefined;
			}

			case 'link-lost': {
				return event.link === slot.link ? failedEnd(FailureKind.endpointLost, 'The connection to the endpoint broke.') : undefined;
			}

			case 'caller-left': {
				return {type: 'caller-left'};
			}

			case 'claim-stopped': {
				return undefined;
			}

			case 'alarm': {
				return this.#timer.hasFired ? failedEnd(FailureKind.endpointLost, 'The endpoint made no progress.') : undefined;
			}
		}
	}

	* #handleFrame(slot: Slot, message: StreamMessage): Body<AttemptEnd | undefined> {
		switch (message.type) {
			case 'head': {
				this.#response.writeHead(message.status, message.headers);
				return undefined;
			}

			case 'data': {
				return yield * this.#handleData(slot, message);
			}

			case 'credit': {
				this.#options.body.grantCredit(message.events);
				return undefined;
			}

			case 'end': {
				return this.#end(message);
			}

			case 'fail': {
				const {kind, verdict, message: text, retryAfterMilliseconds} = message;
				return {type: 'failed', failure: {kind, verdict, message: text, retryAfterMilliseconds}};
			}

			case 'refuse': {
				// The slot's offer expired before the body arrived; the side has not sent the body to its endpoint.
				const {kind, message: text, retryAfterMilliseconds} = message;
				return {type: 'failed', failure: createFailure(kind, text, {retryAfterMilliseconds})};
			}

			case 'chunk':
			case 'offer':
			case 'reserve':
			case 'withdraw':
			case 'start':
			case 'body':
			case 'cancel': {
				return failedEnd(FailureKind.badAnswer, `The side sent an unexpected ${message.type} message during a call.`);
			}
		}
	}

	* #handleData(slot: Slot, message: MessageOf<'data'>): Body<AttemptEnd | undefined> {
		if (!this.#response.hasStarted || message.index !== this.#receivedParts) {
			return failedEnd(FailureKind.badAnswer, 'Parts of the response arrived out of order.');
		}

		this.#receivedParts += 1;
		if (!this.#response.write(message.bytes)) {
			yield * wait(drainedOrClosed(this.#options.response));
		}

		slot.link.send({type: 'credit', stream: slot.stream, request: this.#options.summary.id, events: 1});
		return undefined;
	}

	#end(message: MessageOf<'end'>): AttemptEnd {
		if (!this.#response.hasStarted || message.count !== this.#receivedParts) {
			return failedEnd(FailureKind.badAnswer, 'The response is shorter than announced.');
		}

		this.#response.finish();
		return {type: 'whole'};
	}
}

/**
 * The end of an attempt for which no slot was found. The responses of services are streamed and not cached, so a
 * request whose key was already used can only be refused as `keyInUse`.
 */
function attemptEndOf(found: Exclude<SlotFound, {type: 'slot'}>): AttemptEnd {
	if (found.type !== 'claim-stopped') {
		return found;
	}

	const {stop} = found;
	return stop.type === 'failed' ? stop : failedEnd(FailureKind.keyInUse, 'Another request has this Idempotency-Key.');
}

function failedEnd(kind: FailureKind, message: string): AttemptEnd {
	return {type: 'failed', failure: createFailure(kind, message, {verdict: Verdict.mayHaveRun})};
}
