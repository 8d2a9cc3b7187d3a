import {type IncomingMessage} from 'node:http';
import {type Catalogue} from '../catalogue/index.js';
import {type Body, wait} from '../concurrency/index.js';
import {type PipelinedResponse} from '../connections/index.js';
import {createFailure, FailureKind, RequestError, type RequestId, type RequestSummary, type WorkspaceName} from '../model/index.js';
import {type QuarantineLedger} from '../platform/index.js';
import {fingerprintOf} from '../policy/quarantine/index.js';
import {type PartLogger} from '../telemetry/index.js';
import {type ClaimManager, type ClaimRequest} from './claims/index.js';
import {type Caller, checkTarget, identifyCaller, summarize} from './admission.js';
import {type CallEnd} from './call-end.js';
import {type CatalogueSource} from './catalogue-source.js';
import {type EntryTelemetry} from './entry-telemetry.js';
import {type Fleet} from './fleet.js';
import {type Limiter} from './limits/index.js';
import {ModelCallInProgress} from './model-call.js';
import {
	type ModelCall, parseModelCall, readBody, type Route, routeCall, sendFailure, StreamingResponse, BufferedResponse,
} from './protocol/index.js';
import {awaitParsed, awaitTurn, onCallerLeft} from './response-turn.js';
import {type RetryController} from './retry-controller.js';
import {ServiceBody} from './service-body.js';
import {ServiceCallInProgress} from './service-call.js';
import {type StopSchedule} from './stop-schedule.js';
import {createStoppingFailure} from './stopping-failure.js';

/** The parts of an entry that serving a request needs. */
export type RequestServerOptions = {
	readonly bodyLimitBytes: number;
	readonly catalogue: CatalogueSource;
	readonly logger: PartLogger;
	readonly quarantine?: QuarantineLedger;
	readonly claims?: ClaimManager;
	readonly onEnd?: (caller: Caller, end: CallEnd) => void;
	readonly fleet: Fleet;
	readonly retries: RetryController;
	readonly telemetry: EntryTelemetry;
	readonly limiter: Limiter;
	readonly stop: StopSchedule;
	/** True once new requests are refused. */
	readonly isStopping: () => boolean;
};

/** Retry delay for a caller that has too many requests open on one connection: a few of them end within this time. */
const excessRetryMilliseconds = 300;

type ModelRoute = Extract<Route, {type: 'chat' | 'completion'}>;
type ServiceRoute = Extract<Route, {type: 'service'}>;

/**
 * Serves callers' requests: determines the route, the caller and its class, applies the limits, and
 * then runs the call, which writes the response.
 */
export class RequestServer {
	static create(options: RequestServerOptions): RequestServer {
		return new RequestServer(options);
	}

	readonly #options: RequestServerOptions;

	private constructor(options: RequestServerOptions) {
		this.#options = options;
	}

	* serve(id: RequestId, request: IncomingMessage, response: PipelinedResponse): Body<void> {
		try {
			yield * this.#dispatch(id, request, response);
		} catch (error) {
			yield * awaitParsed();
			this.#refuse(id, response, error);
		}
	}

	/** Refuses a request since too many of its connection are open. */
	refuseExcess(id: RequestId, response: PipelinedResponse): void {
		this.#refuse(id, response, RequestError.create(createFailure(FailureKind.queueFull, 'Too many requests of this connection are open.', {retryAfterMilliseconds: excessRetryMilliseconds})));
	}

	/**
	 * Reports an error thrown before the request body was sent to a side, so a request that ends with a `RequestError`
	 * has certainly not run. Later failures are reported by the call itself and are never thrown.
	 */
	#refuse(id: RequestId, response: PipelinedResponse, error: unknown): void {
		if (error instanceof RequestError) {
			this.#options.telemetry.refused(id, error.failure);
			sendFailure(response, error.failure, id);
			return;
		}

		this.#options.logger.error('A request failed inside the entry.', {request: id, err: error});
		sendFailure(response, createFailure(FailureKind.internal, 'The request failed inside the router.', {verdict: 'may-have-run'}), id);
	}

	* #dispatch(id: RequestId, request: IncomingMessage, response: PipelinedResponse): Body<void> {
		const route = routeCall(request.method ?? 'GET', request.url ?? '/');
		const catalogue = this.#requireCatalogue();
		const caller = identifyCaller(catalogue, request.headers.authorization, singleHeader(request, 'cassiaflow-class'));
		switch (route.type) {
			case 'models': {
				yield * awaitParsed();
				sendModels(response, catalogue, caller);
				break;
			}

			case 'chat':
			case 'completion': {
				yield * this.#serveModelCall({id, request, response, route, catalogue, caller});
				break;
			}

			case 'service': {
				yield * this.#serveServiceCall({id, request, response, route, catalogue, caller});
				break;
			}
		}
	}

	#requireCatalogue(): Catalogue {
		if (this.#options.isStopping()) {
			throw RequestError.create(createStoppingFailure());
		}

		if (!this.#options.catalogue.isReady) {
			throw RequestError.create(createFailure(FailureKind.notReady, 'This instance has no catalogue yet.', {retryAfterMilliseconds: 1000}));
		}

		return this.#options.catalogue.current();
	}

	/** The claim that the request needs before it may run; `undefined` if it is idempotent or has no key. */
	#claimOptions(request: IncomingMessage, summary: RequestSummary, fingerprint: string): {manager: ClaimManager; request: ClaimRequest} | undefined {
		const key = singleHeader(request, 'idempotency-key');
		if (summary.idempotent || key === undefined) {
			return undefined;
		}

		const {claims} = this.#options;
		if (!claims) {
			throw RequestError.create(createFailure(FailureKind.claimUnavailable, 'This instance cannot claim idempotency keys.'));
		}

		return {manager: claims, request: {workspace: summary.workspace, key, fingerprint, requestId: summary.id}};
	}

	/**
	 * Runs a request if the limits of its class admit it, and reports its end to the limiter, also after an error. A
	 * request over the limits is refused at once, as not run, with the time after which to retry. The idempotency key
	 * is claimed only inside `run`, so that a refusal by the limits leaves no claim behind.
	 */
	* #withinLimits<Result>(caller: Caller, summary: RequestSummary, run: () => Body<Result>): Body<Result> {
		const {name, limits} = caller.classEntry;
		const decision = yield * this.#options.limiter.admit(name, limits, summary.promptTokens);
		if (decision.type !== 'admitted') {
			throw RequestError.create(createFailure(FailureKind.limited, `The class ${name} is over its limit of ${decision.limit}.`, {retryAfterMilliseconds: decision.retryAfterMilliseconds}));
		}

		try {
			return yield * run();
		} finally {
			this.#options.limiter.finish(name);
		}
	}

	* #serveServiceCall(context: CallContext<ServiceRoute>): Body<void> {
		const {id, request, response, route, catalogue, caller} = context;
		const method = request.method ?? 'GET';
		checkTarget(catalogue, caller, 'service', route.name);
		const body = ServiceBody.create(request);
		yield * body.readFirstPart();
		yield * awaitTurn(response);
		body.throwIfMalformed();
		const arrivedAt = performance.now();
		const summary = summarize(caller, {
			id,
			target: route.name,
			idempotent: isIdempotent(catalogue, route.name, method),
			promptTokens: 0,
			prefix: route.name,
			fingerprint: fingerprintOf(caller.workspace.name as WorkspaceName, `${method} ${route.path}`, body.firstPart),
		});
		this.#options.retries.requestArrived();
		this.#options.telemetry.classified(summary);
		yield * this.#withinLimits(caller, summary, () => this.#runServiceCall(context, {body, summary, arrivedAt}));
	}

	* #runServiceCall({request, response, route}: CallContext<ServiceRoute>, {body, summary, arrivedAt}: Turn & {body: ServiceBody}): Body<void> {
		const inProgress = ServiceCallInProgress.create({
			telemetry: this.#options.telemetry,
			fleet: this.#options.fleet,
			summary,
			method: request.method ?? 'GET',
			path: route.path,
			headers: forwardedHeaders(request),
			body,
			response,
			arrivedAt,
			retries: this.#options.retries,
			stop: this.#options.stop,
			quarantine: this.#options.quarantine,
			claim: this.#claimOptions(request, summary, summary.fingerprint),
		});
		onCallerLeft(response, () => {
			inProgress.callerLeft();
		});
		yield * inProgress.run();
	}

	* #serveModelCall(context: CallContext<ModelRoute>): Body<void> {
		const {id, request, response, route, catalogue, caller} = context;
		const body = yield * wait(readBody(request, this.#options.bodyLimitBytes));
		yield * awaitTurn(response);
		const arrivedAt = performance.now();
		const call = parseModelCall(route, body);
		checkTarget(catalogue, caller, 'model', call.model);
		const summary = summarize(caller, {
			id, target: call.model, idempotent: true, promptTokens: call.promptTokens, prefix: call.prefix, fingerprint: fingerprintOf(caller.workspace.name as WorkspaceName, route.path, call.body),
		});
		this.#options.retries.requestArrived();
		this.#options.telemetry.classified(summary);
		const end = yield * this.#withinLimits(caller, summary, () => this.#runModelCall(context, {call, summary, arrivedAt}));
		this.#options.limiter.spend(caller.classEntry.name, end.tokens);
		this.#options.telemetry.ended(summary, end);
		this.#options.logger.debug('A model call ended.', {request: id, end: end.type, tokens: end.tokens, attempts: end.attempts});
		this.#options.onEnd?.(caller, end);
	}

	* #runModelCall({id, request, response, route}: CallContext<ModelRoute>, {call, summary, arrivedAt}: Turn & {call: ModelCall}): Body<CallEnd> {
		const writer = call.stream ? StreamingResponse.create(response, {requestId: id, includeUsage: call.includeUsage}) : BufferedResponse.create(response, {requestId: id, kind: route.type});
		const inProgress = ModelCallInProgress.create({
			telemetry: this.#options.telemetry, fleet: this.#options.fleet, summary, path: route.path, call, response: writer, arrivedAt,
			retries: this.#options.retries, stop: this.#options.stop, quarantine: this.#options.quarantine,
			claim: this.#claimOptions(request, summary, call.fingerprintSource),
		});
		onCallerLeft(response, () => {
			inProgress.callerLeft();
		});
		return yield * inProgress.run();
	}
}

type CallContext<Kind extends Route> = {
	readonly id: RequestId;
	readonly request: IncomingMessage;
	readonly response: PipelinedResponse;
	readonly route: Kind;
	readonly catalogue: Catalogue;
	readonly caller: Caller;
};

/** A request whose turn on its connection has come, and when it did: what it waits for its own connection counts for no queue. */
type Turn = {readonly summary: RequestSummary; readonly arrivedAt: number};

function sendModels(response: PipelinedResponse, catalogue: Catalogue, caller: Caller): void {
	const {targets} = caller.classEntry;
	const available = catalogue.models().filter(model => targets.length === 0 || targets.includes(model.name));
	const data = available.map(model => ({id: model.name, object: 'model', created: 0, owned_by: model.owner}));
	response.writeHead(200, {'content-type': 'application/json'});
	response.end(JSON.stringify({object: 'list', data}));
}

function isIdempotent(catalogue: Catalogue, service: string, method: string): boolean {
	const methods: readonly string[] = catalogue.service(service)?.idempotentMethods ?? [];
	return methods.includes(method);
}

/** The headers sent to a side, without credentials. The side forwards only headers about the content to the service. */
function forwardedHeaders(request: IncomingMessage): Record<string, string> {
	const {authorization: _, cookie: __, ...rest} = request.headers;
	return Object.fromEntries(Object.entries(rest).filter((header): header is [string, string] => typeof header[1] === 'string'));
}

function singleHeader(request: IncomingMessage, name: string): string | undefined {
	const value = request.headers[name];
	return typeof value === 'string' ? value : undefined;
}
