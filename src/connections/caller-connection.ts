import {type IncomingMessage} from 'node:http';
import {type Socket} from 'node:net';
import {begunRequests, type ConnectionAction, type ConnectionEvent, type ConnectionState, newConnection, stepConnection} from '../policy/connections/index.js';
import {malformedEvent, type PipelinedResponse} from './pipelined-response.js';

/** A request with its response. */
type OpenRequest = {readonly request: IncomingMessage; readonly response: PipelinedResponse; readonly begin: () => void; readonly reachFront: () => void};

/** Methods that change nothing (RFC 9110, 9.2.1). */
const safeMethods = new Set(['GET', 'HEAD', 'OPTIONS', 'TRACE']);

/**
 * How long a connection that this instance has ended is still read. A caller's next request may cross that end; the kernel answers bytes to a closed
 * connection by a reset, which takes the rest of the answers before it with it (RFC 9112, 9.6).
 */
const lingerMilliseconds = 2000;

const reasons: Readonly<Record<number, string>> = {400: 'Bad Request', 408: 'Request Timeout', 431: 'Request Header Fields Too Large'};

/** One connection of a caller, with the requests whose responses it owes. */
export class CallerConnection {
	static create(socket: Socket): CallerConnection {
		return new CallerConnection(socket);
	}

	readonly #socket: Socket;
	readonly #open = new Map<number, OpenRequest>();
	#state: ConnectionState = newConnection;
	#requests = 0;
	/** Bytes that had been received when the last request was complete; more than these are the beginning of another one. */
	#readBytes = 0;

	#hasEnded = false;
	#isMalformed = false;

	private constructor(socket: Socket) {
		this.#socket = socket;
		// Node calls this after a response that says that the connection closes.
		socket.destroySoon = () => {
			this.close();
		};
	}

	/** Number of responses that are owed. */
	get openCount(): number {
		return this.#open.size;
	}

	/** Whether it has served requests, owes no response, and no other request has begun to arrive. */
	get isIdle(): boolean {
		return this.#requests > 0 && this.#open.size === 0 && this.#socket.bytesRead === this.#readBytes;
	}

	/** Adds a request; tells whether it is served, refused, or ignored. */
	add(request: IncomingMessage, response: PipelinedResponse): 'serve' | 'refuse' | 'ignore' {
		const number = this.#requests;
		this.#requests += 1;
		request.once('end', () => {
			this.#readBytes = this.#socket.bytesRead;
		});
		// Its connection was ended by this instance: no response can be sent, and its caller may send it again.
		const {type} = this.#socket.writableEnded ? {type: 'ignore'} : this.#step({type: 'request', number, hasSafeMethod: safeMethods.has(request.method ?? '')});
		if (type !== 'serve' && type !== 'refuse') {
			return 'ignore';
		}

		const turn = waitForTurn();
		const front = waitForTurn();
		response.turn = turn.promise;
		response.front = front.promise;
		this.#open.set(number, {request, response, begin: turn.end, reachFront: front.end});
		this.#beginNext();
		response.onHead = () => this.#step({type: 'head', number, closes: response.closesConnection}).type === 'announce';
		response.once('finish', () => {
			this.#apply(this.#step({type: 'end', number}));
			this.#beginNext();
		});
		response.once('close', () => {
			this.#open.delete(number);
		});
		return type;
	}

	/** The instance stops: the connection closes once it owes no response. */
	startClosing(): void {
		this.#step({type: 'stop'});
	}

	/**
	 * Bytes arrived that are no request. A request whose body they end is answered by itself, those before it first. Returns false if that was known:
	 * the parser reports each further piece.
	 */
	rejectMalformed(status: number): boolean {
		if (this.#isMalformed) {
			return false;
		}

		this.#isMalformed = true;
		if (this.#socket.bytesRead === 0) {
			// Nothing came in time: an answer would be taken for that to the first request.
			this.close();
			return false;
		}

		const last = [...this.#open.values()].at(-1);
		if (last !== undefined && !last.request.complete) {
			last.response.closesConnection = true;
			if (last.request.emit(malformedEvent, status)) {
				return true;
			}
		}

		this.#apply(this.#step({type: 'malformed', status}));
		return true;
	}

	/** Ends the connection: what was sent arrives first, and what still comes is read and ignored for a moment. */
	close(): void {
		if (this.#hasEnded) {
			return;
		}

		this.#hasEnded = true;
		this.#socket.once('finish', () => {
			this.#destroyLater();
		});
		this.#socket.end();
	}

	/** The connection takes bytes again: tells the response that it sends. */
	drain(): void {
		const [first] = this.#open.values();
		first?.response.emit('drain');
	}

	/** The connection is gone: nobody waits for the responses behind the first one. */
	abandon(): void {
		for (const {response, begin, reachFront} of this.#open.values()) {
			response.closeUnsent();
			begin();
			reachFront();
		}
	}

	#destroyLater(): void {
		const timer = setTimeout(() => {
			this.#socket.destroy();
		}, lingerMilliseconds);
		this.#socket.once('close', () => {
			clearTimeout(timer);
		});
	}

	#beginNext(): void {
		for (const number of begunRequests(this.#state)) {
			this.#open.get(number)?.begin();
		}

		const [first] = this.#state.open;
		if (first !== undefined) {
			this.#open.get(first.number)?.reachFront();
		}
	}

	#step(event: ConnectionEvent): ConnectionAction {
		const {state, action} = stepConnection(this.#state, event);
		this.#state = state;
		return action;
	}

	#apply(action: ConnectionAction): void {
		if (action.type === 'reject' && this.#socket.writable) {
			this.#socket.write(`HTTP/1.1 ${action.status} ${reasons[action.status]}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
		}

		if (action.type === 'close' || action.type === 'reject') {
			this.close();
		}
	}
}

/** A wait, and what ends it. */
function waitForTurn(): {readonly promise: Promise<void>; readonly end: () => void} {
	let end: () => void = () => undefined;
	const promise = new Promise<void>(resolve => {
		end = resolve;
	});
	return {promise, end};
}
