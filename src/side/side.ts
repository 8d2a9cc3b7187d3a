import {spawn} from '../concurrency/index.js';
import {type EngineLoad} from '../endpoint/index.js';
import {type EndpointId, type InstanceId, type TargetName, type ZoneName} from '../model/index.js';
import {type CatalogueMessage, type QuarantineLedger} from '../platform/index.js';
import {type Scheduler} from '../policy/scheduler/index.js';
import {type PartLogger, type StatusAnswer} from '../telemetry/index.js';
import {
	type Connection, Listener, type Message, protocolVersion, type Security,
} from '../wire/index.js';
import {type EndpointObserver} from './endpoint-watch.js';
import {EntryLink, type EntryLinkOwner} from './entry-link.js';
import {type SideTelemetry} from './side-telemetry.js';
import {type Backend, Work, type WorkCounts} from './work.js';

const tickMilliseconds = 50;
/** How often it looks which heartbeats are due. */
const heartbeatTickMilliseconds = 500;
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
	readonly backend: Backend;
	readonly scheduler: Scheduler<State>;
	readonly logger: PartLogger;
	/** Metrics and decisions; a private one if left out. */
	readonly telemetry?: SideTelemetry;
	readonly catalogueOffset: () => number;
	/** Hears hello, heartbeat, pull and records of each entry, for the spread of the catalogue. */
	readonly onPeerMessage?: (message: CatalogueMessage, reply: (message: Message) => void) => void;
	/** What is known of requests that crash endpoints, and how to ask whether this one is alive. */
	readonly quarantine?: {readonly ledger: QuarantineLedger; readonly isHealthy: () => Promise<boolean>};
};

/** The process beside one endpoint: takes entries' connections and tells them how the endpoint stands. */
export class Side<State = unknown> implements AsyncDisposable, EntryLinkOwner, EndpointObserver {
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

	readonly #options: SideOptions<State>;
	readonly #work: Work<State>;
	readonly #links = new Set<EntryLink>();
	readonly #timers: NodeJS.Timeout[] = [];
	#listener!: Listener;
	#nextLink = 0;
	#leaving = false;
	#endpointUp = true;
	#targets: readonly TargetName[];
	#lastState = '';

	private constructor(options: SideOptions<State>) {
		this.#options = options;
		this.#targets = options.targets;
		this.#work = Work.create({
			...options,
			endpointDown: () => {
				this.setEndpointUp(false);
			},
		});
		options.quarantine?.ledger.addListener((records, from) => {
			if (from === 'process') {
				this.#broadcast({type: 'quarantine', records: [...records]});
			}
		});
	}

	get address(): string {
		return this.#listener.address;
	}

	/** What ran here and what became of it, for metrics and for tests. */
	get counts(): Readonly<WorkCounts> {
		return this.#work.counts;
	}

	get phase(): 'serving' | 'leaving' | 'down' {
		if (this.#leaving) {
			return 'leaving';
		}

		return this.#endpointUp ? 'serving' : 'down';
	}

	/** Figures for `status`. */
	status(): Omit<StatusAnswer, 'instance' | 'role'> {
		const {endpoint, zone, catalogueOffset, quarantine} = this.#options;
		const {slots, running, waiting} = this.#work.view;
		return {
			zone,
			phase: this.phase,
			catalogueOffset: catalogueOffset(),
			running,
			waiting: [...waiting],
			quarantined: quarantine?.ledger.quarantined().length ?? 0,
			peers: this.#links.size,
			endpoint,
			targets: [...this.#targets],
			slots,
		};
	}

	/** Takes no new work from now on, and resolves once what runs has ended. */
	async drain(): Promise<void> {
		this.#leaving = true;
		this.#work.apply({type: 'leaving'});
		this.#publishState();
		await this.#work.idle();
	}

	/** Closes at once; `drain` first for a stop that cuts nothing. */
	async [Symbol.asyncDispose](): Promise<void> {
		for (const timer of this.#timers) {
			clearInterval(timer);
		}

		await this.#listener[Symbol.asyncDispose]();
		await Promise.all([...this.#links].map(async link => link.connection[Symbol.asyncDispose]()));
	}

	handle(link: EntryLink, message: Message): void {
		switch (message.type) {
			case 'reserve': {
				this.#work.reserve(link, message);
				break;
			}

			case 'withdraw': {
				this.#work.withdraw(link, message.stream);
				break;
			}

			case 'start': {
				this.#work.start(link, message);
				break;
			}

			case 'cancel':
			case 'credit':
			case 'body': {
				this.#work.input(link, message);
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
				this.#options.quarantine?.ledger.receiveRecords(message.records);
				break;
			}

			case 'offer':
			case 'refuse':
			case 'chunk':
			case 'head':
			case 'data':
			case 'end':
			case 'fail':
			case 'state':
			case 'limit-report':
			case 'limit-lease':
			case 'gateway-hello':
			case 'routing-version':
			case 'routing-wanted':
			case 'kept':
			case 'routing':
			case 'endpoints':
			case 'load': {
				link.connection.close(`an entry sent ${message.type}`);
				break;
			}
		}
	}

	/** An entry is gone: what it had waiting leaves the queue, and what ran for it is cancelled if that is harmless. */
	linkClosed(link: EntryLink): void {
		this.#links.delete(link);
		this.#options.logger.info('A connection from an entry ended.', {entry: link.instance, address: link.connection.peer, reason: link.connection.closeReason});
		for (const stream of link.reservations.keys()) {
			this.#work.withdraw(link, stream);
		}
	}

	/** Tells the scheduler and the entries whether the endpoint answers. */
	setEndpointUp(up: boolean): void {
		if (up === this.#endpointUp) {
			return;
		}

		this.#endpointUp = up;
		this.#options.logger.info(up ? 'The endpoint answers again.' : 'The endpoint does not answer.', {endpoint: this.#options.endpoint});
		this.#work.apply({type: 'endpoint', up});
		this.#publishState();
	}

	/** The endpoint serves other models now: every entry is told by a new `hello`. */
	setTargets(targets: readonly TargetName[]): void {
		this.#targets = targets;
		this.#broadcast(this.#hello());
	}

	/** The engine's own, lagging report: the scheduler uses it for memory pressure alone. */
	loadReported(load: EngineLoad): void {
		this.#work.apply({type: 'reported', memoryUsed: load.memoryUsed, running: load.running});
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
		const {instance, zone, endpoint} = this.#options;
		return {
			type: 'hello', protocol: protocolVersion, role: 'side', instance, zone, endpoint, targets: [...this.#targets], catalogueOffset: this.#options.catalogueOffset(),
		};
	}

	#startTimers(): void {
		const tick = setInterval(() => {
			if (!this.#work.isEmpty) {
				this.#work.apply({type: 'tick'});
			}
		}, tickMilliseconds);
		const state = setInterval(() => {
			this.#publishLoad();
		}, stateMilliseconds);
		const heartbeat = setInterval(() => {
			this.#beat();
		}, heartbeatTickMilliseconds);
		this.#timers.push(tick, state, heartbeat);
	}

	#beat(): void {
		const catalogueOffset = this.#options.catalogueOffset();
		for (const link of this.#links) {
			link.connection.setBusy(link.reservations.size > 0);
			if (link.connection.takeHeartbeat(this.#links.size)) {
				link.send({type: 'heartbeat', catalogueOffset});
			}
		}
	}

	#broadcast(message: Message): void {
		for (const link of this.#links) {
			link.send(message);
		}
	}

	#stateMessage(): Message {
		const {slots, running, firm, waiting, tokenMilliseconds} = this.#work.view;
		return {
			type: 'state', phase: this.phase, slots, running, firm: firm === undefined ? undefined : [...firm], waiting: [...waiting], tokenMilliseconds: Math.round(tokenMilliseconds),
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
