import {type CatalogueMessage, type QuarantineLedger} from '../platform/index.js';
import {channel, spawn, tryDeliver} from '../concurrency/index.js';
import {type EngineClient, type EngineLoad} from '../endpoint/index.js';
import {
	createFailure, type EndpointId, FailureKind, type InstanceId, type RequestSummary, type TargetName, Verdict, type ZoneName,
} from '../model/index.js';
import {type Outcome, type Scheduler, type SchedulerAction, type SchedulerEvent} from '../policy/scheduler/index.js';
import {type PartLogger} from '../telemetry/index.js';
import {
	type Connection, Listener, type Message, type MessageOf, protocolVersion, type Security,
} from '../wire/index.js';
import {CrashWatch} from './crash-watch.js';
import {type EndpointObserver} from './endpoint-watch.js';
import {EntryLink, type EntryLinkOwner} from './entry-link.js';
import {type RunEnd, runModel} from './model-run.js';
import {type Reservation, type RunInput, toEntry} from './reservation.js';
import {SuspectGate, type SuspectGateOwner} from './suspect-gate.js';

/** Inputs of a running request that may wait: credit, cancel and body parts, all bounded by the entry. */
const runInputCapacity = 1000;
/** How long an offered slot is kept for an entry that does not answer. */
export const offerHoldMilliseconds = 1000;
const tickMilliseconds = 50;
const heartbeatMilliseconds = 2000;
/**
 * How often an entry with requests here hears the load. Late binding decides by offers, so the
 * report may lag; at 90 entries a side a shorter interval would break the control budget.
 */
const stateMilliseconds = 500;

export type SideOptions<State> = {
	readonly instance: InstanceId;
	readonly endpoint: EndpointId;
	readonly targets: readonly TargetName[];
	readonly zone: ZoneName;
	readonly host: string;
	readonly port: number;
	readonly security: Security;
	readonly engine: EngineClient;
	readonly scheduler: Scheduler<State>;
	readonly logger: PartLogger;
	readonly catalogueOffset: () => number;
	/** Hears hello, heartbeat, pull and records of each entry, for the spread of the catalogue. */
	readonly onPeerMessage?: (message: CatalogueMessage, reply: (message: Message) => void) => void;
	/** What is known of requests that crash endpoints, and how to ask whether this one is alive. */
	readonly quarantine?: {readonly ledger: QuarantineLedger; readonly isHealthy: () => Promise<boolean>};
};

/**
 * The process beside one endpoint and its only sender. It holds the scheduler's state, applies
 * every event to it in the order of arrival, and carries out the actions at once; so the queue,
 * the slots and what the engine runs never disagree.
 */
export class Side<State = unknown> implements AsyncDisposable, EntryLinkOwner, EndpointObserver, SuspectGateOwner {
	static async create<State>(options: SideOptions<State>): Promise<Side<State>> {
		const side = new Side(options);
		side.#listener = await Listener.create({
			host: options.host,
			port: options.port,
			security: options.security,
			onConnection(connection) {
				side.#accept(connection);
			},
			onRefused(reason) {
				options.logger.warn('A peer was refused.', {reason});
			},
		});
		side.#startTimers();
		return side;
	}

	/** What ran here and what became of it, for metrics and for tests. */
	readonly counts = {whole: 0, cancelled: 0, failed: 0, preempted: 0, refused: 0, tokens: 0};
	readonly #options: SideOptions<State>;
	#state: State;
	#listener!: Listener;
	readonly #links = new Set<EntryLink>();
	readonly #reservations = new Map<string, Reservation>();
	readonly #timers: NodeJS.Timeout[] = [];
	#nextLink = 0;
	#leaving = false;
	#endpointUp = true;
	#lastState = '';
	#onIdle: (() => void) | undefined;
	readonly #gate: SuspectGate | undefined;
	readonly #crashes: CrashWatch | undefined;

	private constructor(options: SideOptions<State>) {
		this.#options = options;
		this.#state = options.scheduler.create();
		const {quarantine} = options;
		if (quarantine) {
			this.#gate = SuspectGate.create(quarantine.ledger, this);
			this.#crashes = CrashWatch.create({
				...options,
				...quarantine,
				running: () => this.#runningFingerprints(),
				endpointDied: () => {
					this.setEndpointUp(false);
				},
			});
			quarantine.ledger.listen((records, from) => {
				if (from === 'process') {
					this.#broadcast({type: 'quarantine', records: [...records]});
				}

				this.#gate!.review([...this.#reservations.values()].filter(reservation => reservation.phase.type !== 'running' && !this.#gate!.holds(reservation)));
			});
		}
	}

	get address(): string {
		return this.#listener.address;
	}

	get phase(): 'serving' | 'leaving' | 'down' {
		if (this.#leaving) {
			return 'leaving';
		}

		return this.#endpointUp ? 'serving' : 'down';
	}

	/** Figures for `status`. */
	describe(): Record<string, unknown> {
		return {
			instance: this.#options.instance,
			endpoint: this.#options.endpoint,
			zone: this.#options.zone,
			phase: this.phase,
			entries: this.#links.size,
			...this.#options.scheduler.view(this.#state),
			counts: this.counts,
			catalogueOffset: this.#options.catalogueOffset(),
		};
	}

	/** Takes no new work from now on, and resolves once what runs has ended. */
	async drain(): Promise<void> {
		this.#leaving = true;
		this.#apply({type: 'leaving'});
		this.#gate?.open();
		this.#publishState();
		if (this.#countRunning() > 0) {
			await new Promise<void>(resolve => {
				this.#onIdle = resolve;
			});
		}
	}

	/** Closes at once; `drain` first for a stop that cuts nothing. */
	async [Symbol.asyncDispose](): Promise<void> {
		this.#stopTimers();
		await this.#listener[Symbol.asyncDispose]();
		await Promise.all([...this.#links].map(async link => link.connection[Symbol.asyncDispose]()));
	}

	handle(link: EntryLink, message: Message): void {
		switch (message.type) {
			case 'reserve': {
				this.#reserve(link, message);
				break;
			}

			case 'withdraw': {
				this.#withdraw(link, message.stream);
				break;
			}

			case 'start': {
				this.#start(link, message);
				break;
			}

			case 'cancel':
			case 'credit':
			case 'body': {
				this.#passToRun(link, message);
				break;
			}

			case 'hello':
			case 'heartbeat':
			case 'pull':
			case 'records': {
				this.#options.onPeerMessage?.(message, reply => {
					link.send(reply);
				});
				break;
			}

			case 'quarantine': {
				this.#options.quarantine?.ledger.hear(message.records);
				break;
			}

			case 'offer':
			case 'refuse':
			case 'chunk':
			case 'head':
			case 'data':
			case 'end':
			case 'fail':
			case 'state': {
				link.connection.close(`an entry sent ${message.type}`);
				break;
			}
		}
	}

	/** An entry is gone: what it had waiting leaves the queue, and what ran for it is cancelled if that is harmless. */
	linkClosed(link: EntryLink): void {
		this.#links.delete(link);
		for (const stream of link.reservations.keys()) {
			this.#withdraw(link, stream);
		}
	}

	/** Tells the scheduler and the entries whether the endpoint answers. */
	setEndpointUp(up: boolean): void {
		if (up === this.#endpointUp) {
			return;
		}

		this.#endpointUp = up;
		this.#options.logger.info(up ? 'The endpoint answers again.' : 'The endpoint does not answer.', {endpoint: this.#options.endpoint});
		this.#apply({type: 'endpoint', up});
		if (!up) {
			this.#gate?.open();
		}

		this.#publishState();
	}

	/** The engine's own, lagging report: the scheduler uses it for memory pressure alone. */
	loadReported(load: EngineLoad): void {
		this.#apply({type: 'reported', memoryUsed: load.memoryUsed, running: load.running});
	}

	admit(reservation: Reservation): void {
		this.#apply({type: 'arrived', id: reservation.id, summary: reservation.summary});
	}

	refuseQuarantined(reservation: Reservation): void {
		const {kind, message} = createFailure(FailureKind.quarantined, 'Endpoints that ran this request crashed; it is not run again for some minutes.');
		this.counts.refused += 1;
		this.#leave(reservation);
		toEntry(reservation, {type: 'refuse', kind, message});
	}

	#accept(connection: Connection): void {
		this.#nextLink += 1;
		const link = EntryLink.create(connection, this.#nextLink);
		this.#links.add(link);
		link.send(this.#hello());
		link.send(this.#stateMessage());
		const known = this.#options.quarantine?.ledger.records() ?? [];
		if (known.length > 0) {
			link.send({type: 'quarantine', records: [...known]});
		}

		void spawn('entry-link', () => link.read(this));
	}

	#hello(): Message {
		const {instance, zone, endpoint, targets} = this.#options;
		return {
			type: 'hello', protocol: protocolVersion, role: 'side', instance, zone, endpoint, targets: [...targets], catalogueOffset: this.#options.catalogueOffset(),
		};
	}

	#reserve(link: EntryLink, message: MessageOf<'reserve'>): void {
		if (link.reservations.has(message.stream) || message.request !== message.summary.id) {
			link.connection.close('a reservation that contradicts an earlier message');
			return;
		}

		const reservation: Reservation = {
			id: `${link.number}:${message.stream}`, link, stream: message.stream, summary: message.summary as RequestSummary, phase: {type: 'waiting'}, progressedAt: 0,
		};
		link.reservations.set(message.stream, reservation);
		this.#reservations.set(reservation.id, reservation);
		if (this.#gate) {
			this.#gate.arrived(reservation);
		} else {
			this.admit(reservation);
		}
	}

	/** Takes a reservation that has not begun out of the queue. */
	#leave(reservation: Reservation): void {
		const queued = !this.#gate?.holds(reservation);
		this.#forget(reservation);
		if (queued) {
			this.#apply({type: 'withdrawn', id: reservation.id});
		}
	}

	#runningFingerprints(): string[] {
		return [...this.#reservations.values()].filter(({phase}) => phase.type === 'running').map(({summary}) => summary.fingerprint);
	}

	#withdraw(link: EntryLink, stream: number): void {
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
	#start(link: EntryLink, message: MessageOf<'start'>): void {
		const reservation = link.reservations.get(message.stream);
		if (reservation?.phase.type !== 'offered' || reservation.summary.id !== message.request) {
			const {kind, verdict, message: text} = createFailure(FailureKind.queueTimeout, 'The offered slot has lapsed.');
			link.send({type: 'fail', stream: message.stream, request: message.request, kind, verdict, message: text});
			return;
		}

		const phase = {type: 'running' as const, input: channel<RunInput>(runInputCapacity), abort: new AbortController()};
		reservation.phase = phase;
		reservation.progressedAt = performance.now();
		this.#apply({type: 'started', id: reservation.id});
		void spawn('run', () => runModel({
			engine: this.#options.engine,
			reservation,
			phase,
			start: message,
			onTokens: tokens => {
				this.#progressed(reservation, tokens);
			},
		})).then(async end => {
			await this.#lookAtEndpoint(end);
			this.#finished(reservation, end);
		});
	}

	/** A run that ended by a lost endpoint says more than the next check of its health, and sooner. */
	async #lookAtEndpoint(end: RunEnd): Promise<void> {
		if (end.type !== 'failed') {
			return;
		}

		if (end.failure.kind === FailureKind.endpointLost) {
			await this.#crashes?.connectionBroke();
		} else if (end.failure.kind === FailureKind.noEndpoint) {
			this.setEndpointUp(false);
		}
	}

	#progressed(reservation: Reservation, tokens: number): void {
		const now = performance.now();
		this.counts.tokens += tokens;
		this.#apply({type: 'progressed', id: reservation.id, tokens, milliseconds: now - reservation.progressedAt});
		reservation.progressedAt = now;
	}

	#finished(reservation: Reservation, end: RunEnd): void {
		const outcome = this.#outcomeOf(reservation, end);
		this.counts[outcome] += 1;
		this.#forget(reservation, outcome === 'whole');
		if (end.type === 'failed') {
			toEntry(reservation, {type: 'fail', ...end.failure});
		}

		this.#apply({type: 'finished', id: reservation.id, outcome});
		if (this.#leaving && this.#countRunning() === 0) {
			this.#onIdle?.();
		}
	}

	#outcomeOf(reservation: Reservation, end: RunEnd): Outcome {
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

	#passToRun(link: EntryLink, message: RunInput): void {
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

	/** Stops what the engine does for a request. A non-idempotent one is never stopped: it ends by itself. */
	#stopRun(reservation: Reservation, why: 'cancelled' | 'preempted'): void {
		if (reservation.phase.type !== 'running' || !reservation.summary.idempotent) {
			return;
		}

		reservation.phase.stopped = why;
		reservation.phase.abort.abort();
		tryDeliver(reservation.phase.input, {type: 'cancel', stream: reservation.stream, request: reservation.summary.id});
	}

	#apply(event: SchedulerEvent): void {
		const {state, actions} = this.#options.scheduler.step(this.#state, event, performance.now());
		this.#state = state;
		for (const action of actions) {
			this.#perform(action);
		}
	}

	#perform(action: SchedulerAction): void {
		const reservation = this.#reservations.get(action.id);
		if (reservation === undefined) {
			return;
		}

		switch (action.type) {
			case 'offer': {
				reservation.phase = {type: 'offered'};
				toEntry(reservation, {type: 'offer', holdMilliseconds: offerHoldMilliseconds});
				break;
			}

			case 'refuse': {
				this.counts.refused += 1;
				this.#forget(reservation);
				toEntry(reservation, {
					type: 'refuse', kind: action.kind, message: action.message, retryAfterMilliseconds: action.retryAfterMilliseconds,
				});
				break;
			}

			case 'preempt': {
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
	}

	#countRunning(): number {
		return [...this.#reservations.values()].filter(reservation => reservation.phase.type !== 'waiting').length;
	}

	#startTimers(): void {
		const tick = setInterval(() => {
			this.#apply({type: 'tick'});
		}, tickMilliseconds);
		const state = setInterval(() => {
			this.#publishLoad();
		}, stateMilliseconds);
		const heartbeat = setInterval(() => {
			this.#broadcast({type: 'heartbeat', catalogueOffset: this.#options.catalogueOffset()});
		}, heartbeatMilliseconds);
		this.#timers.push(tick, state, heartbeat);
	}

	#stopTimers(): void {
		for (const timer of this.#timers) {
			clearInterval(timer);
		}
	}

	#broadcast(message: Message): void {
		for (const link of this.#links) {
			link.send(message);
		}
	}

	#stateMessage(): Message {
		const view = this.#options.scheduler.view(this.#state);
		return {
			type: 'state', phase: this.phase, slots: view.slots, running: view.running, waiting: [...view.waiting], tokenMilliseconds: Math.round(view.tokenMilliseconds),
		};
	}

	/** A change of phase goes to every entry at once. */
	#publishState(): void {
		this.#broadcast(this.#stateMessage());
	}

	/** The load goes to the entries that have requests here, and only if it changed. */
	#publishLoad(): void {
		const message = this.#stateMessage();
		const text = JSON.stringify(message);
		if (text === this.#lastState) {
			return;
		}

		this.#lastState = text;
		for (const link of this.#links) {
			if (link.reservations.size > 0) {
				link.send(message);
			}
		}
	}
}
