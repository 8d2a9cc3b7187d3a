import {Agent, type AgentOptions, type ClientRequest, type ClientRequestArgs} from 'node:http';
import {type Socket} from 'node:net';
import {type Duplex} from 'node:stream';
import {endsInSilence, type Restart} from '../../policy/incarnations/index.js';

/**
 * Limit for idle connections. If an endpoint closes an idle connection, a request sent on it at that moment is reset, and one
 * that may not run twice is lost with the verdict that it may have run. The limit is well under the idle timeouts of usual
 * servers (five seconds and more).
 */
const maxIdleMilliseconds = 4000;
/** Subtracted from the idle timeout that an endpoint announces, for the network delay. */
const idleMarginMilliseconds = 1000;
/**
 * An endpoint registers as soon as it has started, and this instance is notified within this time. A connection that is older than
 * this at the notification therefore belongs to a previous incarnation.
 */
const restartNoticeMilliseconds = 2000;
/** TCP keep-alive probes start after this silence, so that a dead connection is detected. */
const keepAliveProbeMilliseconds = 2000;

type FreeSocket = Socket & {_httpMessage?: {res?: {headers: Record<string, string | undefined>}}};
type OnConnected = Parameters<Agent['createConnection']>[1];
type AgentHooks = {
	keepSocketAlive(socket: Socket): boolean;
	reuseSocket(socket: Socket, request: ClientRequest): void;
};
/** Node's typings leave out the two methods that its documentation names for overriding. */
const HookedAgent = Agent as unknown as new (options: AgentOptions) => Agent & AgentHooks;

/** Connections to earlier incarnations of an endpoint, by whether they carried a request when it restarted. */
export type StaleConnections = {readonly free: number; readonly busy: number};

/**
 * Keep-alive connections to one endpoint, the most recently used first. Data on a connection that carries no request closes
 * it: bytes that an endpoint sends after a complete response, or a late second response, would otherwise be read as the
 * response to the next request.
 */
export class ConnectionPool extends HookedAgent {
	static create(largestConnections: number): ConnectionPool {
		return new ConnectionPool(largestConnections);
	}

	/** When each open connection was opened, and to which address. */
	readonly #opened = new Map<Socket, {readonly at: number; readonly address: string}>();
	/** Connections that carry no request any more after the last restart. */
	readonly #retired = new WeakSet<Socket>();
	/** Called for connections with a request whose endpoint has restarted at its address. */
	readonly #watchers = new Map<Socket, () => void>();

	private constructor(largestConnections: number) {
		super({keepAlive: true, keepAliveMsecs: keepAliveProbeMilliseconds, scheduling: 'lifo', maxSockets: largestConnections, noDelay: true});
	}

	/** Whether a connection is open or being opened; idle ones close after their timeout. */
	get hasConnections(): boolean {
		return this.#opened.size > 0;
	}

	/**
	 * Uses connections to earlier incarnations for no other request, and closes them once they are free. Requests on them are told if their connection may
	 * bring nothing more: if an endpoint crashes and restarts behind a network partition, no packet ends its connections, and callers would wait for
	 * responses that never come.
	 */
	handleRestart(restart: Restart): StaleConnections {
		const free = new Set<Socket | undefined>(Object.values(this.freeSockets).flat());
		const stale = this.#staleConnections();
		for (const {socket, address} of stale) {
			this.#retired.add(socket);
			if (free.has(socket)) {
				socket.destroy();
			} else if (endsInSilence(restart, address)) {
				this.#watchers.get(socket)?.();
			}
		}

		const count = stale.filter(({socket}) => free.has(socket)).length;
		return {free: count, busy: stale.length - count};
	}

	/** Calls the listener if the endpoint has restarted at its address since the connection was opened; disposing of the result ends that. */
	onRestart(socket: Socket, listener: () => void): Disposable {
		this.#watchers.set(socket, listener);
		return {
			[Symbol.dispose]: () => {
				if (this.#watchers.get(socket) === listener) {
					this.#watchers.delete(socket);
				}
			},
		};
	}

	/** Called by Node for each new connection; records its time while it is open. */
	override createConnection(options: ClientRequestArgs, callback?: OnConnected): Duplex {
		const socket = super.createConnection(options, callback) as Socket;
		this.#opened.set(socket, {at: performance.now(), address: `${options.host}:${options.port}`});
		socket.once('close', () => {
			this.#opened.delete(socket);
		});
		return socket;
	}

	override keepSocketAlive(socket: FreeSocket): boolean {
		const announcedSeconds = /timeout=(?<seconds>\d+)/v.exec(socket._httpMessage?.res?.headers['keep-alive'] ?? '')?.groups?.seconds;
		const announcedMilliseconds = announcedSeconds === undefined ? maxIdleMilliseconds : (Number(announcedSeconds) * 1000) - idleMarginMilliseconds;
		const milliseconds = Math.min(maxIdleMilliseconds, announcedMilliseconds);
		if (milliseconds <= 0 || this.#retired.has(socket) || socket.readableLength > 0 || !super.keepSocketAlive(socket)) {
			return false;
		}

		socket.setTimeout(milliseconds, closeIdle);
		socket.on('data', closeOnUnexpectedData);
		return true;
	}

	override reuseSocket(socket: Socket, request: ClientRequest): void {
		super.reuseSocket(socket, request);
		socket.setTimeout(0);
		socket.removeListener('timeout', closeIdle);
		socket.removeListener('data', closeOnUnexpectedData);
	}

	#staleConnections(): ReadonlyArray<{readonly socket: Socket; readonly address: string}> {
		const now = performance.now();
		return [...this.#opened].flatMap(([socket, {at, address}]) => now - at > restartNoticeMilliseconds ? [{socket, address}] : []);
	}
}

function closeIdle(this: Socket): void {
	this.destroy();
}

function closeOnUnexpectedData(this: Socket): void {
	this.destroy();
}
