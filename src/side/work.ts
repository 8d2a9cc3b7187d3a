import {type Body, channel, spawn, tryDeliver} from '../concurrency/index.js';
import {type EngineClient, type ServiceClient} from '../endpoint/index.js';
import {createFailure, type EndpointId, FailureKind, type InstanceId, type RequestSummary, Verdict} from '../model/index.js';
import {type QuarantineLedger} from '../platform/index.js';
import {
	createSettings, type Outcome, type Scheduler, type SchedulerAction, type SchedulerEvent, type SchedulerView,
} from '../policy/scheduler/index.js';
import {DecisionJournal, Metrics, ReasonCode} from '../telemetry/index.js';
import {type MessageOf} from '../wire/index.js';
import {CrashWatch} from './crash-watch.js';
import {type EntryLink} from './entry-link.js';
import {runModel} from './model-run.js';
import {
	type Reservation, type RunEnd, type RunInput, type RunningPhase, toEntry,
} from './reservation.js';
import {runService} from './service-run.js';
import {SideTelemetry} from './side-telemetry.js';
import {SuspectGate, type SuspectGateOwner} from './suspect-gate.js';

/** Inputs of a running request that may wait: credit, cancel and body parts, all bounded by the entry. */
const runInputCapacity = 1000;
/** How often the scheduler hears of one stream's progress; slots are adapted over longer windows. */
const reportMilliseconds = 20;
/** How long an offered slot is kept for an entry that does not answer. */
export const offerHoldMilliseconds = createSettings().offerTimeoutMilliseconds;

export type WorkOptions<State> = {
	readonly backend: Backend;
	readonly scheduler: Scheduler<State>;
	/** Metrics and decisions; a private one if left out. */
	readonly telemetry?: SideTelemetry;
	readonly instance: InstanceId;
	readonly endpoint: EndpointId;
	readonly quarantine?: {readonly ledger: QuarantineLedger; readonly isHealthy: () => Promise<boolean>};
	/** Called when a run shows that the endpoint is gone, before its entry hears of it. */
	readonly endpointDown: () => void;
};

/** The client of the endpoint, by its kind. */
export type Backend
	= | {readonly type: 'engine'; readonly client: EngineClient}
		| {readonly type: 'service'; readonly client: ServiceClient};

/** What ran at a side and what became of it. */
export type WorkCounts = Record<Outcome | 'refused' | 'tokens', number>;

/**
 * Everything that waits or runs at one endpoint. It holds the scheduler's state, applies every event
 * to it in the order of arrival and carries out the actions at once, so the queue, the slots and
 * what the engine runs never disagree.
 */
export class Work<State = unknown> implements SuspectGateOwner {
	static create<State>(options: WorkOptions<State>): Work<State> {
		return new Work(options);
	}

	readonly counts: WorkCounts = {whole: 0, cancelled: 0, failed: 0, preempted: 0, refused: 0, tokens: 0};
	readonly #options: WorkOptions<State>;
	readonly #reservations = new Map<string, Reservation>();
	readonly #telemetry: SideTelemetry;
	#state: State;
	#onIdle: (() => void) | undefined;
	readonly #gate: SuspectGate | undefined;
	readonly #crashes: CrashWatch | undefined;

	private constructor(options: WorkOptions<State>) {
		this.#options = options;
		this.#state = options.scheduler.create();
		this.#telemetry = options.telemetry ?? SideTelemetry.create(Metrics.create({role: 'side'}), DecisionJournal.create());
		const {quarantine, endpointDown} = options;
		if (quarantine) {
			this.#gate = SuspectGate.create(quarantine.ledger, this);
			this.#crashes = CrashWatch.create({...options, ...quarantine, running: () => this.#runningFingerprints(), endpointDied: endpointDown});
			quarantine.ledger.addListener(() => {
				this.#gate?.review(this.#notBegun());
			});
		}
	}

	/** True while nothing waits, is on offer or runs: time then changes nothing. */
	get isEmpty(): boolean {
		return this.#reservations.size === 0;
	}

	get view(): SchedulerView {
		return this.#options.scheduler.view(this.#state);
	}

	/** Puts a request into the queue; a message that contradicts an earlier one closes the connection. */
	reserve(link: EntryLink, message: MessageOf<'reserve'>): void {
		if (link.reservations.has(message.stream) || message.request !== message.summary.id) {
			link.connection.close('a reservation that contradicts an earlier message');
			return;
		}

		const reservation: Reservation = {
			id: `${link.number}:${message.stream}`,
			link,
			stream: message.stream,
			summary: message.summary as RequestSummary,
			phase: {type: 'waiting'},
			arrivedAt: performance.now(),
			progressedAt: 0,
			unreportedTokens: 0,
			hasProgressed: false,
		};
		link.reservations.set(message.stream, reservation);
		this.#reservations.set(reservation.id, reservation);
		this.#telemetry.record(reservation, ReasonCode.queued, {tier: reservation.summary.tier});
		if (this.#gate) {
			this.#gate.arrived(reservation);
		} else {
			this.admit(reservation);
		}
	}

	admit(reservation: Reservation): void {
		this.apply({type: 'arrived', id: reservation.id, summary: reservation.summary});
	}

	refuseQuarantined(reservation: Reservation): void {
		const {kind, message} = createFailure(FailureKind.quarantined, 'Endpoints that ran this request crashed; it is not run again for some minutes.');
		this.counts.refused += 1;
		this.#telemetry.refused(reservation, kind, message);
		this.#leave(reservation);
		toEntry(reservation, {type: 'refuse', kind, message});
	}

	/** The entry gives a reservation back; one that runs is cancelled if that is harmless. */
	withdraw(link: EntryLink, stream: number): void {
		const reservation = link.reservations.get(stream);
		if (reservation === undefined) {
			return;
		}

		if (reservation.phase.type === 'running') {
			this.#stopRun(reservation, 'cancelled');
			return;
		}

		this.#leave(reservation);
	}

	/**
	 * A body in answer to an offer. One that comes after the offer lapsed, or for a stream that is
	 * not known here, is answered with `not-run`, which is certain: nothing is passed to the engine.
	 */
	start(link: EntryLink, message: MessageOf<'start'>): void {
		const reservation = link.reservations.get(message.stream);
		if (reservation?.phase.type !== 'offered' || reservation.summary.id !== message.request) {
			const lapsed = createFailure(FailureKind.queueTimeout, 'The offered slot has lapsed.');
			link.send({type: 'fail', stream: message.stream, request: message.request, ...lapsed});
			return;
		}

		const phase = {
			type: 'running' as const, input: channel<RunInput>(runInputCapacity), abort: new AbortController(), isBodyOpen: message.more,
		};
		reservation.phase = phase;
		reservation.progressedAt = performance.now();
		this.apply({type: 'started', id: reservation.id});
		// Failure: the scheduler has taken the slot back and refuses in this very step. Symptom: the
		// entry hears not-run and the endpoint runs it all the same. Only what is still held is run.
		if (!this.#reservations.has(reservation.id)) {
			return;
		}

		void spawn('run', () => this.#run(reservation, phase, message)).then(async end => {
			await this.#lookAtEndpoint(end);
			this.#finished(reservation, end);
		});
	}

	/** Credit, a part of the body, or a cancellation, for a request that runs. */
	input(link: EntryLink, message: RunInput): void {
		const reservation = link.reservations.get(message.stream);
		if (reservation?.phase.type !== 'running' || reservation.summary.id !== message.request) {
			return;
		}

		if (message.type === 'cancel') {
			this.#stopRun(reservation, 'cancelled');
			return;
		}

		if (!tryDeliver(reservation.phase.input, message)) {
			link.connection.close('more input than its window allows');
		}
	}

	/** Tells the scheduler what happened and carries out what it decides. */
	apply(event: SchedulerEvent): void {
		const {state, actions} = this.#options.scheduler.step(this.#state, event, performance.now());
		this.#state = state;
		for (const action of actions) {
			this.#perform(action);
		}

		if (event.type === 'leaving' || (event.type === 'endpoint' && !event.up)) {
			this.#gate?.open();
		}
	}

	/** Resolves once nothing runs and no slot is on offer. */
	async idle(): Promise<void> {
		if (this.#countBusy() === 0) {
			return;
		}

		await new Promise<void>(resolve => {
			this.#onIdle = resolve;
		});
	}

	#run(reservation: Reservation, phase: RunningPhase, start: MessageOf<'start'>): Body<RunEnd> {
		const {backend} = this.#options;
		switch (backend.type) {
			case 'engine': {
				const onTokens = (tokens: number) => {
					this.#progressed(reservation, tokens);
				};

				return runModel({engine: backend.client, reservation, phase, start, onTokens});
			}

			case 'service': {
				return runService({service: backend.client, reservation, phase, start});
			}
		}
	}

	/** Takes a reservation that has not begun out of the queue. */
	#leave(reservation: Reservation): void {
		const queued = !this.#gate?.holds(reservation);
		this.#forget(reservation);
		if (queued) {
			this.apply({type: 'withdrawn', id: reservation.id});
		}
	}

	#runningFingerprints(): string[] {
		return [...this.#reservations.values()].filter(({phase}) => phase.type === 'running').map(({summary}) => summary.fingerprint);
	}

	/** What is in the queue or on offer; a suspect that waits at the gate is not. */
	#notBegun(): Reservation[] {
		return [...this.#reservations.values()].filter(reservation => reservation.phase.type !== 'running' && !this.#gate?.holds(reservation));
	}

	/** A run that ended by a lost endpoint says more than the next check of its health, and sooner. */
	async #lookAtEndpoint(end: RunEnd): Promise<void> {
		if (end.type !== 'failed') {
			return;
		}

		if (end.failure.kind === FailureKind.endpointLost) {
			await this.#crashes?.connectionBroke();
		} else if (end.failure.kind === FailureKind.noEndpoint) {
			this.#options.endpointDown();
		}
	}

	/** The scheduler hears of the first tokens at once, then in portions: it copies its state on each event. */
	#progressed(reservation: Reservation, tokens: number): void {
		const now = performance.now();
		this.counts.tokens += tokens;
		reservation.unreportedTokens += tokens;
		if (!reservation.hasProgressed || now - reservation.progressedAt >= reportMilliseconds) {
			this.#reportProgress(reservation, now);
		}
	}

	#reportProgress(reservation: Reservation, now: number): void {
		const {id, unreportedTokens, progressedAt} = reservation;
		if (unreportedTokens === 0) {
			return;
		}

		this.#telemetry.progressed(reservation, unreportedTokens);
		reservation.unreportedTokens = 0;
		reservation.hasProgressed = true;
		reservation.progressedAt = now;
		this.apply({type: 'progressed', id, tokens: unreportedTokens, milliseconds: now - progressedAt});
	}

	#finished(reservation: Reservation, end: RunEnd): void {
		this.#reportProgress(reservation, performance.now());
		const outcome = outcomeOf(reservation, end);
		this.counts[outcome] += 1;
		this.#telemetry.ended(reservation, outcome, end.type === 'failed' ? end.failure.kind : outcome);
		this.#forget(reservation, outcome === 'whole');
		if (end.type === 'failed') {
			toEntry(reservation, {type: 'fail', ...end.failure});
		}

		this.apply({type: 'finished', id: reservation.id, outcome});
	}

	/**
	 * Stops what the endpoint does for a request. A non-idempotent one is never stopped: it ends by
	 * itself. The exception is one whose body will never be complete, which would wait for ever.
	 */
	#stopRun(reservation: Reservation, why: 'cancelled' | 'preempted'): void {
		if (reservation.phase.type !== 'running' || !(reservation.summary.idempotent || reservation.phase.isBodyOpen)) {
			return;
		}

		reservation.phase.stopped = why;
		reservation.phase.abort.abort();
		tryDeliver(reservation.phase.input, {type: 'cancel', stream: reservation.stream, request: reservation.summary.id});
	}

	#perform(action: SchedulerAction): void {
		const reservation = this.#reservations.get(action.id);
		if (reservation === undefined) {
			return;
		}

		switch (action.type) {
			case 'offer': {
				reservation.phase = {type: 'offered'};
				this.#telemetry.offered(reservation, performance.now() - reservation.arrivedAt);
				toEntry(reservation, {type: 'offer', holdMilliseconds: offerHoldMilliseconds});
				break;
			}

			case 'refuse': {
				this.counts.refused += 1;
				this.#telemetry.refused(reservation, action.kind, action.message);
				this.#forget(reservation);
				toEntry(reservation, {
					type: 'refuse', kind: action.kind, message: action.message, retryAfterMilliseconds: action.retryAfterMilliseconds,
				});
				break;
			}

			case 'preempt': {
				this.#telemetry.preempted(reservation, action.forRequest);
				this.#stopRun(reservation, 'preempted');
				toEntry(reservation, {type: 'fail', ...createFailure(FailureKind.preempted, 'A higher tier needed the slot.', {verdict: Verdict.mayHaveRun})});
				break;
			}
		}
	}

	#forget(reservation: Reservation, ranWhole = false): void {
		this.#reservations.delete(reservation.id);
		reservation.link.reservations.delete(reservation.stream);
		this.#gate?.left(reservation, ranWhole);
		if (this.#countBusy() === 0) {
			this.#onIdle?.();
		}
	}

	#countBusy(): number {
		return [...this.#reservations.values()].filter(reservation => reservation.phase.type !== 'waiting').length;
	}
}

function outcomeOf(reservation: Reservation, end: RunEnd): Outcome {
	switch (end.type) {
		case 'whole': {
			return 'whole';
		}

		case 'failed': {
			return 'failed';
		}

		case 'stopped': {
			return reservation.phase.type === 'running' && reservation.phase.stopped === 'preempted' ? 'preempted' : 'cancelled';
		}
	}
}
