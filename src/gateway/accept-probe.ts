import net from 'node:net';
import {type PartLogger} from '../telemetry/index.js';

export type AcceptProbeOptions = {
	/** Where this instance's server listens; undefined once its port is closed. */
	readonly address: () => net.AddressInfo | undefined;
	readonly logger: PartLogger;
	/** Called once the probe is accepted, or has failed. */
	readonly onEnd: (outcome: 'accepted' | 'failed') => void;
};

/** Failures are logged once in this time. */
const logIntervalMilliseconds = 10_000;

/**
 * A connection of this instance to its own port. The kernel hands connections over in the order of their opening and tells neither how many wait
 * nor since when: whatever is accepted after the probe was opened after it. One is under way at a time.
 */
export class AcceptProbe implements Disposable {
	static create(options: AcceptProbeOptions): AcceptProbe {
		return new AcceptProbe(options);
	}

	readonly #options: AcceptProbeOptions;
	#socket: net.Socket | undefined;
	/** Accepted connections from this machine, one of which may be the probe's: its port is known once it has connected, which may be read later. */
	#candidates: net.Socket[] = [];
	#loggedAt = -Infinity;

	private constructor(options: AcceptProbeOptions) {
		this.#options = options;
	}

	[Symbol.dispose](): void {
		this.#socket?.destroy();
		this.#socket = undefined;
		this.#candidates = [];
	}

	open(): void {
		const listening = this.#options.address();
		if (listening === undefined) {
			this.#end('failed');
			return;
		}

		const socket = net.connect({host: listening.address, port: listening.port});
		this.#socket = socket;
		socket.once('connect', () => {
			this.#candidates.some(candidate => this.#endIfOwn(candidate, socket));
		});
		socket.once('error', error => {
			this.#logFailure(error);
			if (this.#socket === socket) {
				this.#end('failed');
			}
		});
	}

	/** Ends the probe if this accepted connection is its own; returns whether that is known. */
	accept(socket: net.Socket): boolean {
		const own = this.#socket;
		if (own === undefined || socket.remoteAddress !== socket.localAddress) {
			return false;
		}

		if (own.connecting) {
			this.#candidates.push(socket);
			return false;
		}

		return this.#endIfOwn(socket, own);
	}

	#endIfOwn(socket: net.Socket, own: net.Socket): boolean {
		const isOwn = socket.remotePort === own.localPort && socket.remoteAddress === own.localAddress;
		if (isOwn) {
			socket.destroy();
			this.#end('accepted');
		}

		return isOwn;
	}

	#end(outcome: 'accepted' | 'failed'): void {
		this[Symbol.dispose]();
		this.#options.onEnd(outcome);
	}

	#logFailure(error: Error): void {
		const now = performance.now();
		if (now - this.#loggedAt >= logIntervalMilliseconds) {
			this.#loggedAt = now;
			this.#options.logger.warn('A connection to the own port failed.', {error: error.message});
		}
	}
}
