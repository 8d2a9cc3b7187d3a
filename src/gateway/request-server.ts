import {type IncomingMessage} from 'node:http';
import {spawn} from '../concurrency/index.js';
import {type PipelinedResponse} from '../connections/index.js';
import {type IntakeRequest} from '../policy/lateness/index.js';
import {type RequestCodec, type RequestMetadata} from './adapter/index.js';
import {type RepeatableRequest} from './crashes/index.js';
import {type GatewayOptions} from './gateway-options.js';
import {type IntakeGate, type IntakeOutcome, intakeRequestOf} from './intake-gate.js';
import {MemoryPool} from './memory/index.js';
import {findTarget, type Rejection, type RequestTarget} from './request-target.js';
import {Caller, deadlineOf, Exchange} from './requests/index.js';
import {type ScheduledRequest, type StopSchedule} from './stopping/index.js';

/** Retry delay while memory for bodies is short: a few requests end within this time. */
const bufferFullRetryMilliseconds = 300;
/** Retry delay after an error of this process: the request reaches another instance, or this one past what caused the error. */
const errorRetryMilliseconds = 300;

/** A request whose headers have arrived, at `arrivedAt` at the earliest, and were read at `readAt`. `facts` are undefined if they could not be read. */
type Arrival = {readonly request: IncomingMessage; readonly caller: Caller; readonly facts: RequestMetadata | undefined; readonly arrivedAt: number; readonly readAt: number};

const noRoom: Rejection = {status: 503, message: 'Too many bodies are held; the request has not run.', retryAfterMilliseconds: bufferFullRetryMilliseconds};

/** Retry delay for callers of an instance that stops; they reach another one. */
const stoppingRetryMilliseconds = 50;
const stopping: Rejection = {status: 503, message: 'The instance stops before the request could end; it has not run.', retryAfterMilliseconds: stoppingRetryMilliseconds};

const excess: Rejection = {status: 503, message: 'Too many requests of this connection are open; this one has not run.', retryAfterMilliseconds: bufferFullRetryMilliseconds};

/** The gateway's parts, the gate of its requests, and the schedule of its stop. */
export type RequestServerOptions = GatewayOptions & {readonly intake: IntakeGate; readonly stop: StopSchedule};

/** Serves requests of callers, from their headers on: rejects them, or reads their bodies, admits and forwards them. */
export class RequestServer {
	static create(options: RequestServerOptions): RequestServer {
		return new RequestServer(options);
	}

	readonly #options: RequestServerOptions;
	readonly #startedAt = performance.now();
	readonly #bodyMemory: MemoryPool;
	readonly #responseMemory: MemoryPool;

	private constructor(options: RequestServerOptions) {
		this.#options = options;
		this.#bodyMemory = MemoryPool.create(options.maxBodyMemoryBytes);
		this.#responseMemory = MemoryPool.create(options.maxResponseMemoryBytes);
	}

	/** Bytes that all requests hold of bodies and of answers. */
	get heldBytes(): {readonly bodies: number; readonly responses: number} {
		return {bodies: this.#bodyMemory.heldBytes, responses: this.#responseMemory.heldBytes};
	}

	/** Serves one request to its end. An error ends this request alone. */
	async serve(request: IncomingMessage, response: PipelinedResponse, arrivedAt: number): Promise<void> {
		try {
			await this.#serve(request, response, arrivedAt);
		} catch (error) {
			this.#endByError(request, response, error);
		}
	}

	/** Refuses a request since too many of its connection are open. */
	refuseExcess(request: IncomingMessage, response: PipelinedResponse): void {
		const facts = factsOf(this.#options.codec.readRequest(request.headers));
		const now = performance.now();
		this.#reject({request, caller: Caller.create(request, response), facts, arrivedAt: now, readAt: now}, {...excess, closesConnection: true});
	}

	/** Ends one request after an error of this process, before the request was forwarded; one that was has ended in its own process. */
	#endByError(request: IncomingMessage, response: PipelinedResponse, error: unknown): void {
		this.#options.log.logError(error, {request: request.headersDistinct['request-id']?.[0], sendings: 0});
		if (response.headersSent || response.destroyed) {
			response.destroy();
			return;
		}

		const caller = Caller.create(request, response);
		caller.discardBody();
		caller.respond({status: 503, message: 'The request has not run.', headers: [], retryAfterMilliseconds: errorRetryMilliseconds, closesConnection: true});
	}

	async #serve(request: IncomingMessage, response: PipelinedResponse, arrivedAt: number): Promise<void> {
		const {routingState: {table}, codec} = this.#options;
		const read = codec.readRequest(request.headers);
		const arrival: Arrival = {request, caller: Caller.create(request, response), facts: factsOf(read), arrivedAt, readAt: performance.now()};
		const found = findTarget({read, table, request, uptimeMilliseconds: arrivedAt - this.#startedAt});
		if (found.type === 'rejected') {
			await this.#rejectByHeaders(arrival, found.rejection);
			return;
		}

		const {target} = found;
		const intakeRequest = intakeRequestOf({...target, arrivedAt}, codec);
		const rejection = this.#rejectionByMemory(request) ?? this.#rejectionByLateness(intakeRequest, target);
		if (rejection !== undefined) {
			await this.#rejectByHeaders(arrival, rejection);
			return;
		}

		await this.#readBody(arrival, target, intakeRequest);
	}

	async #readBody(arrival: Arrival, target: RequestTarget, intakeRequest: IntakeRequest): Promise<void> {
		using account = this.#bodyMemory.open();
		const outcome = await this.#options.stop.beforeLastStart(scheduledOf(arrival, target, Infinity), arrival.caller.readBody(target.table.limits.bodyBytes, this.#bodyMemory, account));
		if (outcome === undefined) {
			await this.#rejectUnread(arrival, stopping);
			return;
		}

		switch (outcome.type) {
			case 'left': {
				this.#logDisconnect(arrival, 'The caller disconnected before its body was complete.');
				break;
			}

			case 'too-large': {
				this.#reject(arrival, {status: 413, message: 'The body is longer than the limit.', closesConnection: true});
				break;
			}

			case 'no-room': {
				account.hold(0);
				await this.#rejectUnread(arrival, noRoom);
				break;
			}

			case 'malformed': {
				this.#reject(arrival, {status: outcome.status, message: 'The body is malformed, or did not arrive in time.', closesConnection: true});
				break;
			}

			case 'whole': {
				await this.#begin(arrival, target, intakeRequest, outcome.body);
			}
		}
	}

	/** Begins a request that has arrived completely, once it is its turn on its connection and the event loop has time for it. */
	async #begin(arrival: Arrival, target: RequestTarget, intakeRequest: IntakeRequest, body: Uint8Array | undefined): Promise<void> {
		const {intake: gate, stop} = this.#options;
		const scheduled = scheduledOf(arrival, target, performance.now());
		const intake = await stop.beforeLastStart(scheduled, arrival.caller.turn.then(async () => gate.admit(intakeRequest)));
		if (arrival.caller.hasDisconnected) {
			this.#logDisconnect(arrival, 'The caller disconnected before its request was placed.');
			return;
		}

		if (intake?.type === 'refuse') {
			this.#reject(arrival, rejectionOf(intake, target));
			return;
		}

		if (intake === undefined || performance.now() >= stop.lastStartAt(scheduled)) {
			this.#reject(arrival, stopping);
			return;
		}

		const repeatable: RepeatableRequest = {workspace: target.workspace?.name, method: arrival.request.method ?? 'GET', path: target.path, body, parts: target.facts.sharedParts};
		const rejection = this.#rejectionByQuarantine(repeatable);
		if (rejection !== undefined) {
			this.#reject(arrival, rejection);
			return;
		}

		await this.#forward(arrival, target, repeatable);
	}

	async #forward({request, caller, arrivedAt, readAt}: Arrival, {path: _, ...target}: RequestTarget, repeatable: RepeatableRequest): Promise<void> {
		const {crashes, streams, codec, dispatcher, connectionPools, log, usage, lateness, stop} = this.#options;
		const exchange = Exchange.create({
			...target, request: repeatable, rawHeaders: request.rawHeaders, caller, arrivedAt, readAt, crashes, streams, codec, dispatcher, connectionPools, log, usage, lateness, stop, responseMemory: this.#responseMemory,
		});
		await spawn('exchange', () => exchange.run(), (_, error) => {
			log.logError(error, {request: target.facts.id, route: target.route.name, sendings: 0});
			caller.abort();
		});
	}

	/** The bodies that are held, and this one's announced length, would exceed the limit. */
	#rejectionByMemory({headers}: IncomingMessage): Rejection | undefined {
		const announcedBytes = Number(headers['content-length'] ?? 0);
		return this.#bodyMemory.hasRoomFor(announcedBytes) ? undefined : noRoom;
	}

	/** The event loop is so late that another instance serves the request sooner. */
	#rejectionByLateness(intakeRequest: IntakeRequest, target: RequestTarget): Rejection | undefined {
		const refusal = this.#options.intake.refusalOf(intakeRequest);
		return refusal && rejectionOf(refusal, target);
	}

	/** The request, or a part of its prompt, has crashed endpoints. */
	#rejectionByQuarantine(repeatable: RepeatableRequest): Rejection | undefined {
		const quarantine = this.#options.crashes.quarantineOf(repeatable, performance.now());
		return quarantine && {
			status: 503, message: 'The request, or a part of its prompt, has crashed the endpoints that ran it; it has not run.',
			retryAfterMilliseconds: quarantine.remainingMilliseconds, details: quarantine,
		};
	}

	/** Rejects a request by its headers, once all that was read with them is parsed: in a stop the response closes the connection, and what came behind would be ignored. */
	async #rejectByHeaders(arrival: Arrival, rejection: Rejection): Promise<void> {
		await Promise.resolve();
		this.#reject(arrival, rejection);
	}

	/**
	 * Rejects a request whose body is not awaited. Its connection is read on until the responses before it are complete; if its response said before that
	 * the connection closes, the requests that arrive meanwhile would get no answer. Once it is next, it closes the connection only if its body has not ended.
	 */
	async #rejectUnread(arrival: Arrival, rejection: Rejection): Promise<void> {
		const {caller} = arrival;
		caller.discardBody();
		await caller.front;
		if (caller.hasDisconnected) {
			this.#logDisconnect(arrival, 'The caller disconnected before its refusal was sent.');
			return;
		}

		this.#reject(arrival, {...rejection, closesConnection: !caller.isWhole});
	}

	/** Sends a response that says why the request is not forwarded. */
	#reject({caller, facts}: Arrival, {status, message, details, ...more}: Rejection): void {
		const {log, routingState, codec} = this.#options;
		log.logRejection(facts?.id, status, {message, version: routingState.table?.version, ...details});
		caller.discardBody();
		caller.respond({status, message, headers: codec.gatewayResponseHeaders(facts), ...more});
	}

	#logDisconnect({facts}: Arrival, message: string): void {
		this.#options.log.logRejection(facts?.id, 0, {message});
	}
}

function factsOf(read: ReturnType<RequestCodec['readRequest']>): RequestMetadata | undefined {
	return read.type === 'facts' ? read.facts : undefined;
}

/** The request as the schedule of a stop sees it. */
function scheduledOf({readAt}: Arrival, {route, facts}: RequestTarget, wholeAt: number): ScheduledRequest {
	return {route, deadlineAt: deadlineOf(readAt, route, facts), wholeAt};
}

function rejectionOf({judgement, retryAfterMilliseconds}: Extract<IntakeOutcome, {type: 'refuse'}>, {route}: RequestTarget): Rejection {
	return {status: 503, message: 'The instance is late; the request has not run.', retryAfterMilliseconds, details: {...judgement, route: route.name}};
}
