import {spawn} from '../concurrency/index.js';
import {type EngineLoad} from '../endpoint/index.js';
import {type TargetName} from '../model/index.js';
import {type StatusAnswer} from '../telemetry/index.js';
import {type Connection, Listener, type Message, type MessageOf, protocolVersion} from '../wire/index.js';
import {type EndpointObserver} from './endpoint-watch.js';
import {EntryLink, type EntryLinkHandler} from './entry-link.js';
import {EntryLinks} from './entry-links.js';
import {type PeerMessages, receiveFromEntry} from './entry-messages.js';
import {RequestExecutor} from './request-executor.js';
import {type RunCounts} from './request-executor-options.js';
import {type SideOptions} from './side-options.js';

/** How often the scheduler gets a `tick` event while the side has requests. */
const tickMilliseconds = 50;
/** How often the side checks which heartbeats are due. */
const heartbeatTickMilliseconds = 500;
/**
 * How often the load is reported to entries with requests at this side. A request gets its slot only by an offer
 * of the side, so the report may lag; with 90 entries per side, a shorter interval would exceed the budget for
 * control traffic.
 */
const loadIntervalMilliseconds = 500;
/** A plain service has no health check: for this time after a refused connection it gets no calls, and the next one shows whether it is back. */
const serviceTrialMilliseconds = 500;

/** The side (the sidecar process of one endpoint): accepts the connections of entries and reports the endpoint's state to them. */
export class Side<State = unknown> implements AsyncDisposable, EntryLinkHandler, EndpointObserver {
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
				options.logger.warn('A connection was rejected.', {reason});
			},
		});
		side.#startTimers();
		return side;
	}

	readonly #options: SideOptions<State>;
	readonly #executor: RequestExecutor<State>;
	readonly #links = EntryLinks.create();
	readonly #peerMessages: PeerMessages;
	readonly #timers: NodeJS.Timeout[] = [];
	#listener!: Listener;
	#nextLink = 0;
	#isDraining = false;
	#isEndpointUp = true;
	#trialTimer: NodeJS.Timeout | undefined;
	#targets: readonly TargetName[];

	private constructor(options: SideOptions<State>) {
		this.#options = options;
		this.#targets = options.targets;
		this.#peerMessages = peerMessagesOf(options);
		this.#executor = RequestExecutor.create({
			...options,
			onEndpointDown: () => {
				this.setEndpointUp(false);
				this.#scheduleTrial();
			},
			onBackoff: milliseconds => {
				options.logger.info('The endpoint asks for a backoff.', {endpoint: options.endpoint, milliseconds});
				this.#publishState();
			},
		});
		options.quarantine?.ledger.addListener((records, from) => {
			if (from === 'process') {
				this.#links.broadcast({type: 'quarantine', records: [...records]});
			}
		});
	}

	get address(): string {
		return this.#listener.address;
	}

	/** The number of runs at this side by outcome, for metrics and tests. */
	get counts(): Readonly<RunCounts> {
		return this.#executor.counts;
	}

	get phase(): 'serving' | 'leaving' | 'down' {
		if (this.#isDraining) {
			return 'leaving';
		}

		return this.#isEndpointUp ? 'serving' : 'down';
	}

	/** Values for the operator's `status` command. */
	status(): Omit<StatusAnswer, 'instance' | 'role'> {
		const {endpoint, zone, catalogueOffset, quarantine} = this.#options;
		const {slots, running, waiting} = this.#executor.view;
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

	/** Refuses new requests from now on, and resolves once all runs have ended. */
	async drain(): Promise<void> {
		this.#isDraining = true;
		this.#attempt('refusal of the queue', () => {
			this.#executor.apply({type: 'leaving'});
		});
		this.#attempt('report to the entries', () => {
			this.#publishState();
		});
		await this.#executor.idle();
	}

	/** Closes all connections at once; call `drain` first for a graceful shutdown. */
	async [Symbol.asyncDispose](): Promise<void> {
		for (const timer of this.#timers) {
			clearInterval(timer);
		}

		clearTimeout(this.#trialTimer);
		await this.#listener[Symbol.asyncDispose]();
		await this.#links.closeAll();
	}

	handle(link: EntryLink, message: Message): void {
		receiveFromEntry(link, message, this.#executor, this.#peerMessages);
	}

	/** An entry has disconnected: its queued requests are withdrawn, its running ones cancelled if they are idempotent or their body is incomplete. */
	linkClosed(link: EntryLink): void {
		this.#links.delete(link);
		this.#options.logger.info('A connection from an entry ended.', {entry: link.instance, address: link.connection.peer, reason: link.connection.closeReason});
		for (const stream of link.reservations.keys()) {
			this.#executor.withdraw(link, stream);
		}
	}

	/** Reports to the scheduler and the entries whether the endpoint is reachable. */
	setEndpointUp(up: boolean): void {
		if (up === this.#isEndpointUp) {
			return;
		}

		this.#isEndpointUp = up;
		this.#options.logger.info(up ? 'The endpoint is reachable again.' : 'The endpoint is unreachable.', {endpoint: this.#options.endpoint});
		this.#executor.apply({type: 'endpoint', up});
		this.#publishState();
	}

	/** Sets the models that the endpoint serves, and announces them to every entry by a new `hello`. */
	setTargets(targets: readonly TargetName[]): void {
		this.#targets = targets;
		this.#links.broadcast(this.#hello());
	}

	/** The engine's own report, which lags; the scheduler uses it only for memory pressure. */
	loadReported(load: EngineLoad): void {
		this.#executor.apply({type: 'reported', memoryUsed: load.memoryUsed, running: load.running});
	}

	/** Does one part of a stop. Its error must not end the others: the requests that run would be cut off. */
	#attempt(part: string, work: () => void): void {
		try {
			work();
		} catch (error) {
			this.#options.logger.error('A part of the stop has failed.', {part, err: error});
		}
	}

	/** Without a health check, nothing else would tell that the endpoint is back, and its side would refuse all requests ever after. */
	#scheduleTrial(): void {
		if (this.#options.backend.type !== 'service') {
			return;
		}

		clearTimeout(this.#trialTimer);
		this.#trialTimer = setTimeout(() => {
			this.setEndpointUp(true);
		}, serviceTrialMilliseconds);
	}

	#accept(connection: Connection): void {
		this.#nextLink += 1;
		const link = EntryLink.create(connection, this.#nextLink);
		this.#links.add(link);
		link.send(this.#hello());
		link.send(this.#stateMessage());
		const records = this.#options.quarantine?.ledger.records() ?? [];
		if (records.length > 0) {
			link.send({type: 'quarantine', records: [...records]});
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
			if (!this.#executor.isEmpty) {
				this.#executor.apply({type: 'tick'});
			}
		}, tickMilliseconds);
		const load = setInterval(() => {
			this.#links.sendLoad(this.#stateMessage());
		}, loadIntervalMilliseconds);
		const heartbeat = setInterval(() => {
			this.#links.sendDueHeartbeats(this.#options.catalogueOffset());
		}, heartbeatTickMilliseconds);
		this.#timers.push(tick, load, heartbeat);
	}

	#stateMessage(): MessageOf<'state'> {
		const {slots, running, firm, waiting, tokenMilliseconds} = this.#executor.view;
		return {
			type: 'state', phase: this.phase, slots, running, firm: firm && [...firm], waiting: [...waiting], tokenMilliseconds: Math.round(tokenMilliseconds),
		};
	}

	/** Broadcasts a change of phase to every entry at once. */
	#publishState(): void {
		this.#links.broadcast(this.#stateMessage());
	}
}

function peerMessagesOf<State>({onPeerMessage, quarantine}: SideOptions<State>): PeerMessages {
	return {
		catalogueMessage(link, message) {
			onPeerMessage?.(message, reply => {
				link.send(reply);
			});
		},
		quarantineRecords(records) {
			quarantine?.ledger.receiveRecords(records);
		},
	};
}
