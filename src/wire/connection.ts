import {Buffer} from 'node:buffer';
import {type Duplex} from 'node:stream';
import {channel, deliver, Timeout, type Channel} from '../concurrency/index.js';
import {encodeFrame, FrameDecoder} from './frames.js';
import {type Message} from './messages.js';
import {MessagePriority, SendQueue} from './send-queue.js';

/** Received batches, one per turn of the event loop, that may be queued for the reader before the socket is paused. */
const maximumQueuedBatches = 32;
/**
 * Without this bound, a peer that stops reading makes the send buffer grow without limit. Streams are bounded
 * by credit, so only a peer that reads nothing at all reaches this bound. Closing its connection frees the memory and
 * fails its requests with a verdict.
 */
const maximumUnsentBytes = 64 * 1024 * 1024;
/** A peer on a busy connection is considered lost when nothing has been received from it for this time. */
export const silenceMilliseconds = 6000;
/** The same for a connection that carries no request: nothing depends on it, and its heartbeats are infrequent. */
export const idleSilenceMilliseconds = 45_000;
/** What a silent peer has sent is read within this time; a process that stood still finds it in the kernel. */
const lastReadMilliseconds = 40;
/** How long an ended connection waits for the peer's end, after all that was sent is with the operating system. */
const lastEndMilliseconds = 500;
/** Heartbeat interval of a connection that carries requests. */
export const busyHeartbeatMilliseconds = 2000;

/** Heartbeat interval of a busy connection, and the silence after which its peer is considered lost, in milliseconds. */
export type BusyTimes = {readonly heartbeatMilliseconds: number; readonly silenceMilliseconds: number};

const defaultBusyTimes: BusyTimes = {heartbeatMilliseconds: busyHeartbeatMilliseconds, silenceMilliseconds};
const idleHeartbeatMilliseconds = 15_000;
/** Limits a process with many connections to 25 idle heartbeats a second over all of them. */
const heartbeatSpacingMilliseconds = 40;

/** Heartbeat interval, in milliseconds, of each idle connection of a process that has this many connections. */
export function idleHeartbeatInterval(connections: number): number {
	return Math.min(Math.max(connections * heartbeatSpacingMilliseconds, busyHeartbeatMilliseconds), idleHeartbeatMilliseconds);
}

/**
 * A connection between two processes of the system. `incoming` carries the messages received in each turn of
 * the event loop as one array, in order; it closes when the connection ends for any reason, which `closeReason`
 * then holds. Messages sent in one turn are written together.
 */
export class Connection implements AsyncDisposable {
	static create(socket: Duplex, peer: string): Connection {
		return new Connection(socket, peer);
	}

	readonly incoming: Channel<Message[]> = channel<Message[]>(maximumQueuedBatches);
	readonly closed: Promise<void>;
	readonly peer: string;
	closeReason = 'closed';
	/** Total bytes and messages, for the metrics. */
	readonly counts = {sentMessages: 0, sentBytes: 0, receivedMessages: 0, receivedBytes: 0};
	readonly #socket: Duplex;
	readonly #decoder = FrameDecoder.create();
	readonly #unsent = SendQueue.create();
	#isFlushDue = false;
	#lastReceivedAt = performance.now();
	/** Starts at a random offset, so that connections opened at the same time don't send their heartbeats at the same time. */
	#lastHeartbeatAt = performance.now() - (Math.random() * idleHeartbeatMilliseconds);
	#isBusy = false;
	#busyTimes = defaultBusyTimes;
	readonly #silenceCheck: NodeJS.Timeout;
	#lastRead: Timeout | undefined;

	private constructor(socket: Duplex, peer: string) {
		this.#socket = socket;
		this.peer = peer;
		this.closed = new Promise(resolve => {
			socket.once('close', () => {
				this.incoming.close();
				clearInterval(this.#silenceCheck);
				this.#lastRead?.[Symbol.dispose]();
				resolve();
			});
		});
		socket.on('data', (bytes: Uint8Array) => {
			this.#receive(bytes);
		});
		socket.on('error', error => {
			this.close(error.message);
		});
		this.#silenceCheck = setInterval(() => {
			this.#checkSilence();
		}, silenceMilliseconds / 3).unref();
	}

	get isOpen(): boolean {
		return !this.#socket.destroyed;
	}

	/**
	 * Sets whether requests depend on this connection. If so, both ends use the shorter heartbeat interval and
	 * silence timeout. The timeout counts from this call, because frequent heartbeats were not due before.
	 */
	setBusy(isBusy: boolean, times: BusyTimes = defaultBusyTimes): void {
		this.#busyTimes = times;
		if (isBusy && !this.#isBusy) {
			this.#lastReceivedAt = performance.now();
		}

		this.#isBusy = isBusy;
	}

	/** Closes the connection soon if the peer is silent. Returns whether a heartbeat is due, and counts that heartbeat as sent; `connections` is the process's number of connections. */
	takeHeartbeat(connections: number): boolean {
		const now = performance.now();
		this.#checkSilence();
		if (now - this.#lastHeartbeatAt < (this.#isBusy ? this.#busyTimes.heartbeatMilliseconds : idleHeartbeatInterval(connections))) {
			return false;
		}

		this.#lastHeartbeatAt = now;
		return true;
	}

	/**
	 * Queues a message. It is written at the end of this turn of the event loop, after all ready sockets have
	 * been read, together with the other queued messages. A closed connection drops it.
	 */
	send(message: Message, priority: MessagePriority = MessagePriority.control): void {
		if (!this.#socket.destroyed) {
			this.sendFrame(encodeFrame(message), priority);
		}
	}

	/** Queues an encoded message, so that a message to many peers is encoded once. */
	sendFrame(frame: Uint8Array, priority: MessagePriority = MessagePriority.control): void {
		if (this.#socket.destroyed) {
			return;
		}

		if (!this.#isFlushDue) {
			this.#isFlushDue = true;
			setImmediate(() => {
				this.#flush();
			});
		}

		this.counts.sentMessages += 1;
		this.counts.sentBytes += frame.byteLength;
		this.#unsent.push(frame, priority);
	}

	/** Number of bulk messages dropped since the previous call because the peer took less than was sent. */
	takeDropped(): number {
		return this.#unsent.takeDropped();
	}

	/** Hands the queued messages to the socket and destroys it without waiting; the peer sees an interrupted connection. */
	close(reason: string): void {
		if (this.#socket.destroyed) {
			return;
		}

		this.closeReason = reason;
		this.#flush();
		this.#socket.destroy();
	}

	/**
	 * Flushes the queued messages, then ends the connection. What was sent last may be the end of an answer that has run: a peer that reads late gets it,
	 * and is given up only after a silence by which it would count as lost. Once all is with the operating system, the peer's own end is awaited briefly.
	 */
	async [Symbol.asyncDispose](): Promise<void> {
		this.#flush();
		const destroy = (): void => {
			this.#socket.destroy();
		};

		let timer = setTimeout(destroy, silenceMilliseconds);
		this.#socket.end(() => {
			clearTimeout(timer);
			timer = setTimeout(destroy, lastEndMilliseconds);
		});
		await this.closed;
		clearTimeout(timer);
	}

	#flush(): void {
		this.#isFlushDue = false;
		const frames = this.#socket.writable ? this.#unsent.take(this.#socket.writableLength === 0) : [];
		if (frames.length === 0) {
			return;
		}

		this.#socket.write(frames.length === 1 ? frames[0] : Buffer.concat(frames), this.#onWritten);
		if (this.#socket.writableLength > maximumUnsentBytes) {
			this.close('the peer does not read');
		}
	}

	/** Bulk that waited for earlier writes follows them. */
	readonly #onWritten = (): void => {
		if (!this.#isFlushDue && !this.#unsent.isEmpty) {
			this.#flush();
		}
	};

	#receive(bytes: Uint8Array): void {
		this.#lastReceivedAt = performance.now();
		this.counts.receivedBytes += bytes.byteLength;
		let messages: Message[];
		try {
			messages = this.#decoder.push(bytes);
		} catch (error) {
			this.close((error as Error).message);
			return;
		}

		if (messages.length > 0) {
			this.counts.receivedMessages += messages.length;
			this.#enqueue(messages);
		}
	}

	#enqueue(messages: Message[]): void {
		const accepted = deliver(this.incoming, messages, () => {
			this.#socket.resume();
		});
		if (!accepted) {
			this.#socket.pause();
		}
	}

	/**
	 * Closes the connection if the peer has been silent for too long. If an instance vanishes without closing
	 * its sockets, requests would otherwise wait forever on a half-open connection. Both ends send heartbeats well
	 * within the timeout. Time during which this process has paused the socket does not count as silence.
	 */
	#checkSilence(): void {
		if (this.#socket.isPaused()) {
			this.#lastReceivedAt = performance.now();
			return;
		}

		if (performance.now() - this.#lastReceivedAt > (this.#isBusy ? this.#busyTimes.silenceMilliseconds : idleSilenceMilliseconds)) {
			this.#closeUnlessHeard(this.#lastReceivedAt);
		}
	}

	/** Closes the connection if nothing arrives on it in the next turns of the event loop either. */
	#closeUnlessHeard(lastReceivedAt: number): void {
		this.#lastRead ??= Timeout.start(lastReadMilliseconds, () => {
			this.#lastRead = undefined;
			if (this.#lastReceivedAt === lastReceivedAt) {
				this.close('the peer is silent');
			}
		});
	}
}
