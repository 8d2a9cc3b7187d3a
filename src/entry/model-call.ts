import {Alarm, type Body, channel, type Channel, sleep, tryDeliver} from '../concurrency/index.js';
import {
	combineVerdicts, createFailure, type EndpointId, type Failure, FailureKind, type RequestSummary, Verdict,
} from '../model/index.js';
import {type QuarantineLedger} from '../platform/index.js';
import {ReasonCode} from '../telemetry/index.js';
import {ClaimGuard, decodeEvents, encodeEvents, type ClaimManager, type ClaimRequest, type ClaimStop} from './claims/index.js';
import {type CallEnd} from './call-end.js';
import {type EntryTelemetry} from './entry-telemetry.js';
import {type Fleet} from './fleet.js';
import {type ResponseWriter, type ModelCall} from './protocol/index.js';
import {creditWindow, type Progress, Relay, type RelayEnd} from './relay.js';
import {inboxCapacity, type RequestEvent} from './request-event.js';
import {type RetryController} from './retry-controller.js';
import {type Slot} from './slot.js';
import {SlotFinder, type SlotFound} from './slot-finder.js';
import {type StopSchedule} from './stop-schedule.js';

export type ModelCallOptions = {
	readonly telemetry: EntryTelemetry;
	readonly fleet: Fleet;
	readonly summary: RequestSummary;
	readonly path: string;
	readonly call: ModelCall;
	readonly response: ResponseWriter;
	readonly arrivedAt: number;
	readonly retries: RetryController;
	readonly stop: StopSchedule;
	/** Records of requests that crash endpoints. */
	readonly quarantine?: QuarantineLedger;
	/** Set for a request that may run at most once under its idempotency key. */
	readonly claim?: {readonly manager: ClaimManager; readonly request: ClaimRequest};
};

/**
 * One model call from its admission to its last byte: finds a slot, sends the request body, relays the
 * response, and retries on another endpoint if the verdict allows. A retry resumes the response after
 * the events that the caller already has.
 */
export class ModelCallInProgress {
	static create(options: ModelCallOptions): ModelCallInProgress {
		return new ModelCallInProgress(options);
	}

	/** Receives the events of the caller's connection and of the side links. */
	readonly inbox: Channel<RequestEvent> = channel<RequestEvent>(inboxCapacity);
	readonly #options: ModelCallOptions;
	readonly #progress: Progress = {events: [], firstTokenAt: undefined};
	readonly #finder: SlotFinder;
	/** The combined verdict of all attempts that failed so far. */
	#verdict: Verdict = Verdict.notRun;
	#attempts = 0;
	#failures = 0;
	#preemptions = 0;
	#firstStartAt: number | undefined;
	readonly #timer: Alarm;
	readonly #claim: ClaimGuard | undefined;

	private constructor(options: ModelCallOptions) {
		this.#options = options;
		this.#timer = Alarm.create(this.inbox);
		const {claim} = options;
		this.#claim = claim && ClaimGuard.create(claim.manager, claim.request, () => {
			tryDeliver(this.inbox, {type: 'claim-stopped'});
		});
		this.#finder = SlotFinder.create({...options, inbox: this.inbox, timer: this.#timer, claim: this.#claim, lastStartAt: () => this.#lastStartAt});
	}

	/** One whose answer has begun cannot go to another instance: it is tried until the end. */
	get #lastStartAt(): number {
		const {stop, summary, call, arrivedAt, response} = this.#options;
		return response.hasStarted ? stop.endsAt : stop.lastStartAt({summary, streamWholeAt: call.stream ? arrivedAt : undefined});
	}

	/** The caller closed its connection. */
	callerLeft(): void {
		tryDeliver(this.inbox, {type: 'caller-left'});
	}

	* run(): Body<CallEnd> {
		try {
			return yield * this.#runAttempts();
		} finally {
			this.#timer[Symbol.dispose]();
			this.inbox.close();
		}
	}

	* #runAttempts(): Body<CallEnd> {
		for (;;) {
			const found = yield * this.#finder.find({
				promptTokens: this.#options.summary.promptTokens + this.#progress.events.length, preemptions: this.#preemptions,
			});
			if (found.type !== 'slot') {
				return yield * this.#endWithoutSlot(found);
			}

			this.#attempts += 1;
			this.#firstStartAt ??= performance.now();
			const end = yield * this.#runAttempt(found.slot);
			if (end.type === 'whole') {
				return yield * this.#complete(end.usage, found.slot.endpoint);
			}

			if (end.type === 'caller-left') {
				return this.#endCancelled();
			}

			if (!(yield * this.#awaitRetry(end.failure))) {
				return yield * this.#fail(end.failure);
			}

			this.#prepareRetry(found.slot, end.failure);
		}
	}

	* #endWithoutSlot(found: Exclude<SlotFound, {type: 'slot'}>): Body<CallEnd> {
		switch (found.type) {
			case 'failed': {
				return yield * this.#fail(found.failure);
			}

			case 'caller-left': {
				return this.#endCancelled();
			}

			case 'claim-stopped': {
				return yield * this.#endByClaim(found.stop);
			}
		}
	}

	/** Ends a call whose key was not acquired: with the cached response of the request that holds the key, or with a failure. */
	* #endByClaim(stop: ClaimStop): Body<CallEnd> {
		if (stop.type === 'failed') {
			return yield * this.#fail(stop.failure);
		}

		const {response} = this.#options;
		const {events, usage} = decodeEvents(stop.response);
		response.write(events);
		response.finish(usage);
		return {type: 'whole', tokens: events.length, firstTokenMilliseconds: undefined, attempts: this.#attempts};
	}

	* #runAttempt(slot: Slot): Body<RelayEnd> {
		const {summary, path, call, fleet, response, claim} = this.#options;
		const {events} = this.#progress;
		slot.link.send({
			type: 'start',
			stream: slot.stream,
			request: summary.id,
			method: 'POST',
			path,
			headers: {'content-type': 'application/json', ...(claim && {'idempotency-key': claim.request.key})},
			body: call.body as Uint8Array<ArrayBuffer>,
			more: false,
			resumeTokens: events.length,
			resumeText: responseText(events),
			credit: creditWindow,
		});
		fleet.observe({type: 'started', endpoint: slot.endpoint, request: summary.id, prefix: summary.prefix});
		this.#options.telemetry.record(summary.id, events.length > 0 ? ReasonCode.resumed : ReasonCode.started, {endpoint: slot.endpoint, tokens: events.length});
		return yield * Relay.create({
			fleet,
			summary,
			inbox: this.inbox,
			slot,
			response,
			progress: this.#progress,
			timer: this.#timer,
		}).run();
	}

	/**
	 * Excludes the failed endpoint from the next search, except after a preemption. A preemption is no fault of the
	 * endpoint, so the request may queue at any side again, for the full queue time of its class. Sides preempt one
	 * request a bounded number of times.
	 */
	#prepareRetry(slot: Slot, failure: Failure): void {
		if (failure.kind === FailureKind.preempted) {
			this.#preemptions += 1;
			return;
		}

		this.#finder.exclude(slot.endpoint);
	}

	/**
	 * Waits as long as the retry policy asks; false if it allows no retry. After the interruption of a stream, or a
	 * preemption, the request may queue for a slot as long as a new request.
	 */
	* #awaitRetry(failure: Failure): Body<boolean> {
		this.#verdict = combineVerdicts(this.#verdict, failure.verdict);
		if (this.#progress.events.length > 0 || failure.kind === FailureKind.preempted) {
			this.#finder.restartWait();
		}

		if (failure.kind !== FailureKind.preempted) {
			this.#failures += 1;
		}

		const {summary, retries} = this.#options;
		const decision = retries.decide({
			failure, attempts: this.#failures, idempotent: summary.idempotent, isBodySent: true, deadline: this.#finder.deadline,
		});
		if (decision.type === 'give-up') {
			return false;
		}

		this.#options.telemetry.retried(summary, failure);
		yield * sleep(decision.afterMilliseconds);
		return true;
	}

	* #complete(usage: string | undefined, endpoint: EndpointId): Body<CallEnd> {
		const {response, arrivedAt, stop, summary} = this.#options;
		response.finish(usage);
		stop.recordRun(summary, performance.now() - this.#firstStartAt!);
		const {firstTokenAt, events} = this.#progress;
		if (this.#claim) {
			yield * this.#claim.finished(endpoint, encodeEvents({events, usage}));
		}

		return {
			type: 'whole', tokens: events.length, firstTokenMilliseconds: firstTokenAt === undefined ? undefined : firstTokenAt - arrivedAt, attempts: this.#attempts,
		};
	}

	* #fail(failure: Failure): Body<CallEnd> {
		const combined = combineVerdicts(this.#verdict, failure.verdict);
		const verdict = this.#claim ? yield * this.#claim.failed(combined, this.#finder.deadline) : combined;
		const reported = {...failure, verdict};
		this.#options.response.fail(reported);
		return {type: 'failed', failure: reported, tokens: this.#progress.events.length, attempts: this.#attempts};
	}

	#endCancelled(): CallEnd {
		this.#claim?.abandoned();
		return {type: 'caller-left', tokens: this.#progress.events.length, attempts: this.#attempts};
	}
}

type TokenEvent = {choices?: Array<{delta?: {content?: string | undefined}; text?: string}>};

/** The text of a response so far, which an engine needs to resume it. */
function responseText(events: readonly string[]): string {
	return events.map(event => {
		const choice = (JSON.parse(event) as TokenEvent).choices?.[0];
		return choice?.delta?.content ?? choice?.text ?? '';
	}).join('');
}
