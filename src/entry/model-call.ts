import {Alarm, type Body, channel, type Channel, sleep, tryDeliver} from '../concurrency/index.js';
import {
	combineVerdicts, createFailure, type EndpointId, type Failure, FailureKind, type RequestSummary, Verdict,
} from '../model/index.js';
import {type QuarantineLedger} from '../platform/index.js';
import {ReasonCode} from '../telemetry/index.js';
import {ClaimGuard, eventsOf, keepEvents, type ClaimManager, type ClaimRequest, type ClaimStop} from './claims/index.js';
import {type EntryTelemetry} from './entry-telemetry.js';
import {type Fleet} from './fleet.js';
import {type Answer, type ModelCall} from './protocol/index.js';
import {creditWindow, type Progress, Relay, type RelayEnd} from './relay.js';
import {inboxCapacity, type RequestEvent} from './request-event.js';
import {type RetryKeeper} from './retry-keeper.js';
import {type Slot} from './slot.js';
import {SlotFinder, type SlotFound} from './slot-finder.js';

export type ModelCallOptions = {
	readonly telemetry: EntryTelemetry;
	readonly fleet: Fleet;
	readonly summary: RequestSummary;
	readonly path: string;
	readonly call: ModelCall;
	readonly answer: Answer;
	readonly arrivedAt: number;
	readonly retries: RetryKeeper;
	/** What is known of requests that crash endpoints. */
	readonly quarantine?: QuarantineLedger;
	/** For a request that may run once at most under its key. */
	readonly claim?: {readonly keeper: ClaimManager; readonly request: ClaimRequest};
};

export type CallEnd
	= | {readonly type: 'whole'; readonly tokens: number; readonly firstTokenMilliseconds: number | undefined; readonly attempts: number}
		| {readonly type: 'failed'; readonly failure: Failure; readonly tokens: number; readonly attempts: number}
		| {readonly type: 'caller-left'; readonly tokens: number; readonly attempts: number};

/**
 * One model call from its admission to its last byte: find a slot, send the body, relay the answer,
 * and go elsewhere if the verdict allows. Whatever the caller already has stays; a new attempt
 * resumes after it.
 */
export class ModelCallInProgress {
	static create(options: ModelCallOptions): ModelCallInProgress {
		return new ModelCallInProgress(options);
	}

	/** Where the caller's connection and the side links report to. */
	readonly inbox: Channel<RequestEvent> = channel<RequestEvent>(inboxCapacity);
	readonly #options: ModelCallOptions;
	readonly #progress: Progress = {events: [], firstTokenAt: undefined};
	readonly #finder: SlotFinder;
	#verdict: Verdict = Verdict.notRun;
	#attempts = 0;
	#failures = 0;
	#preemptions = 0;
	readonly #alarm: Alarm;
	readonly #claim: ClaimGuard | undefined;

	private constructor(options: ModelCallOptions) {
		this.#options = options;
		this.#alarm = Alarm.create(this.inbox);
		const {claim} = options;
		this.#claim = claim && ClaimGuard.create(claim.keeper, claim.request, () => {
			tryDeliver(this.inbox, {type: 'claim-stopped'});
		});
		this.#finder = SlotFinder.create({...options, inbox: this.inbox, alarm: this.#alarm, claim: this.#claim});
	}

	/** The caller closed its connection. */
	callerLeft(): void {
		tryDeliver(this.inbox, {type: 'caller-left'});
	}

	* run(): Body<CallEnd> {
		try {
			return yield * this.#attempt();
		} finally {
			this.#alarm[Symbol.dispose]();
			this.inbox.close();
		}
	}

	* #attempt(): Body<CallEnd> {
		for (;;) {
			const found = yield * this.#finder.find({
				promptTokens: this.#options.summary.promptTokens + this.#progress.events.length, preemptions: this.#preemptions,
			});
			if (found.type !== 'slot') {
				return yield * this.#endWithoutSlot(found);
			}

			this.#attempts += 1;
			const end = yield * this.#runAt(found.slot);
			if (end.type === 'whole') {
				return yield * this.#whole(end.usage, found.slot.endpoint);
			}

			if (end.type === 'caller-left') {
				return this.#left();
			}

			if (!(yield * this.#mayGoOn(end.failure))) {
				return yield * this.#fail(end.failure);
			}

			this.#prepareNext(found.slot, end.failure);
		}
	}

	* #endWithoutSlot(found: Exclude<SlotFound, {type: 'slot'}>): Body<CallEnd> {
		switch (found.type) {
			case 'failed': {
				return yield * this.#fail(found.failure);
			}

			case 'caller-left': {
				return this.#left();
			}

			case 'claim-stopped': {
				return yield * this.#stopped(found.stop);
			}
		}
	}

	/** The key is another request's: its answer if that is known, or a failure. */
	* #stopped(stop: ClaimStop): Body<CallEnd> {
		if (stop.type === 'failed') {
			return yield * this.#fail(stop.failure);
		}

		const {answer} = this.#options;
		const {events, usage} = eventsOf(stop.answer);
		answer.write(events);
		answer.finish(usage);
		return {type: 'whole', tokens: events.length, firstTokenMilliseconds: undefined, attempts: this.#attempts};
	}

	* #runAt(slot: Slot): Body<RelayEnd> {
		const {summary, path, call, fleet, answer, claim} = this.#options;
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
			resumeText: textOf(events),
			credit: creditWindow,
		});
		fleet.observe({type: 'started', endpoint: slot.endpoint, request: summary.id, prefix: summary.prefix});
		this.#options.telemetry.record(summary.id, events.length > 0 ? ReasonCode.resumed : ReasonCode.started, {endpoint: slot.endpoint, tokens: events.length});
		return yield * Relay.create({
			fleet,
			summary,
			inbox: this.inbox,
			slot,
			answer,
			progress: this.#progress,
			alarm: this.#alarm,
		}).run();
	}

	/**
	 * A preempted request did nothing wrong and nor did its endpoint: it may wait its class's time
	 * once more, at any side. Sides preempt one request a bounded number of times.
	 */
	#prepareNext(slot: Slot, failure: Failure): void {
		if (failure.kind === FailureKind.preempted) {
			this.#preemptions += 1;
			return;
		}

		this.#finder.exclude(slot.endpoint);
	}

	/** Waits as long as the retry policy asks; a stream that was cut may wait for a slot as long as a new request. */
	* #mayGoOn(failure: Failure): Body<boolean> {
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

	* #whole(usage: string | undefined, endpoint: EndpointId): Body<CallEnd> {
		const {answer, arrivedAt} = this.#options;
		answer.finish(usage);
		const {firstTokenAt, events} = this.#progress;
		if (this.#claim) {
			yield * this.#claim.finished(endpoint, keepEvents({events, usage}));
		}

		return {
			type: 'whole', tokens: events.length, firstTokenMilliseconds: firstTokenAt === undefined ? undefined : firstTokenAt - arrivedAt, attempts: this.#attempts,
		};
	}

	* #fail(failure: Failure): Body<CallEnd> {
		const certain = combineVerdicts(this.#verdict, failure.verdict);
		const verdict = this.#claim ? yield * this.#claim.failed(certain) : certain;
		const told = {...failure, verdict};
		this.#options.answer.fail(told);
		return {type: 'failed', failure: told, tokens: this.#progress.events.length, attempts: this.#attempts};
	}

	#left(): CallEnd {
		this.#claim?.abandoned();
		return {type: 'caller-left', tokens: this.#progress.events.length, attempts: this.#attempts};
	}
}

type TokenEvent = {choices?: Array<{delta?: {content?: string | undefined}; text?: string}>};

/** The text of an answer so far, as an engine needs it to resume. */
function textOf(events: readonly string[]): string {
	return events.map(event => {
		const choice = (JSON.parse(event) as TokenEvent).choices?.[0];
		return choice?.delta?.content ?? choice?.text ?? '';
	}).join('');
}

/** The failure of a request that came while its entry was stopping. */
export function stoppingFailure(): Failure {
	return createFailure(FailureKind.stopping, 'This instance is stopping.', {retryAfterMilliseconds: 0});
}
