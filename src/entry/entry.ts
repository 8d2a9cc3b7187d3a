import {once} from 'node:events';
import {createServer, IncomingMessage, type Server} from 'node:http';
import {type AddressInfo} from 'node:net';
import {spawn} from '../concurrency/index.js';
import {CallerConnections, PipelinedResponse} from '../connections/index.js';
import {createRequestId, type InstanceId, type RequestId, type ZoneName} from '../model/index.js';
import {type CatalogueMessage, type MembershipClient, type QuarantineLedger} from '../platform/index.js';
import {type Placement} from '../policy/placement/index.js';
import {type StopTimes} from '../policy/stopping/index.js';
import {DecisionJournal, LogLimit, Metrics, type PartLogger, type StatusAnswer} from '../telemetry/index.js';
import {type Security} from '../wire/index.js';
import {type ClaimManager} from './claims/index.js';
import {type Caller} from './admission.js';
import {type CallEnd} from './call-end.js';
import {type CatalogueSource} from './catalogue-source.js';
import {EntryTelemetry} from './entry-telemetry.js';
import {Fleet} from './fleet.js';
import {Limiter} from './limits/index.js';
import {RequestServer} from './request-server.js';
import {RetryController} from './retry-controller.js';
import {type SideLink} from './side-link.js';
import {StopSchedule} from './stop-schedule.js';

export type EntryOptions<State> = {
	readonly instance: InstanceId;
	readonly zone: ZoneName;
	readonly host: string;
	readonly port: number;
	readonly bodyLimitBytes: number;
	/** The address at which other entries reach this one to share limits; published in the membership list. */
	readonly internalHost?: string;
	readonly internalPort?: number;
	readonly security: Security;
	readonly catalogue: CatalogueSource;
	readonly membership: MembershipClient;
	readonly placement: Placement<State>;
	readonly logger: PartLogger;
	readonly random: () => number;
	/** Records of requests that crash endpoints; without it no request is refused as quarantined. */
	readonly quarantine?: QuarantineLedger;
	/** Claims idempotency keys; without it, a request that has a key and is not idempotent is refused. */
	readonly claims?: ClaimManager;
	/** Metrics and the decision journal; if omitted, the entry creates its own. */
	readonly telemetry?: EntryTelemetry;
	readonly onPeerMessage?: (link: SideLink, message: CatalogueMessage) => void;
	/** Called once per model call, with its result. */
	readonly onEnd?: (caller: Caller, end: CallEnd) => void;
};

const logMilliseconds = 1000;

/** A stateless instance behind the load balancer: accepts callers' requests and finds an endpoint for each. */
export class Entry<State = unknown> implements AsyncDisposable {
	static async create<State>(options: EntryOptions<State>): Promise<Entry<State>> {
		const entry = new Entry(options);
		const limiter = await Limiter.create({
			host: options.internalHost ?? options.host,
			port: options.internalPort ?? 0,
			security: options.security,
			entries: () => entry.fleet.entries,
			catalogue: () => options.catalogue.current(),
		});
		entry.#limiter = limiter;
		entry.#requestServer = RequestServer.create({
			...options, fleet: entry.fleet, retries: entry.retries, telemetry: entry.telemetry, limiter, stop: entry.#stop, isStopping: () => entry.#isStopping,
		});
		entry.#server.listen(options.port, options.host);
		await once(entry.#server, 'listening');
		entry.#address = `${options.host}:${(entry.#server.address() as AddressInfo).port}`;
		return entry;
	}

	readonly fleet: Fleet<State>;
	readonly retries: RetryController;
	readonly telemetry: EntryTelemetry;
	readonly #options: EntryOptions<State>;
	readonly #server: Server<typeof IncomingMessage, typeof PipelinedResponse>;
	readonly #connections: CallerConnections;
	readonly #malformedLog = LogLimit.create({intervalMilliseconds: logMilliseconds, maxKeys: 1});
	#address = '';
	#limiter!: Limiter;
	#requestServer!: RequestServer;
	#activeCount = 0;
	readonly #stop = StopSchedule.create();
	/**
	 * True from the start of a shutdown: the entry reports that it is not ready, but still serves requests until the
	 * load balancer has noticed.
	 */
	#isDraining = false;
	/** True once new requests are refused. */
	#isStopping = false;

	private constructor(options: EntryOptions<State>) {
		this.#options = options;
		this.retries = RetryController.create(options.random);
		this.telemetry = options.telemetry ?? EntryTelemetry.create(Metrics.create({role: 'entry'}), DecisionJournal.create());
		this.fleet = Fleet.create({
			...options,
			catalogueOffset: () => options.catalogue.current().offset,
			onPeerMessage: options.onPeerMessage ?? ignorePeerMessage,
		});
		this.#server = createServer({ServerResponse: PipelinedResponse, IncomingMessage, keepAliveTimeout: 65_000});
		this.#connections = this.#openConnections();
	}

	/** IP address and port for callers; remains available after the entry has closed. */
	get address(): string {
		return this.#address;
	}

	/** IP address and port for other entries: the entry's address in the membership list. */
	get internalAddress(): string {
		return this.#limiter.address;
	}

	/** True while the load balancer should send requests here. */
	get isReady(): boolean {
		return !this.#isDraining && this.#options.catalogue.isReady;
	}

	get activeRequests(): number {
		return this.#activeCount;
	}

	/** Values for the operator's `status` command. */
	status(): Omit<StatusAnswer, 'instance' | 'role'> {
		const {zone, catalogue, quarantine} = this.#options;
		return {
			zone,
			phase: this.#phase(),
			catalogueOffset: catalogue.current().offset,
			running: this.#activeCount,
			waiting: [],
			quarantined: quarantine?.quarantined().length ?? 0,
			peers: this.fleet.connected.length,
		};
	}

	/**
	 * Shuts down gracefully. Readiness fails at once, but new requests are served for another
	 * `noticeMilliseconds`: the load balancer notices the change late, and callers would otherwise be
	 * refused during a graceful shutdown. After that the port and idle connections are closed, and requests that
	 * arrive on other connections are refused as not run. What cannot end by the `times` of the stop is not begun, without them all is. Resolves when no
	 * response is owed.
	 */
	async drain(noticeMilliseconds = 0, times?: StopTimes): Promise<void> {
		this.#isDraining = true;
		if (times !== undefined) {
			this.#stop.begin(times);
		}

		this.#connections.startClosing();
		await new Promise(resolve => {
			setTimeout(resolve, noticeMilliseconds);
		});
		this.#isStopping = true;
		await this.#connections.end();
	}

	/** Closes at once and aborts requests in progress; call `drain` first to let them finish. */
	async [Symbol.asyncDispose](): Promise<void> {
		await this.fleet[Symbol.asyncDispose]();
		await this.#limiter[Symbol.asyncDispose]();
		this.#server.close();
		await this.#connections.cut();
	}

	#phase(): StatusAnswer['phase'] {
		if (this.#isDraining) {
			return 'leaving';
		}

		return this.isReady ? 'serving' : 'starting';
	}

	#openConnections(): CallerConnections {
		const {logger} = this.#options;
		return CallerConnections.create({
			server: this.#server,
			onRequest: (request, response) => {
				const id = this.#accept(request, response);
				void spawn('request', () => this.#requestServer.serve(id, request, response));
			},
			onExcess: (request, response) => {
				this.#requestServer.refuseExcess(this.#accept(request, response), response);
			},
			onIgnored() {
				logger.info('A request behind a response that closes its connection has not run.');
			},
			onMalformed: (status, reason) => {
				if (this.#malformedLog.allows('malformed')) {
					logger.info('A caller sent what is no request.', {status, reason});
				}
			},
		});
	}

	/**
	 * A request counts as active until its response is closed, which Node reports after the bytes have
	 * been handed to the operating system. Otherwise a shutdown could close the socket while the last
	 * bytes are still in the process's buffer, and the caller would get a truncated response.
	 */
	#accept(request: IncomingMessage, response: PipelinedResponse): RequestId {
		const id = createRequestId();
		this.#activeCount += 1;
		this.telemetry.active(this.#activeCount);
		const {socket} = request;
		response.once('close', () => {
			this.#activeCount -= 1;
			this.telemetry.active(this.#activeCount);
			// A caller that leaves ends or resets its connection; without either, this instance has closed it.
			if (!response.writableFinished && !socket.readableEnded && socket.errored === null) {
				this.#options.logger.warn('A response was cut off.', {request: id, hasBegun: response.headersSent, isStopping: this.#isDraining});
			}
		});
		return id;
	}
}

function ignorePeerMessage(): void {
	// Without `onPeerMessage`, catalogue messages from peers are ignored.
}
