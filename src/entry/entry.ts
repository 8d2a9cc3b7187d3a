import {once} from 'node:events';
import http, {type IncomingMessage, type ServerResponse} from 'node:http';
import {type AddressInfo} from 'node:net';
import {type Catalogue} from '../catalogue/index.js';
import {spawn} from '../concurrency/index.js';
import {createRequestId, type InstanceId, type ZoneName} from '../model/index.js';
import {type CatalogueMessage, type MembershipClient, type QuarantineLedger} from '../platform/index.js';
import {type Placement} from '../policy/placement/index.js';
import {DecisionJournal, Metrics, type PartLogger, type StatusAnswer} from '../telemetry/index.js';
import {type Security} from '../wire/index.js';
import {type ClaimManager} from './claims/index.js';
import {type Caller} from './admission.js';
import {EntryTelemetry} from './entry-telemetry.js';
import {Fleet} from './fleet.js';
import {Limiter} from './limits/index.js';
import {RequestServer} from './request-server.js';
import {type CallEnd} from './model-call.js';
import {RetryKeeper} from './retry-keeper.js';
import {type SideLink} from './side-link.js';

/** Where an entry reads its catalogue; the follower of the platform's log is the usual one. */
export type CatalogueSource = {
	readonly isReady: boolean;
	current(): Catalogue;
};

export type EntryOptions<State> = {
	readonly instance: InstanceId;
	readonly zone: ZoneName;
	readonly host: string;
	readonly port: number;
	readonly bodyLimitBytes: number;
	/** Where other entries reach this one, to share limits; the membership list names it. */
	readonly internalHost?: string;
	readonly internalPort?: number;
	readonly security: Security;
	readonly catalogue: CatalogueSource;
	readonly membership: MembershipClient;
	readonly placement: Placement<State>;
	readonly logger: PartLogger;
	readonly random: () => number;
	/** What is known of requests that crash endpoints; without it none is refused. */
	readonly quarantine?: QuarantineLedger;
	/** Claims idempotency keys; without it a keyed request that may not be repeated is refused. */
	readonly claims?: ClaimManager;
	/** Metrics and decisions; a private one if left out. */
	readonly telemetry?: EntryTelemetry;
	readonly onPeerMessage?: (link: SideLink, message: CatalogueMessage) => void;
	/** Called once per model call, with how it ended. */
	readonly onEnd?: (caller: Caller, end: CallEnd) => void;
};

/** A thin instance behind the balancer: takes callers' requests and finds each one an endpoint. */
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
		entry.#requests = RequestServer.create({
			...options, fleet: entry.fleet, retries: entry.retries, telemetry: entry.telemetry, limiter, isStopping: () => entry.#stopping,
		});
		entry.#server.listen(options.port, options.host);
		await once(entry.#server, 'listening');
		entry.#address = `${options.host}:${(entry.#server.address() as AddressInfo).port}`;
		return entry;
	}

	readonly fleet: Fleet<State>;
	readonly retries: RetryKeeper;
	readonly telemetry: EntryTelemetry;
	readonly #options: EntryOptions<State>;
	readonly #server: http.Server;
	#address = '';
	#limiter!: Limiter;
	#requests!: RequestServer;
	#active = 0;
	/** Not ready any more, but still serving: the balancer has yet to notice. */
	#retiring = false;
	#stopping = false;
	#onIdle: (() => void) | undefined;

	private constructor(options: EntryOptions<State>) {
		this.#options = options;
		this.retries = RetryKeeper.create(options.random);
		this.telemetry = options.telemetry ?? EntryTelemetry.create(Metrics.create({role: 'entry'}), DecisionJournal.create());
		this.fleet = Fleet.create({
			...options,
			catalogueOffset: () => options.catalogue.current().offset,
			onPeerMessage: options.onPeerMessage ?? ignorePeerMessage,
		});
		this.#server = http.createServer({keepAliveTimeout: 65_000}, (request, response) => {
			this.#accept(request, response);
		});
	}

	/** IP number and port that callers use; still known after the entry has closed. */
	get address(): string {
		return this.#address;
	}

	/** IP number and port for other entries: the entry's address in the membership list. */
	get internalAddress(): string {
		return this.#limiter.address;
	}

	/** True while the balancer should send work here. */
	get isReady(): boolean {
		return !this.#retiring && this.#options.catalogue.isReady;
	}

	get activeRequests(): number {
		return this.#active;
	}

	/** Figures for `status`. */
	status(): Omit<StatusAnswer, 'instance' | 'role'> {
		const {zone, catalogue, quarantine} = this.#options;
		return {
			zone,
			phase: this.#phase(),
			catalogueOffset: catalogue.current().offset,
			running: this.#active,
			waiting: [],
			quarantined: quarantine?.quarantined().length ?? 0,
			peers: this.fleet.connected.length,
		};
	}

	/**
	 * Fails readiness at once. Failure: the balancer learns of it late and goes on sending here.
	 * Symptom: callers are refused by a planned stop. So new requests are still served for
	 * `noticeMilliseconds`; after that they are refused as not run, and what is in progress ends.
	 */
	async drain(noticeMilliseconds = 0): Promise<void> {
		this.#retiring = true;
		await new Promise(resolve => {
			setTimeout(resolve, noticeMilliseconds);
		});
		this.#stopping = true;
		if (this.#active > 0) {
			await new Promise<void>(resolve => {
				this.#onIdle = resolve;
			});
		}
	}

	/** Closes at once; `drain` first for a stop that cuts nothing. */
	async [Symbol.asyncDispose](): Promise<void> {
		await this.fleet[Symbol.asyncDispose]();
		await this.#limiter[Symbol.asyncDispose]();
		this.#server.close();
		this.#server.closeAllConnections();
	}

	#phase(): StatusAnswer['phase'] {
		if (this.#retiring) {
			return 'leaving';
		}

		return this.isReady ? 'serving' : 'starting';
	}

	/**
	 * Failure: a stop closes the sockets while the last bytes of an answer are still in ours.
	 * Symptom: the caller gets a truncated answer. A request therefore counts as active until its
	 * response is closed, which Node tells after the bytes have gone to the operating system.
	 */
	#accept(request: IncomingMessage, response: ServerResponse): void {
		const id = createRequestId();
		this.#active += 1;
		this.telemetry.active(this.#active);
		if (this.#retiring) {
			response.setHeader('connection', 'close');
		}

		response.once('close', () => {
			this.#active -= 1;
			this.telemetry.active(this.#active);
			if (this.#active === 0) {
				this.#onIdle?.();
			}
		});
		void spawn('request', () => this.#requests.serve(id, request, response));
	}
}

function ignorePeerMessage(): void {
	// Nothing follows the peers' catalogue offsets unless the options say who does.
}
