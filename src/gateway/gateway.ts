import {once} from 'node:events';
import {createServer, IncomingMessage, type Server} from 'node:http';
import {type AddressInfo, type Socket} from 'node:net';
import {Timeout} from '../concurrency/index.js';
import {CallerConnections, PipelinedResponse} from '../connections/index.js';
import {type StopTimes} from '../policy/stopping/index.js';
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
	readonly #server: Server<typeof IncomingMessage, typeof PipelinedResponse>;
	readonly #connections: CallerConnections;
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
		this.#server = createServer({
			ServerResponse: PipelinedResponse, IncomingMessage, maxHeaderSize: maxHeaderBytes, requestTimeout: requestTimeoutMilliseconds, keepAliveTimeout: defaultIdleMilliseconds, noDelay: true,
		});
		this.#connections = this.#openConnections();
		this.#server.on('connection', (socket: Socket) => {
			const openedAt = this.#intake.recordConnection();
			if (!this.#acceptProbe.accept(socket)) {
				options.lateness.recordConnection(socket, openedAt);
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
		return this.#connections.openRequests;
	}

	/** Bytes that all requests hold of bodies and of answers. */
	get heldBytes(): RequestServer['heldBytes'] {
		return this.#requests.heldBytes;
	}

	get isReady(): boolean {
		return !this.#isStopping && this.#options.routingState.table !== undefined && this.#options.routingState.directory.entries.size > 0;
	}

	/**
	 * Shuts down gracefully: serves open requests, and new ones while the port stays open, and resolves once none is left. What cannot end by the end
	 * of the stop is not begun, and what has not ended by then is answered.
	 */
	async drain(times: StopTimes): Promise<void> {
		this.#isStopping = true;
		this.#stop.begin(times);
		this.#connections.startClosing();
		// Its last turn reads what has arrived: a connection that waits to be accepted when the port closes is reset, and so is an idle one with a request unread.
		await new Promise<void>(resolve => {
			Timeout.start(drainListenMilliseconds, () => {
				resolve();
			});
		});
		await this.#connections.end();
	}

	async [Symbol.asyncDispose](): Promise<void> {
		this.#acceptProbe[Symbol.dispose]();
		this.#server.close();
		await this.#connections.cut();
	}

	#openConnections(): CallerConnections {
		const {log} = this.#options;
		return CallerConnections.create({
			server: this.#server,
			onRequest: (request, response) => {
				void this.#accept(request, response);
			},
			onExcess: (request, response) => {
				this.#logIfCut(request, response);
				this.#requests.refuseExcess(request, response);
			},
			onIgnored(request) {
				log.logIgnored(idOf(request));
			},
			onMalformed(status, reason) {
				log.logRejection(undefined, status, {reason});
			},
		});
	}

	async #accept(request: IncomingMessage, response: PipelinedResponse): Promise<void> {
		this.#logIfCut(request, response);
		await this.#requests.serve(request, response, this.#options.lateness.arrivalOf(request.socket));
	}

	/**
	 * Logs a response that this instance cuts off. A caller that leaves ends or resets its connection; without either, this instance has closed it.
	 * Node counts what a closed connection drops as sent.
	 */
	#logIfCut(request: IncomingMessage, response: PipelinedResponse): void {
		const {socket} = request;
		let isSent = false;
		response.once('finish', () => {
			isSent = !socket.destroyed;
		});
		response.once('close', () => {
			const hasLeft = socket.readableEnded || socket.errored !== null;
			if (!isSent && !hasLeft) {
				this.#options.log.logCut(idOf(request), {hasBegun: response.headersSent, isStopping: this.#isStopping});
			}
		});
	}
}

function idOf({headersDistinct}: IncomingMessage): string | undefined {
	return headersDistinct['request-id']?.[0];
}
