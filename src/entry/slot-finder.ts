import {type Body, type Channel, sleep} from '../concurrency/index.js';
import {
	createFailure, type EndpointId, type Failure, FailureKind, type RequestSummary,
} from '../model/index.js';
import {type QuarantineLedger} from '../platform/index.js';
import {Suspicion} from '../policy/quarantine/index.js';
import {type Alarm} from './alarm.js';
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
};

export type SlotFound
	= | {readonly type: 'slot'; readonly slot: Slot}
		| {readonly type: 'failed'; readonly failure: Failure}
		| {readonly type: 'caller-left'};

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

	/** Searches until a side offers a slot, all have refused or time is up; `changes` go into the summary that sides see. */
	* find(changes: Partial<RequestSummary> = {}): Body<SlotFound> {
		const {fleet, summary, inbox, alarm, telemetry} = this.#options;
		let failure = noEndpoint();
		while (this.#queueTimeLeft() > 0) {
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
		return this.#options.quarantine?.judge(this.#options.summary.fingerprint).suspicion ?? Suspicion.none;
	}

	#sideForSuspect(): readonly EndpointId[] {
		const endpoint = this.#options.fleet.chooseForSuspect(this.#options.summary);
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
