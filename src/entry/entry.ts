import {once} from 'node:events';
import http, {type IncomingMessage, type ServerResponse} from 'node:http';
import {type AddressInfo} from 'node:net';
import {type Catalogue} from '../catalogue/index.js';
import {type Body, spawn, wait} from '../concurrency/index.js';
import {
	createFailure, createRequestId, FailureKind, type InstanceId, RequestError, type RequestId, type RequestSummary, type WorkspaceName, type ZoneName,
} from '../model/index.js';
import {type CatalogueMessage, type MembershipClient, type QuarantineLedger} from '../platform/index.js';
import {type Placement} from '../policy/placement/index.js';
import {fingerprintOf} from '../policy/quarantine/index.js';
import {
	DecisionJournal, Metrics, type PartLogger, type StatusAnswer,
} from '../telemetry/index.js';
import {type Security} from '../wire/index.js';
import {type ClaimKeeper, type ClaimRequest} from './claims/index.js';
import {type Caller, checkTarget, identifyCaller, summarize} from './admission.js';
import {EntryTelemetry} from './entry-telemetry.js';
import {Fleet} from './fleet.js';
import {type CallEnd, ModelCallInProgress, stoppingFailure} from './model-call.js';
import {
	parseModelCall, readBody, type Route, routeCall, sendFailure, StreamAnswer, WholeAnswer,
} from './protocol/index.js';
import {RetryKeeper} from './retry-keeper.js';
import {ServiceBody} from './service-body.js';
import {ServiceCallInProgress} from './service-call.js';
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
	/** Claims idempotency keys; without it a keyed request that may not be repeated is refused. */
	readonly claims?: ClaimKeeper;
	/** Metrics and decisions; a private one if left out. */
	readonly telemetry?: EntryTelemetry;
	readonly onPeerMessage?: (link: SideLink, message: CatalogueMessage) => void;
	/** Called once per model call, with how it ended. */
	readonly onEnd?: (caller: Caller, end: CallEnd) => void;
};

type ModelRoute = Extract<Route, {type: 'chat' | 'completion'}>;
type ServiceRoute = Extract<Route, {type: 'service'}>;

/** A thin instance behind the balancer: takes callers' requests and finds each one an endpoint. */
export class Entry<State = unknown> implements AsyncDisposable {
	static async create<State>(options: EntryOptions<State>): Promise<Entry<State>> {
		const entry = new Entry(options);
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
			this.telemetry.refused(id, error.failure);
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
				yield * this.#serveServiceCall({id, request, response, arrivedAt, route, catalogue, caller});
				break;
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

	/** What must be claimed before the request may run: nothing, if it may be repeated or has no key. */
	#claimOf(request: IncomingMessage, summary: RequestSummary, fingerprint: string): {keeper: ClaimKeeper; request: ClaimRequest} | undefined {
		const key = headerText(request, 'idempotency-key');
		if (summary.idempotent || key === undefined) {
			return undefined;
		}

		const {claims} = this.#options;
		if (!claims) {
			throw RequestError.create(createFailure(FailureKind.claimUnavailable, 'Idempotency keys can not be claimed here.'));
		}

		return {keeper: claims, request: {workspace: summary.workspace, key, fingerprint, requestId: summary.id}};
	}

	* #serveServiceCall(context: CallContext<ServiceRoute>): Body<void> {
		const {id, request, response, arrivedAt, route, catalogue, caller} = context;
		const method = request.method ?? 'GET';
		checkTarget(catalogue, caller, 'service', route.name);
		const body = ServiceBody.create(request);
		yield * body.readFirst();
		const summary = summarize(caller, {
			id,
			target: route.name,
			idempotent: isIdempotent(catalogue, route.name, method),
			promptTokens: 0,
			prefix: route.name,
			fingerprint: fingerprintOf(caller.workspace.name as WorkspaceName, `${method} ${route.path}`, body.first),
		});
		this.retries.requestArrived();
		this.telemetry.classified(summary);
		const inProgress = ServiceCallInProgress.create({
			telemetry: this.telemetry,
			fleet: this.fleet,
			summary,
			method,
			path: route.path,
			headers: plainHeaders(request),
			body,
			response,
			arrivedAt,
			retries: this.retries,
			quarantine: this.#options.quarantine,
			claim: this.#claimOf(request, summary, summary.fingerprint),
		});
		response.once('close', () => {
			if (!response.writableFinished) {
				inProgress.callerLeft();
			}
		});
		yield * inProgress.run();
	}

	* #serveModelCall(context: CallContext<ModelRoute>): Body<void> {
		const {id, request, response, arrivedAt, route, catalogue, caller} = context;
		const body = yield * wait(readBody(request, this.#options.bodyLimitBytes));
		const call = parseModelCall(route, body);
		checkTarget(catalogue, caller, 'model', call.model);
		const summary = summarize(caller, {
			id, target: call.model, idempotent: true, promptTokens: call.promptTokens, prefix: call.prefix, fingerprint: fingerprintOf(caller.workspace.name as WorkspaceName, route.path, call.body),
		});
		const answer = call.stream ? StreamAnswer.create(response, {requestId: id, includeUsage: call.includeUsage}) : WholeAnswer.create(response, {requestId: id, kind: route.type});
		this.retries.requestArrived();
		this.telemetry.classified(summary);
		const inProgress = ModelCallInProgress.create({
			telemetry: this.telemetry, fleet: this.fleet, summary, path: route.path, call, answer, arrivedAt, retries: this.retries, quarantine: this.#options.quarantine,
			claim: this.#claimOf(request, summary, call.fingerprintSource),
		});
		response.once('close', () => {
			if (!response.writableFinished) {
				inProgress.callerLeft();
			}
		});
		const end = yield * inProgress.run();
		this.telemetry.ended(summary, end);
		this.#options.logger.debug('A model call ended.', {request: id, end: end.type, tokens: end.tokens, attempts: end.attempts});
		this.#options.onEnd?.(caller, end);
	}
}

type CallContext<Kind extends Route> = {
	readonly id: RequestId;
	readonly request: IncomingMessage;
	readonly response: ServerResponse;
	readonly arrivedAt: number;
	readonly route: Kind;
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

function isIdempotent(catalogue: Catalogue, service: string, method: string): boolean {
	const methods: readonly string[] = catalogue.service(service)?.idempotentMethods ?? [];
	return methods.includes(method);
}

/** What a service may be told; the side passes on only what concerns the content, and never the key. */
function plainHeaders(request: IncomingMessage): Record<string, string> {
	const {authorization: _, cookie: __, ...rest} = request.headers;
	return Object.fromEntries(Object.entries(rest).filter((header): header is [string, string] => typeof header[1] === 'string'));
}

function headerText(request: IncomingMessage, name: string): string | undefined {
	const value = request.headers[name];
	return typeof value === 'string' ? value : undefined;
}

function ignorePeerMessage(): void {
	// Nothing follows the peers' catalogue offsets unless the options say who does.
}
