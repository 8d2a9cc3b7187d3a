import {Buffer} from 'node:buffer';
import {type Duplex} from 'node:stream';
import {channel, deliver, type Channel} from '../concurrency/index.js';
import {encodeFrame, FrameDecoder} from './frames.js';
import {type Message} from './messages.js';

/** Turns of arrived messages that may wait for the reader before the socket is paused. */
const incomingTurns = 32;
/**
 * Failure: a peer stops reading, and what we send it piles up here. Symptom: memory grows without
 * bound. Streams are bounded by credit, so only a peer that reads nothing at all gets this far;
 * closing its connection frees the memory and turns its requests into failures with a verdict.
 */
const maximumUnsentBytes = 64 * 1024 * 1024;
/** A peer is taken for lost when nothing has come from it for so long. */
export const silenceMilliseconds = 6000;
/** The same for a connection that carries no request: nobody waits on it, and heartbeats are rare there. */
export const idleSilenceMilliseconds = 45_000;
/** How often a heartbeat goes over a connection that carries requests. */
export const busyHeartbeatMilliseconds = 2000;

/** How often a busy connection beats, and after which silence its peer is taken for lost, in milliseconds. */
export type BusyTimes = {readonly heartbeatMilliseconds: number; readonly silenceMilliseconds: number};

const usualBusyTimes: BusyTimes = {heartbeatMilliseconds: busyHeartbeatMilliseconds, silenceMilliseconds};
const idleHeartbeatMilliseconds = 15_000;
/** A process with many connections sends no more than 25 idle heartbeats a second over all of them. */
const heartbeatSpacingMilliseconds = 40;

/** How often a heartbeat goes over one of so many connections that carry no request. */
export function idleHeartbeatInterval(connections: number): number {
	return Math.min(Math.max(connections * heartbeatSpacingMilliseconds, busyHeartbeatMilliseconds), idleHeartbeatMilliseconds);
}

/**
 * One connection between two of our processes. `incoming` carries the messages of each turn of the
 * event loop in one array, in order; it closes when the connection ends, for whatever reason, and
 * `closeReason` then tells why. Messages sent in one turn leave in one write.
 */
export class Connection implements AsyncDisposable {
	static create(socket: Duplex, peer: string): Connection {
		return new Connection(socket, peer);
	}

	readonly incoming: Channel<Message[]> = channel<Message[]>(incomingTurns);
	readonly closed: Promise<void>;
	readonly peer: string;
	closeReason = 'closed';
	/** Bytes and messages so far, for the metrics. */
	readonly counts = {sentMessages: 0, sentBytes: 0, receivedMessages: 0, receivedBytes: 0};
	readonly #socket: Duplex;
	readonly #decoder = FrameDecoder.create();
	#unsent: Uint8Array[] = [];
	#heardAt = performance.now();
	/** Spread, so that connections made in one moment don't all beat in one moment. */
	#heartbeatAt = performance.now() - (Math.random() * idleHeartbeatMilliseconds);
	#isBusy = false;
	#busyTimes = usualBusyTimes;
	readonly #silenceCheck: NodeJS.Timeout;

	private constructor(socket: Duplex, peer: string) {
		this.#socket = socket;
		this.peer = peer;
		this.closed = new Promise(resolve => {
			socket.once('close', () => {
				this.incoming.close();
				clearInterval(this.#silenceCheck);
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
	 * Tells whether requests depend on this connection. Both ends then send heartbeats often and take
	 * silence for loss soon, counted from now: until now none were due.
	 */
	setBusy(isBusy: boolean, times: BusyTimes = usualBusyTimes): void {
		this.#busyTimes = times;
		if (isBusy && !this.#isBusy) {
			this.#heardAt = performance.now();
		}

		this.#isBusy = isBusy;
	}

	/** True if a heartbeat is due, which then counts as sent; `connections` is how many the process has. Closes a silent one. */
	takeHeartbeat(connections: number): boolean {
		const now = performance.now();
		this.#checkSilence();
		if (now - this.#heartbeatAt < (this.#isBusy ? this.#busyTimes.heartbeatMilliseconds : idleHeartbeatInterval(connections))) {
			return false;
		}

		this.#heartbeatAt = now;
		return true;
	}

	/**
	 * Queues a message; it leaves at the end of this turn of the event loop, after every socket that
	 * was ready has been read, in one write with the others. A closed connection drops it.
	 */
	send(message: Message): void {
		if (!this.#socket.destroyed) {
			this.sendFrame(encodeFrame(message));
		}
	}

	/** The same for a message that is encoded already: one that goes to many peers is encoded once. */
	sendFrame(frame: Uint8Array): void {
		if (this.#socket.destroyed) {
			return;
		}

		if (this.#unsent.length === 0) {
			setImmediate(() => {
				this.#flush();
			});
		}

		this.counts.sentMessages += 1;
		this.counts.sentBytes += frame.byteLength;
		this.#unsent.push(frame);
	}

	/** Ends the connection at once; the peer sees it break. */
	close(reason: string): void {
		if (this.#socket.destroyed) {
			return;
		}

		this.closeReason = reason;
		this.#flush();
		this.#socket.destroy();
	}

	/** Sends what waits, then ends the connection. */
	async [Symbol.asyncDispose](): Promise<void> {
		this.#flush();
		this.#socket.end();
		const patience = setTimeout(() => {
			this.#socket.destroy();
		}, 500);
		await this.closed;
		clearTimeout(patience);
	}

	#flush(): void {
		const frames = this.#unsent;
		this.#unsent = [];
		if (frames.length === 0 || this.#socket.destroyed) {
			return;
		}

		this.#socket.write(frames.length === 1 ? frames[0] : Buffer.concat(frames));
		if (this.#socket.writableLength > maximumUnsentBytes) {
			this.close('the peer does not read');
		}
	}

	#receive(bytes: Uint8Array): void {
		this.#heardAt = performance.now();
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
			this.#pass(messages);
		}
	}

	#pass(messages: Message[]): void {
		const accepted = deliver(this.incoming, messages, () => {
			this.#socket.resume();
		});
		if (!accepted) {
			this.#socket.pause();
		}
	}

	/**
	 * Failure: the peer's instance vanished and no packet says so. Symptom: requests wait for ever on
	 * a half-open connection. Both ends send heartbeats well within the bound, so silence means loss;
	 * while we ourselves have paused the socket, silence says nothing and is not counted.
	 */
	#checkSilence(): void {
		if (this.#socket.isPaused()) {
			this.#heardAt = performance.now();
			return;
		}

		if (performance.now() - this.#heardAt > (this.#isBusy ? this.#busyTimes.silenceMilliseconds : idleSilenceMilliseconds)) {
			this.close('the peer is silent');
		}
	}
}
