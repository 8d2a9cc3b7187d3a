import {once} from 'node:events';
import http, {type IncomingMessage, type ServerResponse} from 'node:http';
import {type AddressInfo} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {type Catalogue} from '../catalogue/index.js';
import {type Body, spawn, wait} from '../concurrency/index.js';
import {
	createFailure, createRequestId, FailureKind, type InstanceId, RequestError, type RequestId, type WorkspaceName, type ZoneName,
} from '../model/index.js';
import {type CatalogueMessage, type MembershipClient, type QuarantineLedger} from '../platform/index.js';
import {type Placement} from '../policy/placement/index.js';
import {fingerprintOf} from '../policy/quarantine/index.js';
import {type PartLogger} from '../telemetry/index.js';
import {type Security} from '../wire/index.js';
import {type Caller, checkTarget, identifyCaller, summarize} from './admission.js';
import {Fleet} from './fleet.js';
import {type CallEnd, ModelCallInProgress, stoppingFailure} from './model-call.js';
import {
	parseModelCall, readBody, type Route, routeCall, sendFailure, StreamAnswer, WholeAnswer,
} from './protocol/index.js';
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
	readonly security: Security;
	readonly catalogue: CatalogueSource;
	readonly membership: MembershipClient;
	readonly placement: Placement<State>;
	readonly logger: PartLogger;
	readonly random: () => number;
	/** What is known of requests that crash endpoints; without it none is refused. */
	readonly quarantine?: QuarantineLedger;
	readonly onPeerMessage?: (link: SideLink, message: CatalogueMessage) => void;
	/** Called once per model call, with how it ended. */
	readonly onEnd?: (caller: Caller, end: CallEnd) => void;
};

type ModelRoute = Extract<Route, {type: 'chat' | 'completion'}>;

/** A thin instance behind the balancer: takes callers' requests and finds each one an endpoint. */
export class Entry<State = unknown> implements AsyncDisposable {
	static async create<State>(options: EntryOptions<State>): Promise<Entry<State>> {
		const entry = new Entry(options);
		entry.#server.listen(options.port, options.host);
		await once(entry.#server, 'listening');
		return entry;
	}

	readonly fleet: Fleet<State>;
	readonly retries: RetryKeeper;
	readonly #options: EntryOptions<State>;
	readonly #server: http.Server;
	#active = 0;
	/** Told the balancer to send nothing more. */
	#leaving = false;
	/** Refuses what still comes. */
	#stopping = false;
	#onIdle: (() => void) | undefined;

	private constructor(options: EntryOptions<State>) {
		this.#options = options;
		this.retries = RetryKeeper.create(options.random);
		this.fleet = Fleet.create({
			...options,
			catalogueOffset: () => options.catalogue.current().offset,
			onPeerMessage: options.onPeerMessage ?? ignorePeerMessage,
		});
		this.#server = http.createServer({keepAliveTimeout: 65_000}, (request, response) => {
			this.#accept(request, response);
		});
	}

	/** IP number and port that callers use. */
	get address(): string {
		return `${this.#options.host}:${(this.#server.address() as AddressInfo).port}`;
	}

	/** True while the balancer should send work here. */
	get isReady(): boolean {
		return !this.#leaving && this.#options.catalogue.isReady;
	}

	get activeRequests(): number {
		return this.#active;
	}

	/** Figures for `status`. */
	describe(): Record<string, unknown> {
		return {
			instance: this.#options.instance,
			zone: this.#options.zone,
			ready: this.isReady,
			active: this.#active,
			sides: this.fleet.connected.length,
			catalogueOffset: this.#options.catalogue.current().offset,
		};
	}

	/**
	 * Fails readiness, lets every request in progress end, and refuses new ones as not run.
	 *
	 * Failure: the balancer hears of the failed readiness a moment later and sends here until then.
	 * Symptom: a planned stop refuses callers that any other entry would have served. New requests are
	 * therefore served as before for `balancerMilliseconds`, and refused only after it.
	 */
	async drain(balancerMilliseconds = 0): Promise<void> {
		this.#leaving = true;
		await delay(balancerMilliseconds);
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
		this.#server.close();
		this.#server.closeAllConnections();
	}

	/**
	 * Failure: a stop closes the sockets while the last bytes of an answer are still in ours.
	 * Symptom: the caller gets a truncated answer. A request therefore counts as active until its
	 * response is closed, which Node tells after the bytes have gone to the operating system.
	 */
	#accept(request: IncomingMessage, response: ServerResponse): void {
		const id = createRequestId();
		this.#active += 1;
		if (this.#stopping) {
			response.setHeader('connection', 'close');
		}

		response.once('close', () => {
			this.#active -= 1;
			if (this.#active === 0) {
				this.#onIdle?.();
			}
		});
		void spawn('request', () => this.#serve(id, request, response));
	}

	* #serve(id: RequestId, request: IncomingMessage, response: ServerResponse): Body<void> {
		try {
			yield * this.#route(id, request, response);
		} catch (error) {
			this.#refuse(id, response, error);
		}
	}

	/**
	 * Whatever is thrown before a body left for a side is a refusal, and certain to be not run.
	 * Later failures never get here: the call in progress tells them itself.
	 */
	#refuse(id: RequestId, response: ServerResponse, error: unknown): void {
		if (error instanceof RequestError) {
			sendFailure(response, error.failure, id);
			return;
		}

		this.#options.logger.error('A request failed inside the entry.', {request: id, err: error});
		sendFailure(response, createFailure(FailureKind.internal, 'The request failed inside the router.', {verdict: 'may-have-run'}), id);
	}

	* #route(id: RequestId, request: IncomingMessage, response: ServerResponse): Body<void> {
		const arrivedAt = performance.now();
		const route = routeCall(request.method ?? 'GET', request.url ?? '/');
		const catalogue = this.#catalogueForWork();
		const caller = identifyCaller(catalogue, request.headers.authorization, headerText(request, 'cassiaflow-class'));
		switch (route.type) {
			case 'models': {
				sendModels(response, catalogue, caller);
				break;
			}

			case 'chat':
			case 'completion': {
				yield * this.#serveModelCall({id, request, response, arrivedAt, route, catalogue, caller});
				break;
			}

			case 'service': {
				throw RequestError.create(createFailure(FailureKind.unknownPath, 'Plain services are not served yet.'));
			}
		}
	}

	#catalogueForWork(): Catalogue {
		if (this.#stopping) {
			throw RequestError.create(stoppingFailure());
		}

		if (!this.#options.catalogue.isReady) {
			throw RequestError.create(createFailure(FailureKind.notReady, 'This instance has no catalogue yet.', {retryAfterMilliseconds: 1000}));
		}

		return this.#options.catalogue.current();
	}

	* #serveModelCall(context: CallContext): Body<void> {
		const {id, request, response, arrivedAt, route, catalogue, caller} = context;
		const body = yield * wait(readBody(request, this.#options.bodyLimitBytes));
		const call = parseModelCall(route, body);
		checkTarget(catalogue, caller, 'model', call.model);
		const summary = summarize(caller, {
			id, target: call.model, idempotent: true, promptTokens: call.promptTokens, prefix: call.prefix, fingerprint: fingerprintOf(caller.workspace.name as WorkspaceName, route.path, call.body),
		});
		const answer = call.stream ? StreamAnswer.create(response, {requestId: id, includeUsage: call.includeUsage}) : WholeAnswer.create(response, {requestId: id, kind: route.type});
		this.retries.requestArrived();
		const inProgress = ModelCallInProgress.create({
			fleet: this.fleet, summary, path: route.path, call, answer, arrivedAt, retries: this.retries, quarantine: this.#options.quarantine,
		});
		response.once('close', () => {
			if (!response.writableFinished) {
				inProgress.callerLeft();
			}
		});
		const end = yield * inProgress.run();
		this.#options.logger.debug('A model call ended.', {request: id, end: end.type, tokens: end.tokens, attempts: end.attempts});
		this.#options.onEnd?.(caller, end);
	}
}

type CallContext = {
	readonly id: RequestId;
	readonly request: IncomingMessage;
	readonly response: ServerResponse;
	readonly arrivedAt: number;
	readonly route: ModelRoute;
	readonly catalogue: Catalogue;
	readonly caller: Caller;
};

function sendModels(response: ServerResponse, catalogue: Catalogue, caller: Caller): void {
	const {targets} = caller.classEntry;
	const open = catalogue.models().filter(model => targets.length === 0 || targets.includes(model.name));
	const data = open.map(model => ({id: model.name, object: 'model', created: 0, owned_by: model.owner}));
	response.writeHead(200, {'content-type': 'application/json'});
	response.end(JSON.stringify({object: 'list', data}));
}

function headerText(request: IncomingMessage, name: string): string | undefined {
	const value = request.headers[name];
	return typeof value === 'string' ? value : undefined;
}

function ignorePeerMessage(): void {
	// Nothing follows the peers' catalogue offsets unless the options say who does.
}
