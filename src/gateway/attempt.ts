import {request as httpRequest, type ClientRequest, type IncomingHttpHeaders, type IncomingMessage} from 'node:http';
import {type Socket} from 'node:net';
import {splitAddress, type Verdict as VerdictType, Verdict} from '../model/index.js';
import {watchConnection} from '../platform/index.js';
import {type ConnectionPool} from './connection-pool.js';

/** What one sending to one endpoint meets, in order. */
export type AttemptEvent
	= | {readonly type: 'head'; readonly status: number; readonly headers: IncomingHttpHeaders; readonly rawHeaders: readonly string[]}
		| {readonly type: 'data'; readonly bytes: Uint8Array}
	/** The answer is whole by its own framing. */
		| {readonly type: 'end'}
	/** The connection broke, or never came about; `verdict` says whether the request may have run. */
		| {readonly type: 'broken'; readonly verdict: VerdictType; readonly reason: string};

export type AttemptOptions = {
	readonly address: string;
	readonly method: string;
	readonly path: string;
	readonly headers: string[];
	readonly body: Uint8Array | undefined;
	readonly connectionPool: ConnectionPool;
	readonly onEvent: (event: AttemptEvent) => void;
};

/**
 * A connection comes about in a few milliseconds or its endpoint is gone: two lost opening packets
 * would take seconds. A third of a second leaves time for another endpoint.
 */
const connectMilliseconds = 350;

/** One sending. After `cancel` or the last event it tells nothing more. */
export class Attempt {
	static start(options: AttemptOptions): Attempt {
		return new Attempt(options);
	}

	readonly #options: AttemptOptions;
	readonly #sent: ClientRequest;
	readonly #connection: {readonly stood: boolean};
	#answer: IncomingMessage | undefined;
	#isOver = false;
	#isReset = false;
	#socket: Socket | undefined;
	#connectTimer: NodeJS.Timeout | undefined;

	private constructor(options: AttemptOptions) {
		this.#options = options;
		this.#sent = httpRequest({
			...splitAddress(options.address),
			method: options.method,
			path: options.path,
			headers: options.headers,
			agent: options.connectionPool,
			setHost: false,
		});
		this.#connection = watchConnection(this.#sent);
		this.#watchConnecting();
		this.#sent.once('socket', socket => {
			this.#socket = socket;
			// Before the parser hears of it, while the connection can still be asked.
			socket.prependListener('end', this.#onSocketEnd);
		});
		this.#sent.on('error', (error: Error) => {
			this.#break(error.message);
		});
		this.#sent.once('response', answer => {
			this.#receive(answer);
		});
		this.#sent.end(options.body);
	}

	/** True once the request may have reached the endpoint. */
	get hasLeft(): boolean {
		return this.#connection.stood;
	}

	/** Ends it; an endpoint drops the work when its connection closes. */
	cancel(): void {
		this.#isOver = true;
		clearTimeout(this.#connectTimer);
		this.#sent.destroy();
		this.#answer?.destroy();
	}

	pause(): void {
		this.#answer?.pause();
	}

	resume(): void {
		this.#answer?.resume();
	}

	#watchConnecting(): void {
		this.#connectTimer = setTimeout(() => {
			if (!this.#connection.stood) {
				this.#sent.destroy(new Error(`no connection within ${connectMilliseconds} ms`));
			}
		}, connectMilliseconds);
	}

	#receive(answer: IncomingMessage): void {
		clearTimeout(this.#connectTimer);
		this.#answer = answer;
		this.#tell({type: 'head', status: answer.statusCode ?? 0, headers: answer.headers, rawHeaders: answer.rawHeaders});
		answer.on('data', (bytes: Uint8Array) => {
			this.#tell({type: 'data', bytes});
		});
		answer.on('error', (error: Error) => {
			this.#break(error.message);
		});
		answer.on('close', () => {
			this.#break('the connection closed before the end');
		});
		answer.once('end', () => {
			this.#socket?.removeListener('end', this.#onSocketEnd);
			// Node ends an answer that was cut off too, and tells so here.
			if (answer.complete && !this.#isReset) {
				this.#tell({type: 'end'});
				this.#isOver = true;
			}
		});
	}

	/**
	 * Failure: bytes and a reset are read in one turn, and libuv reports the reset as a plain end.
	 * Symptom: an answer without a length that was cut off passes for whole. A connection that was
	 * reset has no peer any more, one that was ended has.
	 */
	readonly #onSocketEnd = (): void => {
		this.#isReset = this.#socket !== undefined && this.#socket.remoteAddress === undefined;
	};

	#break(reason: string): void {
		clearTimeout(this.#connectTimer);
		this.#tell({type: 'broken', verdict: this.#connection.stood ? Verdict.mayHaveRun : Verdict.notRun, reason});
		this.#isOver = true;
		this.#sent.destroy();
	}

	#tell(event: AttemptEvent): void {
		if (!this.#isOver) {
			this.#options.onEvent(event);
		}
	}
}
