import {type Alarm, type Body, type Channel, receive, tryDeliver, tryReceive} from '../../concurrency/index.js';
import {Verdict} from '../../model/index.js';
import {type EndpointWait, nextSearchMilliseconds, stepEndpointWait} from '../../policy/streams/index.js';
import {type Decision, RefusalReason} from '../placement/index.js';
import {type Outcome} from './attempt-state.js';
import {type ExchangeEvent, type ExchangeOptions} from './exchange-options.js';
import {type NextAttempt, type PlacementSubmission} from './placement-submission.js';
import {type RequestEnd} from './request-end.js';

export type PlacementWaitOptions = {
	readonly exchange: ExchangeOptions;
	readonly submission: PlacementSubmission;
	readonly inbox: Channel<ExchangeEvent>;
	readonly alarm: Alarm;
	readonly end: RequestEnd;
};

export type WaitResult
	= | {readonly type: 'decided'; readonly decision: Decision; readonly waitedMilliseconds: number}
	/** The caller left, or the request's time is over; no placement is held. */
		| {readonly type: 'ended'; readonly outcome: Outcome};

/** The wait of one request for its placements, one after another. */
export class PlacementWait {
	static create(options: PlacementWaitOptions): PlacementWait {
		return new PlacementWait(options);
	}

	readonly #options: PlacementWaitOptions;

	private constructor(options: PlacementWaitOptions) {
		this.#options = options;
	}

	/** Asks for a placement under an id, and waits until it is decided or the request ends. */
	* run(id: string, next: NextAttempt): Body<WaitResult> {
		const {inbox, alarm, end, submission} = this.#options;
		const submittedAt = performance.now();
		let decision: Decision | undefined;
		let isWithoutEndpoint = false;
		let endpointWait: EndpointWait = {milliseconds: 0, lookedAt: submittedAt};
		try {
			alarm.set(this.#nextLookAt - submittedAt);
			this.#submit(id, next);
			for (;;) {
				const event = (yield * receive(inbox))!;
				if (event.type === 'decided') {
					endpointWait = stepEndpointWait(endpointWait, performance.now());
					isWithoutEndpoint = this.#awaitEndpoint(event.decision, endpointWait);
					if (isWithoutEndpoint) {
						continue;
					}

					({decision} = event);
					return {type: 'decided', decision, waitedMilliseconds: performance.now() - submittedAt};
				}

				const isDue = isWithoutEndpoint && (event.type === 'stopping' || (event.type === 'alarm' && alarm.hasFired));
				const outcome = this.#endOf(event);
				if (outcome !== undefined) {
					return {type: 'ended', outcome};
				}

				if (isDue) {
					isWithoutEndpoint = false;
					this.#submit(id, next);
				}
			}
		} finally {
			if (decision === undefined) {
				submission.cancel(id);
				this.#releaseLatePlacement();
			}
		}
	}

	/** Whether a stream that has begun waits for an endpoint that is not known yet; if so, sets the alarm for the next search. */
	#awaitEndpoint(decision: Decision, wait: EndpointWait): boolean {
		const {alarm, exchange: {caller, dispatcher, service}} = this.#options;
		if (decision.type !== 'refused' || decision.reason !== RefusalReason.noEndpoint) {
			return false;
		}

		const now = performance.now();
		const milliseconds = nextSearchMilliseconds({hasBegun: caller.hasResponse, hasReady: dispatcher.endpoints.hasReady(service, now), waitedMilliseconds: wait.milliseconds});
		if (milliseconds === undefined) {
			return false;
		}

		alarm.set(Math.min(milliseconds, this.#nextLookAt - now));
		return true;
	}

	#submit(id: string, next: NextAttempt): void {
		const {submission, inbox} = this.#options;
		submission.submit(id, next, decision => {
			tryDeliver(inbox, {type: 'decided', decision});
		});
	}

	/** How an event other than the decision ends the wait; undefined if it goes on. */
	#endOf(event: ExchangeEvent): Outcome | undefined {
		const {alarm, end} = this.#options;
		if (event.type === 'error') {
			throw event.error;
		}

		if (event.type === 'left') {
			return {type: 'left'};
		}

		if (event.type !== 'stopping' && (event.type !== 'alarm' || !alarm.hasFired)) {
			return undefined;
		}

		const now = performance.now();
		if (now >= end.at) {
			return {type: 'expired'};
		}

		if (now >= end.lastStartAt) {
			return {type: 'failed', verdict: Verdict.notRun, reason: 'the instance stops before the request could end'};
		}

		alarm.set(this.#nextLookAt - now);
		return undefined;
	}

	get #nextLookAt(): number {
		const {end} = this.#options;
		return Math.min(end.nextLookAt, end.lastStartAt);
	}

	/** Releases a placement that was made in the turn of the event loop in which the request ended. */
	#releaseLatePlacement(): void {
		const {inbox, submission} = this.#options;
		for (let event = tryReceive(inbox); event !== undefined; event = tryReceive(inbox)) {
			if (event.type === 'decided' && event.decision.type === 'placed') {
				submission.release(event.decision);
			}
		}
	}
}
