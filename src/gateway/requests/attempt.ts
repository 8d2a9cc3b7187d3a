import {request as httpRequest, type ClientRequest, type IncomingHttpHeaders, type IncomingMessage} from 'node:http';
import {type Socket} from 'node:net';
import {Timeout} from '../../concurrency/index.js';
import {splitAddress, type Verdict as VerdictType, Verdict} from '../../model/index.js';
import {abortRequest, type AnswerWatch, limitReceivedBytes, watchAnswer, watchConnection} from '../../platform/index.js';
import {judgeSilence, type Progress, silenceMilliseconds} from '../../policy/incarnations/index.js';
import {type ConnectionPool} from '../endpoints/index.js';

/** Events of one attempt at one endpoint, in order. */
export type AttemptEvent
	= | {readonly type: 'head'; readonly status: number; readonly headers: IncomingHttpHeaders; readonly rawHeaders: readonly string[]}
		| {readonly type: 'data'; readonly bytes: Uint8Array}
	/** The response is complete by its own framing. */
		| {readonly type: 'end'}
	/** The connection failed or was never established; `verdict` says whether the request may have run. */
		| {readonly type: 'broken'; readonly verdict: VerdictType; readonly reason: string};

export type AttemptOptions = {
	readonly address: string;
	readonly method: string;
	readonly path: string;
	readonly headers: string[];
	readonly body: Uint8Array | undefined;
	readonly connectionPool: ConnectionPool;
	/** Whether the request may be sent to another endpoint although it may have run at this one. */
	readonly mayRunAgain: boolean;
	readonly onEvent: (event: AttemptEvent) => void;
};

/**
 * A connection to a running endpoint is established within a few milliseconds. After two lost SYN packets it would take seconds; this
 * timeout ends the attempt earlier, so that time is left for another endpoint.
 */
const connectTimeoutMilliseconds = 350;
/** Bytes that an endpoint may send besides the body that is read: its headers, and what the connection holds while the caller reads too slowly. */
const maxOverheadBytes = 512 * 1024;
/** Bytes of framing for each byte of a body: a chunk of one byte takes five more. */
const maxFramingFactor = 8;

/** Pieces that a body may have, besides one for every few bytes of it: the shortest event of a stream has twice as many. */
const maxShortPieces = 1000;
const minMeanPieceBytes = 8;

/** One attempt to send a request to an endpoint. Emits no events after `cancel` or after its last event. */
export class Attempt {
	static start(options: AttemptOptions): Attempt {
		return new Attempt(options);
	}

	readonly #options: AttemptOptions;
	readonly #request: ClientRequest;
	readonly #connection: {readonly isEstablished: boolean};
	#response: IncomingMessage | undefined;
	#isFinished = false;
	readonly #answer: AnswerWatch;
	readonly #connectTimeout: Timeout;
	/** Ends the attempt if nothing more comes of an endpoint that has restarted. */
	#restartTimeout: Timeout | undefined;
	/** Until when the caller read too slowly: infinite while it does. */
	#pausedUntil = -Infinity;
	#bodyBytes = 0;
	#pieces = 0;

	private constructor(options: AttemptOptions) {
		this.#options = options;
		this.#request = httpRequest({
			...splitAddress(options.address),
			method: options.method,
			path: options.path,
			headers: options.headers,
			agent: options.connectionPool,
			setHost: false,
		});
		this.#connection = watchConnection(this.#request);
		this.#answer = watchAnswer(this.#request);
		limitReceivedBytes(this.#request, () => maxOverheadBytes + (this.#bodyBytes * maxFramingFactor));
		this.#connectTimeout = this.#startConnectTimeout();
		this.#request.once('socket', socket => {
			this.#endConnectTimeout(socket);
			this.#watchRestart(socket);
		});
		this.#request.on('error', (error: Error) => {
			// The rest of a whole answer, which its caller has not read yet, is still here.
			if (this.#response?.complete !== true) {
				this.#fail(error.message);
			}
		});
		// An answer that would switch protocols ends the connection with neither a response nor an error.
		this.#request.once('close', () => {
			if (this.#response === undefined) {
				this.#fail('the connection closed without a response');
			}
		});
		this.#request.once('response', response => {
			this.#handleResponse(response);
		});
		this.#request.end(options.body);
	}

	/** True once the request may have reached the endpoint. */
	get mayHaveReachedEndpoint(): boolean {
		return this.#connection.isEstablished;
	}

	/** Bytes of the request that the process has not handed to the kernel yet. */
	get unsentBytes(): number {
		return this.#request.socket?.writableLength ?? 0;
	}

	/** True if the connection was established and nothing has come back on it, so that the endpoint may not have the request yet. */
	get isUnanswered(): boolean {
		return this.#connection.isEstablished && this.#response === undefined;
	}

	/** Cancels the attempt; an endpoint drops the work when its connection ends. One that has sent nothing may not have the request yet, and does not get it any more. */
	cancel(): void {
		this.#isFinished = true;
		this.#connectTimeout[Symbol.dispose]();
		if (this.#response === undefined) {
			abortRequest(this.#request);
			return;
		}

		// An orderly close is sent again if it is lost, a reset is not.
		this.#request.destroy();
		this.#response.destroy();
	}

	pause(): void {
		this.#pausedUntil = Infinity;
		this.#response?.pause();
	}

	resume(): void {
		this.#pausedUntil = performance.now();
		this.#response?.resume();
	}

	/** Ends a request that can go on elsewhere; for any other its own answer, its time and the probes of the connection tell more than its silence. */
	#watchRestart(socket: Socket): void {
		if (!this.#options.mayRunAgain) {
			return;
		}

		const watch = this.#options.connectionPool.onRestart(socket, () => {
			this.#restartTimeout ??= this.#awaitSilence({bytes: socket.bytesRead, at: performance.now()}, socket, silenceMilliseconds);
		});
		this.#request.once('close', () => {
			watch[Symbol.dispose]();
			this.#restartTimeout?.[Symbol.dispose]();
		});
	}

	#awaitSilence(before: Progress, socket: Socket, milliseconds: number): Timeout {
		return Timeout.start(milliseconds, () => {
			const now = performance.now();
			const verdict = judgeSilence(before, {bytes: socket.bytesRead, pausedUntil: Math.min(now, this.#pausedUntil), now});
			if (verdict.type === 'silent') {
				this.#fail('the endpoint has restarted');
				return;
			}

			this.#restartTimeout = this.#awaitSilence(verdict.progress, socket, verdict.milliseconds);
		});
	}

	#startConnectTimeout(): Timeout {
		return Timeout.start(connectTimeoutMilliseconds, () => {
			if (!this.#connection.isEstablished) {
				this.#request.destroy(new Error(`no connection within ${connectTimeoutMilliseconds} ms`));
			}
		});
	}

	/** Ends the timeout once the connection is established; a reused one is already. */
	#endConnectTimeout(socket: Socket): void {
		if (!socket.connecting) {
			this.#connectTimeout[Symbol.dispose]();
			return;
		}

		socket.once('connect', () => {
			this.#connectTimeout[Symbol.dispose]();
		});
	}

	#handleResponse(response: IncomingMessage): void {
		this.#connectTimeout[Symbol.dispose]();
		this.#response = response;
		this.#emit({type: 'head', status: response.statusCode ?? 0, headers: response.headers, rawHeaders: response.rawHeaders});
		response.on('data', (bytes: Uint8Array) => {
			this.#handleData(bytes);
		});
		response.on('error', (error: Error) => {
			this.#fail(error.message);
		});
		response.on('close', () => {
			this.#fail('the connection closed before the end');
		});
		response.once('end', () => {
			// Node also emits `end` for a truncated response and marks it as incomplete.
			if (response.complete && !this.#answer.isBroken) {
				this.#emit({type: 'end'});
				this.#isFinished = true;
			}
		});
	}

	/** Each piece of a body takes its turn of the processor, however short: an endpoint that sends one byte in each would take all of it. */
	#handleData(bytes: Uint8Array): void {
		if (this.#isFinished) {
			return;
		}

		this.#bodyBytes += bytes.length;
		this.#pieces += 1;
		if (this.#pieces > maxShortPieces + (this.#bodyBytes / minMeanPieceBytes)) {
			this.#fail('a body in too many pieces');
			return;
		}

		this.#emit({type: 'data', bytes});
	}

	#fail(reason: string): void {
		this.#connectTimeout[Symbol.dispose]();
		this.#emit({type: 'broken', verdict: this.#connection.isEstablished ? Verdict.mayHaveRun : Verdict.notRun, reason});
		this.#isFinished = true;
		this.#request.destroy();
	}

	#emit(event: AttemptEvent): void {
		if (!this.#isFinished) {
			this.#options.onEvent(event);
		}
	}
}
