import {type ServerResponse} from 'node:http';
import {Alarm, type Body, channel, type Channel, receive, sleep, spawn, tryDeliver, wait} from '../concurrency/index.js';
import {
	combineVerdicts, createFailure, type Failure, FailureKind, type RequestSummary, Verdict,
} from '../model/index.js';
import {type QuarantineLedger} from '../platform/index.js';
import {type MessageOf, type StreamMessage} from '../wire/index.js';
import {ReasonCode} from '../telemetry/index.js';
import {ClaimGuard, type ClaimManager, type ClaimRequest, type ClaimStop} from './claims/index.js';
import {type EntryTelemetry} from './entry-telemetry.js';
import {type Fleet} from './fleet.js';
import {drainedOrClosed} from './protocol/index.js';
import {inboxCapacity, type RequestEvent} from './request-event.js';
import {type RetryKeeper} from './retry-keeper.js';
import {ServiceAnswer} from './service-answer.js';
import {type ServiceBody} from './service-body.js';
import {type Slot} from './slot.js';
import {SlotFinder, type SlotFound} from './slot-finder.js';

/** Parts of an answer that a side may send ahead of what the caller has taken. */
const answerWindow = 16;
/** Longer than a service may take for the head of its answer; after it the connection counts as hung. */
const stalledMilliseconds = 70_000;

export type ServiceCallOptions = {
	readonly telemetry: EntryTelemetry;
	readonly fleet: Fleet;
	readonly summary: RequestSummary;
	readonly method: string;
	readonly path: string;
	readonly headers: Readonly<Record<string, string>>;
	readonly body: ServiceBody;
	readonly response: ServerResponse;
	readonly arrivedAt: number;
	readonly retries: RetryKeeper;
	/** What is known of requests that crash endpoints. */
	readonly quarantine?: QuarantineLedger;
	/** For a call that may run once at most under its key. */
	readonly claim?: {readonly keeper: ClaimManager; readonly request: ClaimRequest};
};

type AttemptEnd
	= | {readonly type: 'whole'}
		| {readonly type: 'caller-left'}
		| {readonly type: 'failed'; readonly failure: Failure};

/**
 * One call of a plain service. A body that came in one part can be sent again if the verdict allows
 * it; one that is streamed can't, since nothing of it is kept.
 */
export class ServiceCallInProgress {
	static create(options: ServiceCallOptions): ServiceCallInProgress {
		return new ServiceCallInProgress(options);
	}

	readonly inbox: Channel<RequestEvent> = channel<RequestEvent>(inboxCapacity);
	readonly #options: ServiceCallOptions;
	readonly #alarm: Alarm;
	readonly #finder: SlotFinder;
	readonly #claim: ClaimGuard | undefined;
	readonly #answer: ServiceAnswer;
	#parts = 0;
	#attempts = 0;
	#verdict: Verdict = Verdict.notRun;

	private constructor(options: ServiceCallOptions) {
		this.#options = options;
		this.#alarm = Alarm.create(this.inbox);
		const {claim} = options;
		this.#claim = claim && ClaimGuard.create(claim.keeper, claim.request, () => {
			tryDeliver(this.inbox, {type: 'claim-stopped'});
		});
		this.#finder = SlotFinder.create({...options, inbox: this.inbox, alarm: this.#alarm, claim: this.#claim});
		this.#answer = ServiceAnswer.create(options.response, options.summary.id);
	}

	/** The caller closed its connection, or its body broke off. */
	callerLeft(): void {
		tryDeliver(this.inbox, {type: 'caller-left'});
	}

	* run(): Body<void> {
		try {
			yield * this.#attempt();
		} finally {
			this.#alarm[Symbol.dispose]();
			this.#options.body.stop();
			this.inbox.close();
		}
	}

	* #attempt(): Body<void> {
		const {telemetry, summary} = this.#options;
		for (;;) {
			const found = yield * this.#finder.find();
			const end = found.type === 'slot' ? yield * this.#runAt(found.slot) : endOf(found);
			if (end.type !== 'failed') {
				yield * this.#settleClaim(end, found);
				telemetry.record(summary.id, end.type === 'whole' ? ReasonCode.finished : ReasonCode.cancelled);
				return;
			}

			this.#verdict = combineVerdicts(this.#verdict, end.failure.verdict);
			if (found.type !== 'slot' || !(yield * this.#mayGoOn(end.failure))) {
				const verdict = this.#claim ? yield * this.#claim.failed(this.#verdict) : this.#verdict;
				const failure = {...end.failure, verdict};
				telemetry.refused(summary.id, failure);
				this.#answer.fail(failure);
				return;
			}

			this.#finder.exclude(found.slot.endpoint);
		}
	}

	* #settleClaim(end: AttemptEnd, found: SlotFound): Body<void> {
		if (end.type === 'whole' && found.type === 'slot') {
			if (this.#claim) {
				yield * this.#claim.finished(found.slot.endpoint);
			}

			return;
		}

		this.#claim?.abandoned();
	}

	* #mayGoOn(failure: Failure): Body<boolean> {
		const {body, summary, retries} = this.#options;
		if (!body.isWhole || this.#answer.started) {
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

	* #runAt(slot: Slot): Body<AttemptEnd> {
		const {fleet, summary, method, path, headers, body} = this.#options;
		this.#attempts += 1;
		slot.link.send({
			type: 'start', stream: slot.stream, request: summary.id, method, path, headers: {...headers}, body: body.first, more: !body.isWhole, resumeTokens: 0, resumeText: '', credit: answerWindow,
		});
		fleet.observe({type: 'started', endpoint: slot.endpoint, request: summary.id});
		if (!body.isWhole) {
			void spawn('service-body', () => this.#sendBody(slot));
		}

		const end = yield * this.#relay(slot);
		if (end.type !== 'whole') {
			slot.link.send({type: 'cancel', stream: slot.stream, request: summary.id});
		}

		slot.link.closeStream(slot.stream);
		fleet.observe({type: 'ended', endpoint: slot.endpoint, request: summary.id, whole: end.type === 'whole'});
		return end;
	}

	* #sendBody(slot: Slot): Body<void> {
		try {
			yield * this.#options.body.sendRest(slot, this.#options.summary.id);
		} catch {
			this.callerLeft();
		}
	}

	* #relay(slot: Slot): Body<AttemptEnd> {
		for (;;) {
			this.#alarm.set(stalledMilliseconds);
			const event = (yield * receive(this.inbox)) ?? {type: 'caller-left'};
			const end = yield * this.#take(slot, event);
			if (end !== undefined) {
				return end;
			}
		}
	}

	* #take(slot: Slot, event: RequestEvent): Body<AttemptEnd | undefined> {
		switch (event.type) {
			case 'frame': {
				const ours = event.link === slot.link && event.message.stream === slot.stream;
				return ours ? yield * this.#takeFrame(slot, event.message) : undefined;
			}

			case 'link-lost': {
				return event.link === slot.link ? broken(FailureKind.endpointLost, 'The connection to the endpoint broke.') : undefined;
			}

			case 'caller-left': {
				return {type: 'caller-left'};
			}

			case 'claim-stopped': {
				return undefined;
			}

			case 'alarm': {
				return this.#alarm.hasFired ? broken(FailureKind.endpointLost, 'The endpoint made no progress.') : undefined;
			}
		}
	}

	* #takeFrame(slot: Slot, message: StreamMessage): Body<AttemptEnd | undefined> {
		switch (message.type) {
			case 'head': {
				this.#answer.writeHead(message.status, message.headers);
				return undefined;
			}

			case 'data': {
				return yield * this.#takeData(slot, message);
			}

			case 'credit': {
				this.#options.body.taken(message.events);
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
				// The offer lapsed while the body was under way; the side gave the body to nobody.
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
				return broken(FailureKind.badAnswer, `A side sent ${message.type} while a call ran.`);
			}
		}
	}

	* #takeData(slot: Slot, message: MessageOf<'data'>): Body<AttemptEnd | undefined> {
		if (!this.#answer.started || message.index !== this.#parts) {
			return broken(FailureKind.badAnswer, 'Parts of the answer came out of order.');
		}

		this.#parts += 1;
		if (!this.#answer.write(message.bytes)) {
			yield * wait(drainedOrClosed(this.#options.response));
		}

		slot.link.send({type: 'credit', stream: slot.stream, request: this.#options.summary.id, events: 1});
		return undefined;
	}

	#end(message: MessageOf<'end'>): AttemptEnd {
		if (!this.#answer.started || message.count !== this.#parts) {
			return broken(FailureKind.badAnswer, 'The answer is shorter than announced.');
		}

		this.#answer.finish();
		return {type: 'whole'};
	}
}

/** A service's answers are streamed and not kept, so a key that ran can only be told to have run. */
function endOf(found: Exclude<SlotFound, {type: 'slot'}>): AttemptEnd {
	if (found.type !== 'claim-stopped') {
		return found;
	}

	const {stop} = found;
	return stop.type === 'failed' ? stop : broken(FailureKind.keyInUse, 'Another request has this Idempotency-Key.');
}

function broken(kind: FailureKind, message: string): AttemptEnd {
	return {type: 'failed', failure: createFailure(kind, message, {verdict: Verdict.mayHaveRun})};
}
