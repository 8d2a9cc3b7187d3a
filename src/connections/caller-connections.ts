import {type IncomingMessage, type Server} from 'node:http';
import {Server as NetServer, type Socket} from 'node:net';
import {type Duplex} from 'node:stream';
import {passTurn} from '../concurrency/index.js';
import {CallerConnection} from './caller-connection.js';
import {type PipelinedResponse} from './pipelined-response.js';

export type CallerConnectionsOptions = {
	readonly server: Server<typeof IncomingMessage, typeof PipelinedResponse>;
	/** Serves a request. */
	readonly onRequest: (request: IncomingMessage, response: PipelinedResponse) => void;
	/** Refuses a request, since too many of its connection are open. */
	readonly onExcess: (request: IncomingMessage, response: PipelinedResponse) => void;
	/** Called with a request that arrived behind a response that closes its connection; it is neither begun nor answered. */
	readonly onIgnored: (request: IncomingMessage) => void;
	/** Called if bytes of a connection are no HTTP request, or a request does not arrive in time. */
	readonly onMalformed: (status: number, reason: string) => void;
};

const badRequest = 400;
/** A connection stays open for so long after its announced idle timeout, for the time that the last answer and the next request are on their way. */
const idleMarginMilliseconds = 1000;
/** Statuses of the errors of Node's parser; all others are bad requests. */
const statuses: Readonly<Record<string, number>> = {HPE_HEADER_OVERFLOW: 431, ERR_HTTP_REQUEST_TIMEOUT: 408};

/** How long connections that wait are accepted before the port closes; each turn of the event loop accepts one. */
const maxAcceptMilliseconds = 300;

/** How long a server that ends waits for callers to end their side of connections that it has ended. */
const lastLingerMilliseconds = 500;

type ParserError = Error & {readonly code?: string};

/** The connections of one HTTP server. */
export class CallerConnections {
	static create(options: CallerConnectionsOptions): CallerConnections {
		return new CallerConnections(options);
	}

	readonly #options: CallerConnectionsOptions;
	readonly #connections = new Map<Duplex, CallerConnection>();
	#isStopping = false;
	/** Number of connections that were accepted. */
	#accepted = 0;
	#onEnded: (() => void) | undefined;
	#onClosed: (() => void) | undefined;

	private constructor(options: CallerConnectionsOptions) {
		this.#options = options;
		const {server} = options;
		server.on('connection', (socket: Socket) => {
			this.#add(socket);
		});
		server.on('request', (request, response) => {
			this.#accept(request, response);
		});
		server.on('clientError', (error: ParserError, socket) => {
			this.#rejectMalformed(error, socket);
		});
		server.on('connect', (_, socket) => {
			this.#rejectTunnel(socket);
		});
		server.on('timeout', (socket: Socket) => {
			this.#closeIfStillIdle(socket);
		});
	}

	/** Number of requests whose response is not complete. */
	get openRequests(): number {
		let sum = 0;
		for (const {openCount} of this.#connections.values()) {
			sum += openCount;
		}

		return sum;
	}

	/** Lets each connection close after the last response that it owes. */
	startClosing(): void {
		this.#isStopping = true;
		for (const connection of this.#connections.values()) {
			connection.startClosing();
		}
	}

	/**
	 * Closes the port and idle connections, and resolves once no response is owed and all connections are closed. Node's own way to close a server would
	 * also close connections whose last response is complete here and waits for its caller to read.
	 */
	async end(): Promise<void> {
		await this.#acceptWaiting();
		NetServer.prototype.close.call(this.#options.server);
		for (const connection of this.#connections.values()) {
			if (connection.isIdle) {
				connection.close();
			}
		}

		if (this.openRequests > 0) {
			await new Promise<void>(resolve => {
				this.#onEnded = resolve;
			});
		}

		await this.#closeRest();
	}

	/** Cuts off what is left, and resolves once each response has told its end: a process that ended sooner would end without their lines in its log. */
	async cut(): Promise<void> {
		const owed = this.openRequests;
		for (const connection of this.#connections.keys()) {
			connection.destroy();
		}

		// The ends of sockets are told behind the turn, and those of the work for them in turns that follow.
		if (owed > 0) {
			await passTurn();
			await passTurn();
		}
	}

	#add(socket: Socket): void {
		const connection = CallerConnection.create(socket);
		this.#accepted += 1;
		keepReading(socket);
		this.#connections.set(socket, connection);
		if (this.#isStopping) {
			connection.startClosing();
		}

		socket.once('close', () => {
			this.#connections.delete(socket);
			connection.abandon();
			if (this.#connections.size === 0) {
				this.#onClosed?.();
			}
		});
	}

	#accept(request: IncomingMessage, response: PipelinedResponse): void {
		const connection = this.#connections.get(request.socket);
		const outcome = connection?.add(request, response) ?? 'ignore';
		switch (outcome) {
			case 'serve': {
				this.#watchEnd(response);
				this.#keepAnnounced(request.socket, response);
				this.#options.onRequest(request, response);
				return;
			}

			case 'refuse': {
				this.#watchEnd(response);
				response.closesConnection = true;
				this.#options.onExcess(request, response);
				return;
			}

			case 'ignore': {
				request.resume();
				this.#options.onIgnored(request);
			}
		}
	}

	#watchEnd(response: PipelinedResponse): void {
		response.once('close', () => {
			if (this.#onEnded !== undefined && this.openRequests === 0) {
				this.#onEnded();
			}
		});
	}

	/**
	 * Keeps the connection idle for as long as the response announces, by the timeout at its request's arrival. Node closes it by the timeout that is in
	 * force at the response's end: if that is shorter, the next request of a caller that relies on the announced one meets a closed connection.
	 */
	#keepAnnounced(socket: Socket, response: PipelinedResponse): void {
		const announcedMilliseconds = this.#options.server.keepAliveTimeout + idleMarginMilliseconds;
		response.once('finish', () => {
			const {timeout = 0} = socket;
			if (timeout > 0 && timeout < announcedMilliseconds) {
				socket.setTimeout(announcedMilliseconds);
			}
		});
	}

	#rejectMalformed(error: ParserError, socket: Duplex): void {
		const connection = this.#connections.get(socket);
		if (connection === undefined || !socket.writable || error.code === 'ECONNRESET' || hasLeft(error, connection)) {
			socket.destroy();
			return;
		}

		const status = statusOf(error);
		if (connection.rejectMalformed(status)) {
			this.#options.onMalformed(status, error.message);
		}
	}

	/**
	 * Node takes its listeners off the connection of a caller that asks for a tunnel: an error there would end the process, the caller's leaving would not
	 * be seen, and a long answer before it would stop.
	 */
	#rejectTunnel(socket: Duplex): void {
		for (const event of ['error', 'end']) {
			socket.on(event, () => {
				socket.destroy();
			});
		}

		socket.on('drain', () => {
			this.#connections.get(socket)?.drain();
		});
		socket.resume();
		this.#rejectMalformed(new Error('CONNECT is not served'), socket);
	}

	/**
	 * Timers run before sockets are read: in a late loop a request that arrived long ago waits unread while its connection's idle timeout passes, and its
	 * caller would see a closed connection. What has arrived is read in this turn.
	 */
	#closeIfStillIdle(socket: Socket): void {
		const connection = this.#connections.get(socket);
		setImmediate(() => {
			if (connection?.isIdle === true) {
				connection.close();
			}
		});
	}

	/**
	 * A turn of the event loop accepts one connection, and the kernel resets those that still wait when the port closes: after a late turn that would be
	 * most of them. Each is accepted and read first, until a turn accepts none.
	 */
	async #acceptWaiting(): Promise<void> {
		const endsAt = performance.now() + maxAcceptMilliseconds;
		let accepted: number;
		do {
			accepted = this.#accepted;
			await passTurn();
		} while (this.#accepted > accepted && performance.now() < endsAt);
	}

	/** Closes what is left once nothing is owed; what has arrived by then is read and answered first. */
	async #closeRest(): Promise<void> {
		for (;;) {
			await passTurn();
			if (this.openRequests === 0) {
				break;
			}

			await new Promise<void>(resolve => {
				this.#onEnded = resolve;
			});
		}

		for (const connection of this.#connections.values()) {
			connection.close();
		}

		await this.#awaitClosed();
	}

	/** Waits until all connections are closed, as long as their callers' bytes may cross that. */
	async #awaitClosed(): Promise<void> {
		if (this.#connections.size === 0) {
			return;
		}

		await new Promise<void>(resolve => {
			this.#onClosed = resolve;
			setTimeout(resolve, lastLingerMilliseconds);
		});
	}
}

/** A caller that ends its connection within a request, while others are open, has left, as one that ends it behind a request. */
function hasLeft({code}: ParserError, {openCount}: CallerConnection): boolean {
	return code === 'HPE_INVALID_EOF_STATE' && openCount > 0;
}

/**
 * Node stops reading a connection whose later answers wait behind a running request beyond this mark: that the caller leaves is then not seen, and the
 * work for it goes on. What can wait is bounded by the number of open requests, and by what the server lets each response hold. The socket's own buffer
 * keeps its mark.
 */
function keepReading(socket: Socket): void {
	Object.defineProperty(socket, 'writableHighWaterMark', {value: Infinity});
}

function statusOf({code = ''}: ParserError): number {
	return statuses[code] ?? badRequest;
}
