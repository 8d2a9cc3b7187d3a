import {once} from 'node:events';
import {createServer, type IncomingMessage, type Server, type ServerResponse} from 'node:http';
import {type AddressInfo, type Socket} from 'node:net';
import {type Duplex} from 'node:stream';
import {AcceptProbe} from './accept-probe.js';
import {IntakeGate} from './intake-gate.js';
import {type GatewayOptions} from './gateway-options.js';
import {RequestServer} from './request-server.js';
import {StopSchedule} from './stopping/index.js';

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
	readonly #intake: IntakeGate;
	readonly #requests: RequestServer;
	readonly #stop = StopSchedule.create();
	readonly #acceptProbe: AcceptProbe;
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
		this.#requests = RequestServer.create({...options, intake: this.#intake, stop: this.#stop});
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

	/** Bytes that all requests hold of bodies and of answers. */
	get heldBytes(): RequestServer['heldBytes'] {
		return this.#requests.heldBytes;
	}

	get isReady(): boolean {
		return !this.#isStopping && this.#options.routingState.table !== undefined && this.#options.routingState.directory.entries.size > 0;
	}

	/**
	 * Shuts down gracefully: serves open requests, and new ones while the port stays open, and resolves once none is left. What cannot end by `endsAt`
	 * is not begun, and what has not ended by then is answered. Milliseconds of the monotonic clock.
	 */
	async drain(endsAt: number): Promise<void> {
		this.#isStopping = true;
		this.#stop.begin(endsAt);
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

	/** A caller that leaves ends or resets its connection; without either, this instance has closed it. */
	#logIfCut({socket, headersDistinct}: IncomingMessage, {writableFinished, headersSent}: ServerResponse): void {
		const hasLeft = socket.readableEnded || socket.errored !== null;
		if (!writableFinished && !hasLeft) {
			this.#options.log.logCut(headersDistinct['request-id']?.[0], {hasBegun: headersSent, isStopping: this.#isStopping});
		}
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
			this.#logIfCut(request, response);
			if (this.#openResponses.size === 0 && this.#isStopping) {
				for (const resolve of this.#drainedListeners) {
					resolve();
				}
			}
		});
		if (this.#isStopping) {
			announceClose(response);
		}

		await this.#requests.serve(request, response, arrivedAt);
	}
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
