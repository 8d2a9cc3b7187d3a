import {once} from 'node:events';
import {createServer, type IncomingMessage, type Server, type ServerResponse} from 'node:http';
import {type AddressInfo, type Socket} from 'node:net';
import {type Duplex} from 'node:stream';
import {spawn} from '../concurrency/index.js';
import {type IntakeRequest} from '../policy/lateness/index.js';
import {Caller, Exchange} from './requests/index.js';
import {type RepeatableRequest} from './crashes/index.js';
import {AcceptProbe} from './accept-probe.js';
import {IntakeGate, type IntakeOutcome, intakeRequestOf} from './intake-gate.js';
import {type RequestMetadata} from './adapter/index.js';
import {type GatewayOptions} from './gateway-options.js';
import {findTarget, type Rejection, type RequestTarget} from './request-target.js';

/** Retry delay while memory for bodies is short: a few requests end within this time. */
const bufferFullRetryMilliseconds = 300;
/**
 * How long the port stays open during a graceful shutdown; then idle connections are closed. The load balancer sends new
 * connections until two health checks have failed, which takes two seconds and the time of a response. A long stream that is
 * accepted three seconds after the start of the shutdown would not have time to end and would be truncated, so requests that arrive
 * after the port has closed must go to another instance.
 */
export const drainListenMilliseconds = 2700;
/** A request must arrive completely within this time, whatever length its headers announce. */
const requestTimeoutMilliseconds = 30_000;
const defaultIdleMilliseconds = 15_000;
/** Limit for the headers of a request; prompt parts take a few hundred bytes of it. */
const maxHeaderBytes = 16_384;

/** A request whose headers have arrived. `facts` are undefined if its headers could not be read. */
type Arrival = {readonly request: IncomingMessage; readonly caller: Caller; readonly facts: RequestMetadata | undefined; readonly arrivedAt: number};

/** The HTTP server for callers. */
export class Gateway implements AsyncDisposable {
	static async create(options: GatewayOptions): Promise<Gateway> {
		const gateway = new Gateway(options);
		gateway.#server.listen(options.port, options.host);
		await once(gateway.#server, 'listening');
		return gateway;
	}

	readonly #options: GatewayOptions;
	readonly #server: Server;
	/** Called when the last open response ends during a graceful shutdown. */
	readonly #drainedListeners = new Set<() => void>();
	/** Responses that are not complete yet. */
	readonly #openResponses = new Set<ServerResponse>();
	readonly #startedAt = performance.now();
	readonly #intake: IntakeGate;
	readonly #acceptProbe: AcceptProbe;
	#bufferedBytes = 0;
	#isStopping = false;

	private constructor(options: GatewayOptions) {
		this.#options = options;
		this.#intake = IntakeGate.create({
			lateness: options.lateness, random: Math.random, hasOthers: () => options.dispatcher.view.instances > 1, nextTurn(task) {
				setImmediate(task);
			},
			onTurn(milliseconds) {
				options.eventLoopMonitor.recordTurn(milliseconds);
			},
			openProbe: () => {
				this.#acceptProbe.open();
			},
		});
		this.#acceptProbe = AcceptProbe.create({
			address: () => this.#server.listening ? this.#server.address() as AddressInfo : undefined, logger: options.logger, onEnd: outcome => {
				this.#intake.recordProbe(outcome);
			},
		});
		this.#server = createServer({maxHeaderSize: maxHeaderBytes, requestTimeout: requestTimeoutMilliseconds, keepAliveTimeout: defaultIdleMilliseconds, noDelay: true}, (request, response) => {
			void this.#accept(request, response);
		});
		this.#server.on('connection', (socket: Socket) => {
			const openedAt = this.#intake.recordConnection();
			if (!this.#acceptProbe.accept(socket)) {
				options.lateness.recordConnection(socket, openedAt);
			}
		});
		this.#server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
			this.#rejectMalformed(error, socket);
		});
		options.routingState.onChange(change => {
			if (change.type === 'table') {
				this.#server.keepAliveTimeout = change.input.limits.idleMilliseconds;
				this.#server.headersTimeout = change.input.limits.headerMilliseconds;
			}
		});
	}

	get address(): string {
		return `${this.#options.host}:${(this.#server.address() as AddressInfo).port}`;
	}

	get openRequests(): number {
		return this.#openResponses.size;
	}

	get isReady(): boolean {
		return !this.#isStopping && this.#options.routingState.table !== undefined && this.#options.routingState.directory.entries.size > 0;
	}

	/** Shuts down gracefully: serves open requests, and new ones while the port stays open, and resolves once none is left. */
	async drain(): Promise<void> {
		this.#isStopping = true;
		for (const response of this.#openResponses) {
			announceClose(response);
		}

		await new Promise(resolve => {
			setTimeout(resolve, drainListenMilliseconds);
		});
		this.#server.close();
		this.#server.closeIdleConnections();
		if (this.#openResponses.size > 0) {
			await new Promise<void>(resolve => {
				this.#drainedListeners.add(resolve);
			});
		}
	}

	async [Symbol.asyncDispose](): Promise<void> {
		this.#acceptProbe[Symbol.dispose]();
		this.#server.close();
		this.#server.closeAllConnections();
	}

	/** Ends a connection whose bytes are no HTTP request. */
	#rejectMalformed(error: NodeJS.ErrnoException, socket: Duplex): void {
		if (!socket.writable || error.code === 'ECONNRESET') {
			socket.destroy();
			return;
		}

		this.#options.log.logRejection(undefined, 400, {reason: error.message});
		socket.end('HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n');
	}

	async #accept(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const {socket} = request;
		const arrivedAt = this.#options.lateness.arrivalOf(socket);
		if (socket.writableEnded) {
			// The request arrived while the gateway closed its connection. No response is possible, so it is not forwarded.
			return;
		}

		this.#openResponses.add(response);
		response.once('finish', () => {
			if (this.#isStopping) {
				socket.destroySoon();
			}
		});
		response.once('close', () => {
			this.#openResponses.delete(response);
			if (this.#openResponses.size === 0 && this.#isStopping) {
				for (const resolve of this.#drainedListeners) {
					resolve();
				}
			}
		});
		if (this.#isStopping) {
			announceClose(response);
		}

		await this.#serve(request, response, arrivedAt);
	}

	async #serve(request: IncomingMessage, response: ServerResponse, arrivedAt: number): Promise<void> {
		const {routingState: {table}, codec} = this.#options;
		const read = codec.readRequest(request.headers);
		const arrival: Arrival = {request, caller: Caller.create(request, response), facts: read.type === 'facts' ? read.facts : undefined, arrivedAt};
		const found = findTarget({read, table, request, uptimeMilliseconds: arrivedAt - this.#startedAt});
		if (found.type === 'rejected') {
			this.#reject(arrival, found.rejection);
			return;
		}

		const {target} = found;
		const intakeRequest = intakeRequestOf({...target, arrivedAt}, codec);
		const rejection = this.#rejectionByMemory(request) ?? this.#rejectionByLateness(intakeRequest, target);
		if (rejection !== undefined) {
			this.#reject(arrival, rejection);
			return;
		}

		await this.#readBody(arrival, target, intakeRequest);
	}

	async #readBody(arrival: Arrival, target: RequestTarget, intakeRequest: IntakeRequest): Promise<void> {
		const outcome = await arrival.caller.readBody(target.table.limits.bodyBytes);
		switch (outcome.type) {
			case 'left': {
				this.#logDisconnect(arrival, 'The caller disconnected before its body was complete.');
				break;
			}

			case 'too-large': {
				this.#reject(arrival, {status: 413, message: 'The body is longer than the limit.', closesConnection: true});
				break;
			}

			case 'whole': {
				await this.#holdBody(outcome.body, async () => this.#begin(arrival, target, intakeRequest, outcome.body));
			}
		}
	}

	/** Counts a body as buffered while its request is served. */
	async #holdBody(body: Uint8Array | undefined, serve: () => Promise<void>): Promise<void> {
		const bytes = body?.length ?? 0;
		this.#bufferedBytes += bytes;
		try {
			await serve();
		} finally {
			this.#bufferedBytes -= bytes;
		}
	}

	/** Begins a request that has arrived completely, once the event loop has time for it. */
	async #begin(arrival: Arrival, target: RequestTarget, intakeRequest: IntakeRequest, body: Uint8Array | undefined): Promise<void> {
		const intake = await this.#intake.admit(intakeRequest);
		if (arrival.caller.hasDisconnected) {
			this.#logDisconnect(arrival, 'The caller disconnected before its request was placed.');
			return;
		}

		if (intake.type === 'refuse') {
			this.#reject(arrival, rejectionOf(intake, target));
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

	async #forward({request, caller, arrivedAt}: Arrival, {path: _, ...target}: RequestTarget, repeatable: RepeatableRequest): Promise<void> {
		const {crashes, streams, codec, dispatcher, connectionPools, log, usage, lateness} = this.#options;
		const exchange = Exchange.create({
			...target, request: repeatable, rawHeaders: request.rawHeaders, caller, arrivedAt, crashes, streams, codec, dispatcher, connectionPools, log, usage, lateness,
		});
		await spawn('exchange', () => exchange.run());
	}

	/** The bodies that are held, and this one's announced length, would exceed the limit. */
	#rejectionByMemory({headers}: IncomingMessage): Rejection | undefined {
		const announcedBytes = Number(headers['content-length'] ?? 0);
		return this.#bufferedBytes + announcedBytes > this.#options.maxBufferedBodyBytes
			? {status: 503, message: 'Too many bodies are held; the request has not run.', retryAfterMilliseconds: bufferFullRetryMilliseconds}
			: undefined;
	}

	/** The event loop is so late that another instance serves the request sooner. */
	#rejectionByLateness(intakeRequest: IntakeRequest, target: RequestTarget): Rejection | undefined {
		const refusal = this.#intake.refusalOf(intakeRequest);
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

	/** Sends a response that says why the request is not forwarded. */
	#reject({request, caller, facts}: Arrival, {status, message, details, ...more}: Rejection): void {
		const {log, routingState, codec} = this.#options;
		log.logRejection(facts?.id, status, {message, version: routingState.table?.version, ...details});
		request.resume();
		caller.respond({status, message, headers: codec.gatewayResponseHeaders(facts), ...more});
	}

	#logDisconnect({facts}: Arrival, message: string): void {
		this.#options.log.logRejection(facts?.id, 0, {message});
	}
}

function rejectionOf({judgement, retryAfterMilliseconds}: Extract<IntakeOutcome, {type: 'refuse'}>, {route}: RequestTarget): Rejection {
	return {status: 503, message: 'The instance is late; the request has not run.', retryAfterMilliseconds, details: {...judgement, route: route.name}};
}

/**
 * Announces that the connection closes after this response, if its headers are not sent yet; otherwise the connection is
 * closed after the response's last byte. Without this, a caller would keep its connection and send a request there seconds
 * later, which the end of the shutdown would interrupt.
 */
function announceClose(response: ServerResponse): void {
	if (!response.headersSent) {
		response.setHeader('Connection', 'close');
	}
}
