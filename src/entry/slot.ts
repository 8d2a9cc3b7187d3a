import {type Alarm, type Body, type Channel, receive} from '../concurrency/index.js';
import {
	createFailure, type EndpointId, type Failure, FailureKind, type RequestSummary,
} from '../model/index.js';
import {type StreamMessage} from '../wire/index.js';
import {type DecisionDetail, ReasonCode} from '../telemetry/index.js';
import {type EntryTelemetry} from './entry-telemetry.js';
import {type Fleet} from './fleet.js';
import {type EventLink, type RequestEvent} from './request-event.js';
import {type SideLink} from './side-link.js';

/** A slot that a side holds for this request; the request body may be sent to it. */
export type Slot = {
	readonly endpoint: EndpointId;
	readonly link: SideLink;
	readonly stream: number;
	/**
	 * The body must be sent before this time of `performance.now()`: the arrival of the offer plus half of the time
	 * that the side holds the slot.
	 */
	readonly startDeadline?: number;
};

export type SlotResult
	= | {readonly type: 'slot'; readonly slot: Slot}
		| {readonly type: 'failed'; readonly failure: Failure; readonly tried: readonly EndpointId[]}
		| {readonly type: 'caller-left'}
		| {readonly type: 'claim-stopped'};

export type SlotSearchOptions = {
	readonly fleet: Fleet;
	readonly summary: RequestSummary;
	readonly inbox: Channel<RequestEvent>;
	/** Fires at the end of the request's time in queues. */
	readonly timer: Alarm;
	readonly telemetry: EntryTelemetry;
};

/**
 * Late binding: the request queues at several sides at once and runs at the first that offers a free
 * slot; the other reservations are withdrawn. No request body is sent before that, so a failure here is
 * certain to be `not-run`.
 */
export class SlotSearch {
	static create(options: SlotSearchOptions): SlotSearch {
		return new SlotSearch(options);
	}

	readonly #reservations = new Set<Slot>();
	readonly #tried: EndpointId[] = [];
	#lastRefusal: Failure | undefined;
	readonly #options: SlotSearchOptions;

	private constructor(options: SlotSearchOptions) {
		this.#options = options;
	}

	/** Sends reservations to the endpoints, in order, and waits until one offers a slot or all have refused. */
	* run(endpoints: readonly EndpointId[]): Body<SlotResult> {
		for (const [index, endpoint] of endpoints.entries()) {
			this.#reserve(endpoint, index === 0);
		}

		while (this.#reservations.size > 0) {
			const event = yield * receive(this.#options.inbox);
			const result = this.#handleEvent(event ?? {type: 'caller-left'});
			if (result !== undefined) {
				return result;
			}
		}

		return {type: 'failed', failure: this.#lastRefusal ?? createNoEndpointFailure(), tried: this.#tried};
	}

	#reserve(endpoint: EndpointId, isFirstChoice: boolean): void {
		const link = this.#options.fleet.link(endpoint);
		this.#tried.push(endpoint);
		if (link === undefined) {
			return;
		}

		const stream = link.openStream(this.#options.summary.id, this.#options.inbox);
		const slot = {endpoint, link, stream};
		this.#reservations.add(slot);
		link.send({type: 'reserve', stream, request: this.#options.summary.id, summary: {...this.#options.summary, asksFirst: isFirstChoice}});
		this.#options.fleet.observe({type: 'reserved', endpoint, request: this.#options.summary.id});
		this.#record(ReasonCode.reserved, {endpoint});
	}

	#record(code: ReasonCode, detail: DecisionDetail): void {
		this.#options.telemetry.record(this.#options.summary.id, code, detail);
	}

	#handleEvent(event: RequestEvent): SlotResult | undefined {
		switch (event.type) {
			case 'frame': {
				return this.#handleFrame(event.link, event.message);
			}

			case 'link-lost': {
				this.#dropLink(event.link);
				return undefined;
			}

			case 'caller-left': {
				this.#withdrawAll();
				return {type: 'caller-left'};
			}

			case 'claim-stopped': {
				this.#withdrawAll();
				return {type: 'claim-stopped'};
			}

			case 'alarm': {
				if (!this.#options.timer.hasFired) {
					return undefined;
				}

				this.#withdrawAll();
				return {type: 'failed', failure: createFailure(FailureKind.queueTimeout, 'No slot became free in time.', {retryAfterMilliseconds: 1000}), tried: this.#tried};
			}
		}
	}

	#handleFrame(link: EventLink, message: StreamMessage): SlotResult | undefined {
		const slot = this.#find(link, message.stream);
		if (slot === undefined) {
			return undefined;
		}

		if (message.type === 'offer') {
			this.#options.fleet.observe({type: 'offered', endpoint: slot.endpoint, request: this.#options.summary.id});
			this.#record(ReasonCode.offered, {endpoint: slot.endpoint});
			this.#reservations.delete(slot);
			this.#withdrawAll();
			return {type: 'slot', slot: {...slot, startDeadline: performance.now() + (message.holdMilliseconds / 2)}};
		}

		if (message.type === 'refuse' || message.type === 'fail') {
			this.#lastRefusal = {
				kind: message.kind, message: message.message, verdict: 'not-run', retryAfterMilliseconds: message.retryAfterMilliseconds,
			};
			this.#record(ReasonCode.refused, {endpoint: slot.endpoint, reason: message.kind, message: message.message});
			this.#close(slot, 'refused');
		}

		return undefined;
	}

	/** The reservation that a frame is about: an endpoint may have two links, and each numbers its streams by itself. */
	#find(link: EventLink, stream: number): Slot | undefined {
		return [...this.#reservations].find(slot => slot.link === link && slot.stream === stream);
	}

	#withdrawAll(): void {
		for (const slot of this.#reservations) {
			slot.link.send({type: 'withdraw', stream: slot.stream, request: this.#options.summary.id});
			this.#close(slot, 'withdrawn');
		}
	}

	#dropLink(link: EventLink): void {
		for (const slot of this.#reservations) {
			if (slot.link === link) {
				this.#close(slot, 'withdrawn');
			}
		}
	}

	#close(slot: Slot, outcome: 'refused' | 'withdrawn'): void {
		slot.link.closeStream(slot.stream);
		this.#reservations.delete(slot);
		this.#options.fleet.observe({type: outcome, endpoint: slot.endpoint, request: this.#options.summary.id});
	}
}

/** The failure of a request for which no side that serves its target can be reached. */
export function createNoEndpointFailure(): Failure {
	return createFailure(FailureKind.noEndpoint, 'No endpoint serves this target now.', {retryAfterMilliseconds: 1000});
}
