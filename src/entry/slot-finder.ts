import {type Alarm, type Body, type Channel, sleep} from '../concurrency/index.js';
import {
	createFailure, type EndpointId, type Failure, FailureKind, type RequestSummary,
} from '../model/index.js';
import {type QuarantineLedger} from '../platform/index.js';
import {Suspicion} from '../policy/quarantine/index.js';
import {type ClaimGuard, type ClaimStop} from './claims/index.js';
import {type EntryTelemetry} from './entry-telemetry.js';
import {type Fleet} from './fleet.js';
import {type RequestEvent} from './request-event.js';
import {createStoppingFailure} from './stopping-failure.js';
import {createNoEndpointFailure, type Slot, SlotSearch} from './slot.js';
import {type StopSchedule} from './stop-schedule.js';

/** Pause before the next search when no endpoint can be used. */
const noEndpointPauseMilliseconds = 100;

export type SlotFinderOptions = {
	readonly fleet: Fleet;
	readonly summary: RequestSummary;
	readonly inbox: Channel<RequestEvent>;
	readonly arrivedAt: number;
	readonly telemetry: EntryTelemetry;
	/** Records of requests that crash endpoints. */
	readonly quarantine?: QuarantineLedger;
	/** The request's only timer; set here to the end of its time in queues. */
	readonly timer: Alarm;
	/** The claim of the idempotency key, which must be won before the slot may be used. */
	readonly claim?: ClaimGuard | undefined;
	readonly stop: StopSchedule;
	/** The last moment at which an attempt may begin; infinite while the instance does not stop. */
	readonly lastStartAt: () => number;
};

export type SlotFound
	= | {readonly type: 'slot'; readonly slot: Slot}
		| {readonly type: 'failed'; readonly failure: Failure}
		| {readonly type: 'caller-left'}
	/** The request must not run under its key; no slot is held. */
		| {readonly type: 'claim-stopped'; readonly stop: ClaimStop};

/** Finds a slot for each attempt of one request, within the time that the request may wait in queues. */
export class SlotFinder {
	static create(options: SlotFinderOptions): SlotFinder {
		return new SlotFinder(options);
	}

	readonly #options: SlotFinderOptions;
	readonly #excluded = new Set<EndpointId>();
	#waitStartedAt: number;

	private constructor(options: SlotFinderOptions) {
		this.#options = options;
		this.#waitStartedAt = options.arrivedAt;
	}

	/** The end of the request's time in queues, or of the time in which a stop still begins it, on the clock of `performance.now()`. */
	get deadline(): number {
		return Math.min(this.#waitStartedAt + this.#options.summary.queueMilliseconds, this.#options.lastStartAt());
	}

	/** Excludes an endpoint from the next search. */
	exclude(endpoint: EndpointId): void {
		this.#excluded.add(endpoint);
	}

	/** Restarts the request's time in queues. */
	restartWait(): void {
		this.#waitStartedAt = performance.now();
	}

	/**
	 * Searches until a side offers a slot, all sides have refused or the time in queues is over. `changes` are
	 * merged into the summary that sides receive. For a request with an idempotency key, a slot is returned
	 * only once the claim of the key is confirmed.
	 */
	* find(changes: Partial<RequestSummary> = {}): Body<SlotFound> {
		const {claim} = this.#options;
		for (;;) {
			const found = yield * this.#search(changes);
			if (found.type !== 'slot' || !claim) {
				return found;
			}

			const stop = yield * claim.mayStart();
			if (!stop && performance.now() < (found.slot.startDeadline ?? Infinity)) {
				return found;
			}

			this.#withdraw(found.slot);
			if (stop) {
				return {type: 'claim-stopped', stop};
			}

			// The claim took longer than the side holds the slot. A body sent now would arrive after the offer
			// expired, and a request that may not be repeated would be refused. The claim is won, so search again.
		}
	}

	/** Returns an offered slot that will not be used. */
	#withdraw({link, stream, endpoint}: Slot): void {
		const {fleet, summary} = this.#options;
		link.send({type: 'withdraw', stream, request: summary.id});
		link.closeStream(stream);
		fleet.observe({type: 'withdrawn', endpoint, request: summary.id});
	}

	* #search(changes: Partial<RequestSummary>): Body<SlotFound> {
		const {fleet, summary, inbox, timer, claim, telemetry, stop} = this.#options;
		let failure = createNoEndpointFailure();
		while (this.#queueTimeLeft() > 0) {
			if (claim?.stop) {
				return {type: 'claim-stopped', stop: claim.stop};
			}

			const suspicion = this.#suspicion();
			if (suspicion === Suspicion.quarantined) {
				return {type: 'failed', failure: createQuarantinedFailure()};
			}

			const endpoints = suspicion === Suspicion.suspect ? this.#endpointForSuspect() : this.#rank();
			if (endpoints.length === 0) {
				yield * sleep(noEndpointPauseMilliseconds);
				this.#excluded.clear();
				continue;
			}

			timer.set(this.#queueTimeLeft());
			using _listener = stop.onBegin(() => {
				timer.set(this.#queueTimeLeft());
			});
			const result = yield * SlotSearch.create({fleet, summary: {...this.#currentSummary(), ...changes}, inbox, timer, telemetry}).run(endpoints);
			if (result.type === 'claim-stopped') {
				continue;
			}

			if (result.type !== 'failed') {
				return result;
			}

			failure = result.failure;
			if (!this.#excludeTried(result.tried)) {
				break;
			}
		}

		return {type: 'failed', failure: this.#isTooLate ? createStoppingFailure() : failure};
	}

	/** Whether the instance stops before an attempt that begins now could end. */
	get #isTooLate(): boolean {
		return performance.now() >= this.#options.lastStartAt();
	}

	#rank(): readonly EndpointId[] {
		const {fleet, summary, telemetry} = this.#options;
		const choice = fleet.choose(summary, this.#excluded);
		if (choice.endpoints.length > 0) {
			telemetry.ranked(summary, choice);
		}

		return choice.endpoints;
	}

	#suspicion(): Suspicion {
		return this.#options.quarantine?.evaluate(this.#options.summary.fingerprint).suspicion ?? Suspicion.none;
	}

	#endpointForSuspect(): readonly EndpointId[] {
		const endpoint = this.#options.fleet.chooseForSuspect(this.#options.summary, this.#excluded);
		return endpoint === undefined ? [] : [endpoint];
	}

	/**
	 * Excludes the endpoints that were tried; true if others remain. After a refusal the remaining sides are
	 * tried once each; when all have refused, the refusal is final and reported at once.
	 */
	#excludeTried(tried: readonly EndpointId[]): boolean {
		for (const endpoint of tried) {
			this.#excluded.add(endpoint);
		}

		const {fleet, summary} = this.#options;
		return fleet.choose(summary, this.#excluded).endpoints.length > 0;
	}

	#queueTimeLeft(): number {
		return this.deadline - performance.now();
	}

	/** The summary with the remaining time until the first token is due and the remaining time in queues. */
	#currentSummary(): RequestSummary {
		const {summary} = this.#options;
		const waited = performance.now() - this.#waitStartedAt;
		return {
			...summary,
			firstTokenMilliseconds: Math.max(0, summary.firstTokenMilliseconds - waited),
			queueMilliseconds: Math.max(0, summary.queueMilliseconds - waited),
		};
	}
}

function createQuarantinedFailure(): Failure {
	return createFailure(FailureKind.quarantined, 'Endpoints that ran this request crashed; it is not run again for some minutes.');
}
