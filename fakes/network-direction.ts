import {type Socket} from 'node:net';

/** Where the bytes of a path wait: at their sender, whose reset takes them back, or at their receiver, who gets them whatever the sender does. */
export const Holding = {none: 'none', inTransit: 'in-transit', atReceiver: 'at-receiver'} as const;
export type Holding = (typeof Holding)[keyof typeof Holding];

/** The faults of the path, as they are at any time. */
export type DirectionSettings = {readonly holding: () => Holding; readonly delayMilliseconds: () => number};

/** First interval after which a kernel sends unacknowledged bytes again; each further one is twice as long. */
const retransmissionMilliseconds = 200;

/** When a kernel that first sent bytes at one time sends them again for the first time after another. */
export function retransmissionAfter(sentAt: number, healedAt: number): number {
	let interval = retransmissionMilliseconds;
	let at = sentAt + interval;
	while (at < healedAt) {
		interval *= 2;
		at += interval;
	}

	return at;
}

/**
 * One direction of a proxied connection: what one socket receives is sent on the other one, in order. Models the two kernels of a real
 * connection. While the path is held in transit, bytes and an orderly close wait at the sender; a reset drops them and is itself lost, so that
 * the receiver learns of it once it sends something. What waits at the receiver is delivered whatever the sender does.
 */
export class NetworkDirection {
	static create(from: Socket, to: Socket, settings: DirectionSettings): NetworkDirection {
		return new NetworkDirection(from, to, settings);
	}

	readonly #from: Socket;
	readonly #to: Socket;
	readonly #settings: DirectionSettings;
	#held: Array<() => void> = [];
	#heldSince: number | undefined;
	#isReset = false;

	private constructor(from: Socket, to: Socket, settings: DirectionSettings) {
		this.#from = from;
		this.#to = to;
		this.#settings = settings;
		from.setNoDelay(true);
		from.on('data', (bytes: Uint8Array) => {
			this.#deliver(() => {
				this.#write(bytes);
			});
		});
		to.on('drain', () => {
			from.resume();
		});
		from.on('error', (error: NodeJS.ErrnoException) => {
			this.#isReset ||= error.code === 'ECONNRESET';
		});
		// A reset that libuv reads together with data is reported as an orderly end; only a reset connection has no remote address any more.
		from.prependListener('end', () => {
			this.#isReset ||= from.remoteAddress === undefined;
		});
		from.on('end', () => {
			this.#end();
		});
		from.on('close', () => {
			this.#close();
		});
	}

	/** Delivers what was held, at once or when the sender's kernel would send it again. */
	release({isRetransmitted}: {readonly isRetransmitted: boolean}): void {
		const now = performance.now();
		const since = this.#heldSince ?? now;
		if (!isRetransmitted || this.#held.length === 0) {
			this.#flush();
			return;
		}

		setTimeout(() => {
			if (this.#settings.holding() === Holding.none) {
				this.#flush();
			}
		}, retransmissionAfter(since, now) - now).unref();
	}

	#flush(): void {
		this.#heldSince = undefined;
		for (const deliver of this.#held.splice(0)) {
			deliver();
		}
	}

	#write(bytes: Uint8Array): void {
		if (this.#to.destroyed) {
			// The kernel of a process that has gone answers with a reset.
			this.#from.resetAndDestroy();
		} else if (!this.#to.write(bytes)) {
			this.#from.pause();
		}
	}

	/** One direction ends; the other goes on, as between kernels, so that bytes which cross the end take nothing with them. */
	#end(): void {
		if (this.#isReset) {
			this.#from.destroy();
			return;
		}

		this.#deliver(() => {
			this.#to.end();
		});
	}

	#close(): void {
		const holding = this.#settings.holding();
		if (this.#isReset && holding === Holding.inTransit) {
			this.#held = [];
			return;
		}

		if (this.#isReset && holding === Holding.none) {
			this.#held = [];
			this.#heldSince = undefined;
		}

		this.#deliver(() => {
			if (this.#isReset && !this.#to.destroyed) {
				this.#to.resetAndDestroy();
			} else {
				this.#to.destroySoon();
			}
		});
	}

	/** Delivers now, after the delay, or once the path is not held any more. The delay is the same for all actions, which keeps their order. */
	#deliver(action: () => void): void {
		if (this.#settings.holding() !== Holding.none || this.#heldSince !== undefined) {
			this.#heldSince ??= performance.now();
			this.#held.push(action);
			return;
		}

		const delay = this.#settings.delayMilliseconds();
		if (delay > 0) {
			setTimeout(action, delay);
			return;
		}

		action();
	}
}
