import {type Body, channel, spawn, tryDeliver} from '../concurrency/index.js';
import {createFailure, FailureKind, Verdict} from '../model/index.js';
import {createSettings, type SchedulerAction, type SchedulerEvent, type SchedulerView} from '../policy/scheduler/index.js';
import {DecisionJournal, Metrics, ReasonCode} from '../telemetry/index.js';
import {type MessageOf} from '../wire/index.js';
import {CrashDetector} from './crash-detector.js';
import {type EntryLink} from './entry-link.js';
import {type RequestExecutorOptions, type RunCounts} from './request-executor-options.js';
import {ReservationTable} from './reservation-table.js';
import {createReservation, outcomeOf, type Reservation, type RunResult, type RunInput, type RunningPhase, sendToEntry} from './reservation.js';
import {runRequest} from './run-request.js';
import {RunProgress} from './run-progress.js';
import {SideTelemetry} from './side-telemetry.js';
import {SuspectGate, type SuspectGateHandler} from './suspect-gate.js';

/** Messages that may be queued for a running request: credit, cancel and body parts, all bounded by the entry. */
const runInputCapacity = 1000;
/** How long an offered slot is kept for an entry that does not respond. */
const {offerTimeoutMilliseconds} = createSettings();

/**
 * Executes the requests of one endpoint. It holds the scheduler's state, applies every event to it in
 * order of arrival and executes the resulting actions at once, so that the queue, the slots and the
 * requests that the engine runs are always consistent.
 */
export class RequestExecutor<State = unknown> implements SuspectGateHandler {
	static create<State>(options: RequestExecutorOptions<State>): RequestExecutor<State> {
		return new RequestExecutor(options);
	}

	readonly counts: RunCounts = {whole: 0, cancelled: 0, failed: 0, preempted: 0, refused: 0, tokens: 0};
	readonly #options: RequestExecutorOptions<State>;
	readonly #reservations = ReservationTable.create();
	readonly #telemetry: SideTelemetry;
	readonly #progress = RunProgress.create((reservation, tokens, milliseconds) => {
		this.#progressed(reservation, tokens, milliseconds);
	});

	#state: State;
	readonly #gate: SuspectGate | undefined;
	readonly #crashDetector: CrashDetector | undefined;

	private constructor(options: RequestExecutorOptions<State>) {
		this.#options = options;
		this.#state = options.scheduler.create();
		this.#telemetry = options.telemetry ?? SideTelemetry.create(Metrics.create({role: 'side'}), DecisionJournal.create());
		const {quarantine, onEndpointDown} = options;
		if (quarantine) {
			this.#gate = SuspectGate.create(quarantine.ledger, this);
			this.#crashDetector = CrashDetector.create({...options, ...quarantine, runningFingerprints: () => this.#reservations.runningFingerprints, onEndpointCrashed: onEndpointDown});
			quarantine.ledger.addListener(() => {
				this.#gate?.reevaluate(this.#pendingReservations());
			});
		}
	}

	/** True while no request is queued, offered or running; `tick` events then have no effect and can be skipped. */
	get isEmpty(): boolean {
		return this.#reservations.isEmpty;
	}

	get view(): SchedulerView {
		return this.#options.scheduler.view(this.#state, performance.now());
	}

	/**
	 * Adds a request to the queue. A stream number that is in use, or a request id that differs from the summary's,
	 * closes the connection.
	 */
	reserve(link: EntryLink, message: MessageOf<'reserve'>): void {
		if (link.reservations.has(message.stream) || message.request !== message.summary.id) {
			link.connection.close('a reservation that contradicts an earlier message');
			return;
		}

		const reservation = createReservation(link, message, performance.now());
		this.#reservations.add(reservation);
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
		this.#removeQueued(reservation);
		sendToEntry(reservation, {type: 'refuse', kind, message});
	}

	/** Withdraws a reservation for its entry; a running one is cancelled if it is idempotent or its body is incomplete. */
	withdraw(link: EntryLink, stream: number): void {
		const reservation = link.reservations.get(stream);
		if (reservation === undefined) {
			return;
		}

		if (reservation.phase.type === 'running') {
			this.#stopRun(reservation, 'cancelled');
			return;
		}

		this.#removeQueued(reservation);
	}

	/**
	 * Runs a request whose body arrived in response to an offer. If the offer has timed out or the stream
	 * is unknown, the request fails with the verdict `not-run`: nothing was sent to the engine.
	 */
	start(link: EntryLink, message: MessageOf<'start'>): void {
		const reservation = link.reservations.get(message.stream);
		if (reservation?.phase.type !== 'offered' || reservation.summary.id !== message.request) {
			const timedOut = createFailure(FailureKind.queueTimeout, 'The offered slot has timed out.');
			link.send({type: 'fail', stream: message.stream, request: message.request, ...timedOut});
			return;
		}

		const phase = {
			type: 'running' as const, input: channel<RunInput>(runInputCapacity), abort: new AbortController(), isBodyOpen: message.more,
		};
		reservation.phase = phase;
		reservation.progressedAt = performance.now();
		this.apply({type: 'started', id: reservation.id});
		// The scheduler may have withdrawn the slot and refused the request while it handled `started`. The request must
		// then not run, since the entry has received `refuse`, which means `not-run`. Only a request that is still
		// reserved is run.
		if (!this.#reservations.has(reservation)) {
			return;
		}

		void spawn('run', () => this.#run(reservation, phase, message)).then(async end => {
			await this.#checkEndpoint(end);
			this.#finished(reservation, end);
		});
	}

	/** Handles credit, a part of the body or a cancellation for a running request. */
	forwardInput(link: EntryLink, message: RunInput): void {
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

	/** Passes an event to the scheduler and executes the resulting actions. */
	apply(event: SchedulerEvent): void {
		const {state, actions} = this.#options.scheduler.step(this.#state, event, performance.now());
		this.#state = state;
		for (const action of actions) {
			this.#perform(action);
		}

		if (event.type === 'leaving' || (event.type === 'endpoint' && !event.up)) {
			this.#gate?.admitAll();
		}
	}

	/** Resolves once no request is running and no slot is offered. */
	async idle(): Promise<void> {
		await this.#reservations.idle();
	}

	#run(reservation: Reservation, phase: RunningPhase, start: MessageOf<'start'>): Body<RunResult> {
		return runRequest(this.#options.backend, {
			reservation, phase, start,
			onTokens: tokens => {
				this.counts.tokens += tokens;
				this.#progress.record(reservation, tokens, performance.now());
			},
			onBackoff: milliseconds => {
				this.#backOff(milliseconds);
			},
		});
	}

	/** Removes a reservation that is not running from the queue. */
	#removeQueued(reservation: Reservation): void {
		const queued = !this.#gate?.isWaiting(reservation);
		this.#remove(reservation);
		if (queued) {
			this.apply({type: 'withdrawn', id: reservation.id});
		}
	}

	/** Reservations that are queued or offered, without suspects that wait at the gate. */
	#pendingReservations(): Reservation[] {
		return this.#reservations.pending.filter(reservation => !this.#gate?.isWaiting(reservation));
	}

	/**
	 * Handles a run that failed because the endpoint was lost. Such a run reveals the failure of the endpoint earlier
	 * and more reliably than the next health check.
	 */
	async #checkEndpoint(end: RunResult): Promise<void> {
		if (end.type !== 'failed') {
			return;
		}

		if (end.failure.kind === FailureKind.endpointLost) {
			await this.#crashDetector?.connectionBroke();
		} else if (end.failure.kind === FailureKind.noEndpoint) {
			this.#options.onEndpointDown();
		}
	}

	#progressed(reservation: Reservation, tokens: number, milliseconds: number): void {
		this.#telemetry.progressed(reservation, tokens);
		this.apply({type: 'progressed', id: reservation.id, tokens, milliseconds});
	}

	#finished(reservation: Reservation, end: RunResult): void {
		this.#progress.flush(reservation, performance.now());
		const outcome = outcomeOf(reservation, end);
		this.counts[outcome] += 1;
		this.#telemetry.ended(reservation, outcome, end.type === 'failed' ? end.failure.kind : outcome);
		this.#remove(reservation, outcome === 'whole');
		if (end.type === 'failed') {
			sendToEntry(reservation, {type: 'fail', ...end.failure});
		}

		// Before `finished`, which offers the slot to the next request.
		if (end.type === 'failed' && end.failure.retryAfterMilliseconds !== undefined) {
			this.#backOff(end.failure.retryAfterMilliseconds);
		}

		this.apply({type: 'finished', id: reservation.id, outcome});
	}

	#backOff(milliseconds: number): void {
		this.apply({type: 'backoff', milliseconds});
		this.#options.onBackoff?.(milliseconds);
	}

	/**
	 * Stops the run of a request. A non-idempotent request is never stopped but runs to its end, unless its body is
	 * incomplete: the run would otherwise wait forever for the rest of the body.
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
				sendToEntry(reservation, {type: 'offer', holdMilliseconds: offerTimeoutMilliseconds});
				break;
			}

			case 'refuse': {
				this.counts.refused += 1;
				this.#telemetry.refused(reservation, action.kind, action.message);
				this.#remove(reservation);
				sendToEntry(reservation, {type: 'refuse', kind: action.kind, message: action.message, retryAfterMilliseconds: action.retryAfterMilliseconds});
				break;
			}

			case 'preempt': {
				this.#telemetry.preempted(reservation, action.forRequest);
				this.#stopRun(reservation, 'preempted');
				sendToEntry(reservation, {type: 'fail', ...createFailure(FailureKind.preempted, 'A higher tier needed the slot.', {verdict: Verdict.mayHaveRun})});
				break;
			}
		}
	}

	#remove(reservation: Reservation, ranToCompletion = false): void {
		this.#reservations.remove(reservation);
		this.#gate?.removed(reservation, ranToCompletion);
		this.#reservations.notifyIfIdle();
	}
}
