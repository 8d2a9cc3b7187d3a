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
import {noEndpoint, type Slot, SlotSearch} from './slot.js';

/** Pause before the sides are asked again when none can be used. */
const noEndpointPauseMilliseconds = 100;

export type SlotFinderOptions = {
	readonly fleet: Fleet;
	readonly summary: RequestSummary;
	readonly inbox: Channel<RequestEvent>;
	readonly arrivedAt: number;
	readonly telemetry: EntryTelemetry;
	/** What is known of requests that crash endpoints. */
	readonly quarantine?: QuarantineLedger;
	/** The request's one timer; set here to the end of its time in queues. */
	readonly alarm: Alarm;
	/** The claim of a key, which must be won before the slot counts. */
	readonly claim?: ClaimGuard | undefined;
};

export type SlotFound
	= | {readonly type: 'slot'; readonly slot: Slot}
		| {readonly type: 'failed'; readonly failure: Failure}
		| {readonly type: 'caller-left'}
	/** The request may not run under its key; no slot is held. */
		| {readonly type: 'claim-stopped'; readonly stop: ClaimStop};

/** Finds one request a slot, attempt after attempt, within the time it may wait in queues. */
export class SlotFinder {
	static create(options: SlotFinderOptions): SlotFinder {
		return new SlotFinder(options);
	}

	readonly #options: SlotFinderOptions;
	readonly #excluded = new Set<EndpointId>();
	#waitsSince: number;

	private constructor(options: SlotFinderOptions) {
		this.#options = options;
		this.#waitsSince = options.arrivedAt;
	}

	/** When the request's time in queues is over. */
	get deadline(): number {
		return this.#waitsSince + this.#options.summary.queueMilliseconds;
	}

	/** Leaves an endpoint out of the next search. */
	exclude(endpoint: EndpointId): void {
		this.#excluded.add(endpoint);
	}

	/** Gives the request its class's time in queues once more. */
	restartWait(): void {
		this.#waitsSince = performance.now();
	}

	/**
	 * Searches until a side offers a slot, all have refused or time is up; `changes` go into the summary
	 * that sides see. A slot for a keyed request is returned only once its claim is certain.
	 */
	* find(changes: Partial<RequestSummary> = {}): Body<SlotFound> {
		const {claim} = this.#options;
		for (;;) {
			const found = yield * this.#search(changes);
			if (found.type !== 'slot' || !claim) {
				return found;
			}

			const stop = yield * claim.mayStart();
			if (!stop && performance.now() < (found.slot.startBefore ?? Infinity)) {
				return found;
			}

			this.#giveBack(found.slot);
			if (stop) {
				return {type: 'claim-stopped', stop};
			}

			// Failure: the claim took longer than the side holds the slot. Symptom: the body meets a lapsed
			// offer, and a request that may not be repeated is refused. With the claim won, a slot is sought anew.
		}
	}

	/** A slot was offered and the body will not come. */
	#giveBack({link, stream, endpoint}: Slot): void {
		const {fleet, summary} = this.#options;
		link.send({type: 'withdraw', stream, request: summary.id});
		link.closeStream(stream);
		fleet.observe({type: 'withdrawn', endpoint, request: summary.id});
	}

	* #search(changes: Partial<RequestSummary>): Body<SlotFound> {
		const {fleet, summary, inbox, alarm, claim, telemetry} = this.#options;
		let failure = noEndpoint();
		while (this.#queueTimeLeft() > 0) {
			if (claim?.stop) {
				return {type: 'claim-stopped', stop: claim.stop};
			}

			const suspicion = this.#suspicion();
			if (suspicion === Suspicion.quarantined) {
				return {type: 'failed', failure: quarantined()};
			}

			const endpoints = suspicion === Suspicion.suspect ? this.#sideForSuspect() : this.#rank();
			if (endpoints.length === 0) {
				yield * sleep(noEndpointPauseMilliseconds);
				this.#excluded.clear();
				continue;
			}

			alarm.set(this.#queueTimeLeft());
			const result = yield * SlotSearch.create({fleet, summary: {...this.#summaryNow(), ...changes}, inbox, alarm, telemetry}).run(endpoints);
			if (result.type === 'claim-stopped') {
				continue;
			}

			if (result.type !== 'failed') {
				return result;
			}

			failure = result.failure;
			if (!this.#mayAskElsewhere(result.tried)) {
				break;
			}
		}

		return {type: 'failed', failure};
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

	#sideForSuspect(): readonly EndpointId[] {
		const endpoint = this.#options.fleet.chooseForSuspect(this.#options.summary, this.#excluded);
		return endpoint === undefined ? [] : [endpoint];
	}

	/** After a refusal the remaining sides are asked, each once; a refusal by all is final and told at once. */
	#mayAskElsewhere(tried: readonly EndpointId[]): boolean {
		for (const endpoint of tried) {
			this.#excluded.add(endpoint);
		}

		const {fleet, summary} = this.#options;
		return fleet.choose(summary, this.#excluded).endpoints.length > 0;
	}

	#queueTimeLeft(): number {
		return this.deadline - performance.now();
	}

	/** What a side must know now: the time that is left. */
	#summaryNow(): RequestSummary {
		const {summary} = this.#options;
		const waited = performance.now() - this.#waitsSince;
		return {
			...summary,
			firstTokenMilliseconds: Math.max(0, summary.firstTokenMilliseconds - waited),
			queueMilliseconds: Math.max(0, summary.queueMilliseconds - waited),
		};
	}
}

function quarantined(): Failure {
	return createFailure(FailureKind.quarantined, 'Endpoints that ran this request crashed; it is not run again for some minutes.');
}
