import {Agent, type AgentOptions, type ClientRequest, type ClientRequestArgs} from 'node:http';
import {type Socket} from 'node:net';
import {type Duplex} from 'node:stream';

/**
 * Failure: an endpoint drops an idle connection, and what is sent next on it is reset. Symptom: a
 * request that may not run twice is lost as "may have run". A connection therefore stays unused for
 * no longer than this, well under the idle times of usual servers (five seconds and more).
 */
const idleMilliseconds = 4000;
/** What an endpoint names as its idle time is cut by this, for the way there. */
const marginMilliseconds = 1000;
/**
 * An endpoint registers as soon as it has started, and word of it is here within this time: a connection that
 * is older leads to its incarnation before.
 */
const rebirthMilliseconds = 2000;
/** Probes on a silent connection start after so long, so that one that went dead shows. */
const keepAliveProbeMilliseconds = 2000;

type FreeSocket = Socket & {_httpMessage?: {res?: {headers: Record<string, string | undefined>}}};
type OnConnected = Parameters<Agent['createConnection']>[1];
type AgentHooks = {
	keepSocketAlive(socket: Socket): boolean;
	reuseSocket(socket: Socket, request: ClientRequest): void;
};
/** Node's typings leave out the two methods that its documentation names for overriding. */
const HookedAgent = Agent as unknown as new (options: AgentOptions) => Agent & AgentHooks;

/**
 * Kept connections to one endpoint, newest first. Failure: an endpoint sends bytes after a complete
 * answer, or a late second one. Symptom: they are read as the answer to the next request on that
 * connection. Whatever arrives on a connection that carries no request ends it.
 */
export class ConnectionPool extends HookedAgent {
	static create(largestConnections: number): ConnectionPool {
		return new ConnectionPool(largestConnections);
	}

	/** When each connection that is open was opened. */
	readonly #opened = new Map<Socket, number>();

	private constructor(largestConnections: number) {
		super({keepAlive: true, keepAliveMsecs: keepAliveProbeMilliseconds, scheduling: 'lifo', maxSockets: largestConnections, noDelay: true});
	}

	/**
	 * Failure: an endpoint crashes behind a cut and starts again, and no packet ends what was sent to it. Symptom:
	 * callers wait for answers that never come. Connections to the incarnation before are closed.
	 */
	endOlder(): void {
		const now = performance.now();
		for (const [socket, at] of this.#opened) {
			if (now - at > rebirthMilliseconds) {
				socket.destroy(new Error('the endpoint has started again'));
			}
		}
	}

	/** Node calls this for each new connection; its time is kept as long as it is open. */
	override createConnection(options: ClientRequestArgs, callback?: OnConnected): Duplex {
		const socket = super.createConnection(options, callback) as Socket;
		this.#opened.set(socket, performance.now());
		socket.once('close', () => {
			this.#opened.delete(socket);
		});
		return socket;
	}

	override keepSocketAlive(socket: FreeSocket): boolean {
		const hint = /timeout=(?<seconds>\d+)/v.exec(socket._httpMessage?.res?.headers['keep-alive'] ?? '')?.groups?.seconds;
		const hinted = hint === undefined ? idleMilliseconds : (Number(hint) * 1000) - marginMilliseconds;
		const milliseconds = Math.min(idleMilliseconds, hinted);
		if (milliseconds <= 0 || socket.readableLength > 0 || !super.keepSocketAlive(socket)) {
			return false;
		}

		socket.setTimeout(milliseconds, dropIdle);
		socket.on('data', dropStray);
		return true;
	}

	override reuseSocket(socket: Socket, request: ClientRequest): void {
		super.reuseSocket(socket, request);
		socket.setTimeout(0);
		socket.removeListener('timeout', dropIdle);
		socket.removeListener('data', dropStray);
	}
}

function dropIdle(this: Socket): void {
	this.destroy();
}

function dropStray(this: Socket): void {
	this.destroy();
}
