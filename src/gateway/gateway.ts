import {once} from 'node:events';
import {createServer, type IncomingMessage, type Server, type ServerResponse} from 'node:http';
import {type AddressInfo} from 'node:net';
import {spawn} from '../concurrency/index.js';
import {chooseService} from '../routing/index.js';
import {retryAfterWithoutTable} from '../policy/dispatch/index.js';
import {hash32} from '../policy/hashing/index.js';
import {type PartLogger} from '../telemetry/index.js';
import {type RoutingState} from './routing-state.js';
import {Caller} from './caller.js';
import {type ConnectionPools} from './connection-pools.js';
import {type DecisionLog} from './decision-log.js';
import {type Dispatcher} from './dispatcher.js';
import {Exchange} from './exchange.js';
import {type EventLoopMonitor} from './event-loop-monitor.js';
import {type RequestCodec, type RequestMetadata} from './types.js';

export type GatewayOptions = {
	readonly host: string;
	readonly port: number;
	/** Bytes of callers' bodies that may be held at one time. */
	readonly maxBufferedBodyBytes: number;
	readonly routingState: RoutingState;
	readonly dispatcher: Dispatcher;
	readonly connectionPools: ConnectionPools;
	readonly codec: RequestCodec;
	readonly log: DecisionLog;
	readonly eventLoopMonitor: EventLoopMonitor;
	readonly logger: PartLogger;
};

/** Where memory for bodies is short: the time in which a few requests end. */
const fullRetryMilliseconds = 300;
/**
 * A planned stop. New connections come until the balancer has missed two of its questions, two seconds and
 * what an answer takes; the port stays open for this long, then connections that carry nothing are closed.
 * Failure: a long stream that is taken after three seconds of the stop has no time to end. Symptom: it is
 * cut in the middle. What comes later goes to another instance.
 */
export const drainListenMilliseconds = 2700;
/** A whole request takes no longer to arrive than this, whatever its headers promise. */
const requestMilliseconds = 30_000;
const defaultIdleMilliseconds = 15_000;
/** A caller's headers together: prompts' parts take a few hundred bytes, so this is ample. */
const largestHeaderBytes = 16_384;

/** The port of callers. */
export class Gateway implements AsyncDisposable {
	static async create(options: GatewayOptions): Promise<Gateway> {
		const gateway = new Gateway(options);
		gateway.#server.listen(options.port, options.host);
		await once(gateway.#server, 'listening');
		return gateway;
	}

	readonly #options: GatewayOptions;
	readonly #server: Server;
	readonly #idle = new Set<() => void>();
	/** Those that have not been answered whole. */
	readonly #open = new Set<ServerResponse>();
	readonly #startedAt = performance.now();
	#heldBytes = 0;
	#isStopping = false;

	private constructor(options: GatewayOptions) {
		this.#options = options;
		this.#server = createServer({maxHeaderSize: largestHeaderBytes, requestTimeout: requestMilliseconds, keepAliveTimeout: defaultIdleMilliseconds, noDelay: true}, (request, response) => {
			void this.#accept(request, response);
		});
		this.#server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
			if (socket.writable && error.code !== 'ECONNRESET') {
				options.log.turnedAway(undefined, 400, {reason: error.message});
				socket.end('HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n');
			} else {
				socket.destroy();
			}
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
		return this.#open.size;
	}

	get isReady(): boolean {
		return !this.#isStopping && this.#options.routingState.table !== undefined && this.#options.routingState.directory.entries.size > 0;
	}

	/** Serves what is open and what still comes, and resolves once nothing is left. */
	async drain(): Promise<void> {
		this.#isStopping = true;
		for (const response of this.#open) {
			sayLast(response);
		}

		await new Promise(resolve => {
			setTimeout(resolve, drainListenMilliseconds);
		});
		this.#server.close();
		this.#server.closeIdleConnections();
		if (this.#open.size > 0) {
			await new Promise<void>(resolve => {
				this.#idle.add(resolve);
			});
		}
	}

	async [Symbol.asyncDispose](): Promise<void> {
		this.#server.close();
		this.#server.closeAllConnections();
	}

	async #accept(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const arrivedAt = performance.now();
		const {socket} = request;
		if (socket.writableEnded) {
			// It crossed the close of its connection; nothing could be answered, so nothing is passed on.
			return;
		}

		this.#open.add(response);
		response.once('finish', () => {
			if (this.#isStopping) {
				socket.destroySoon();
			}
		});
		response.once('close', () => {
			this.#open.delete(response);
			if (this.#open.size === 0 && this.#isStopping) {
				for (const resolve of this.#idle) {
					resolve();
				}
			}
		});
		if (this.#isStopping) {
			sayLast(response);
		}

		await this.#serve(request, response, arrivedAt);
	}

	async #serve(request: IncomingMessage, response: ServerResponse, arrivedAt: number): Promise<void> {
		const {routingState: beliefs, codec, log} = this.#options;
		const caller = Caller.create(request, response);
		const read = codec.readRequest(request.headers);
		const facts = read.type === 'facts' ? read.facts : undefined;
		const turnAway = (status: number, message: string, more: {retryAfterMilliseconds?: number; closesConnection?: boolean} = {}): void => {
			log.turnedAway(facts?.id, status, {message, version: beliefs.table?.version});
			request.resume();
			caller.answer({status, message, headers: codec.gatewayResponseHeaders(facts), ...more});
		};

		const {table} = beliefs;
		if (table === undefined) {
			turnAway(503, 'No routing table yet; the request has not run.', {retryAfterMilliseconds: retryAfterWithoutTable(arrivedAt - this.#startedAt)});
			return;
		}

		if (read.type === 'wrong') {
			turnAway(400, read.message);
			return;
		}

		const path = pathOf(request);
		const route = table.findRoute(request.headers.host ?? '', path.split('?', 1)[0]!);
		const service = route === undefined ? undefined : chooseService(route, hash32(read.facts.id) / 0x1_00_00_00_00);
		if (route === undefined || service === undefined) {
			turnAway(404, 'No route begins this path at this host.');
			return;
		}

		const access = table.access(route, read.facts.key);
		if (access.type === 'unknown-key') {
			turnAway(401, 'The key is unknown.');
			return;
		}

		const announced = Number(request.headers['content-length'] ?? 0);
		if (this.#heldBytes + announced > this.#options.maxBufferedBodyBytes) {
			turnAway(503, 'Too many bodies are held; the request has not run.', {retryAfterMilliseconds: fullRetryMilliseconds});
			return;
		}

		const outcome = await caller.readBody(table.limits.bodyBytes);
		if (outcome.type === 'left') {
			log.turnedAway(facts?.id, 0, {message: 'The caller left before its body was whole.'});
			return;
		}

		if (outcome.type === 'too-large') {
			turnAway(413, 'The body is longer than the limit.', {closesConnection: true});
			return;
		}

		const readAt = performance.now();
		await nextTurn();
		this.#options.eventLoopMonitor.noteTurn(performance.now() - readAt);
		if (caller.hasLeft) {
			log.turnedAway(facts?.id, 0, {message: 'The caller left before its request was placed.'});
			return;
		}

		const held = outcome.body?.length ?? 0;
		this.#heldBytes += held;
		const exchange = Exchange.create({
			facts: read.facts, method: request.method ?? 'GET', path, rawHeaders: request.rawHeaders, body: outcome.body, table, route, service,
			workspace: access.workspace, caller, codec, dispatcher: this.#options.dispatcher, channels: this.#options.connectionPools, log, arrivedAt,
		});
		try {
			await spawn('exchange', () => exchange.run());
		} finally {
			this.#heldBytes -= held;
		}
	}
}

/**
 * Failure: a stream's head left before the stop, and its caller keeps the connection. Symptom: what it sends there
 * seconds later is taken, and cut by the stop's end. A head that has not left says that the connection
 * closes; where it has, the connection ends with the answer's last byte.
 */
function sayLast(response: ServerResponse): void {
	if (!response.headersSent) {
		response.setHeader('Connection', 'close');
	}
}

/**
 * Failure: the process was starved, a request is read late, and its caller has long closed. Symptom:
 * endpoints work for nobody. The close is read in the next turn of the event loop at the latest, since
 * it arrived before; a turn is under a tenth of a millisecond for a process with time.
 */
async function nextTurn(): Promise<void> {
	// The first callback still belongs to this turn, and no socket is read between.
	for (let turn = 0; turn < 2; turn++) {
		await new Promise<void>(resolve => {
			setImmediate(resolve);
		});
	}
}

/** The path with its query; a request in absolute form is passed on in origin form. */
function pathOf({url = '/'}: IncomingMessage): string {
	return url.startsWith('/') ? url : url.replace(/^\w+:\/\/[^\/]*/v, '');
}
