/**
 * Whether a message may wait for its connection. `control` messages, the default, are written at once and in their order. `bulk` messages wait while the peer
 * takes less than is sent, and the oldest of them are dropped beyond a bound: their sender does not rely on each one.
 */
export const MessagePriority = {control: 'control', bulk: 'bulk'} as const;
export type MessagePriority = (typeof MessagePriority)[keyof typeof MessagePriority];

/** Bulk that may wait for one peer: more than a second's worth where twenty peers share a link of ten megabits a second. */
export const maxWaitingBulkBytes = 64 * 1024;
/** Bulk that is written at once; what is written after it waits for as long as its link takes. */
export const maxBulkWriteBytes = 16 * 1024;

/** The frames of one connection that are not written yet. */
export class SendQueue {
	static create(): SendQueue {
		return new SendQueue();
	}

	#control: Uint8Array[] = [];
	readonly #bulk: Uint8Array[] = [];
	#bulkBytes = 0;
	#dropped = 0;

	get isEmpty(): boolean {
		return this.#control.length === 0 && this.#bulk.length === 0;
	}

	/** Adds a frame, whatever waits: only the next call of `take` knows whether the connection takes it. */
	push(frame: Uint8Array, priority: MessagePriority): void {
		switch (priority) {
			case 'control': {
				this.#control.push(frame);
				return;
			}

			case 'bulk': {
				this.#bulk.push(frame);
				this.#bulkBytes += frame.byteLength;
			}
		}
	}

	/** Takes what is written now: all control frames, and bulk behind them if everything before was written. Otherwise bulk waits, and the oldest is dropped if more waits than may. */
	take(isWritten: boolean): readonly Uint8Array[] {
		const taken = this.#control;
		this.#control = [];
		if (isWritten) {
			return [...taken, ...this.#takeBulk()];
		}

		this.#dropOldest();
		return taken;
	}

	/** Number of messages dropped since the previous call. */
	takeDropped(): number {
		const dropped = this.#dropped;
		this.#dropped = 0;
		return dropped;
	}

	/** Takes at least one frame, if any waits, and no further ones beyond the size of one write. */
	#takeBulk(): readonly Uint8Array[] {
		let bytes = 0;
		const end = this.#bulk.findIndex(frame => {
			bytes += frame.byteLength;
			return bytes > maxBulkWriteBytes;
		});
		const taken = this.#bulk.splice(0, end === -1 ? this.#bulk.length : Math.max(1, end));
		this.#bulkBytes -= sizeOf(taken);
		return taken;
	}

	/** The newest frame stays, whatever its size. */
	#dropOldest(): void {
		while (this.#bulkBytes > maxWaitingBulkBytes && this.#bulk.length > 1) {
			this.#bulkBytes -= this.#bulk.shift()!.byteLength;
			this.#dropped += 1;
		}
	}
}

function sizeOf(frames: readonly Uint8Array[]): number {
	return frames.reduce((sum, frame) => sum + frame.byteLength, 0);
}
