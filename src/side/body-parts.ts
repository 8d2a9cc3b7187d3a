/**
 * Buffers the parts of a request body between the entry, which pushes them, and the service, which
 * reads them. The entry sends no more than its flow-control window ahead, so the buffer is bounded.
 */
export class BodyParts implements AsyncIterable<Uint8Array> {
	/** `onTaken` is called with the number of parts that the service has read. */
	static create(onTaken: (parts: number) => void): BodyParts {
		return new BodyParts(onTaken);
	}

	readonly #onTaken: (parts: number) => void;
	readonly #parts: Uint8Array[] = [];
	#state: 'open' | 'whole' | 'broken' = 'open';
	#wake: (() => void) | undefined;

	private constructor(onTaken: (parts: number) => void) {
		this.#onTaken = onTaken;
	}

	push(part: Uint8Array): void {
		this.#parts.push(part);
		this.#wake?.();
	}

	/** Ends the body: `whole` if it is complete, `broken` if the caller disconnected before that. */
	end(finalState: 'whole' | 'broken'): void {
		if (this.#state === 'open') {
			this.#state = finalState;
			this.#wake?.();
		}
	}

	async * [Symbol.asyncIterator](): AsyncGenerator<Uint8Array> {
		for (;;) {
			const part = this.#parts.shift();
			if (part !== undefined) {
				yield part;
				this.#onTaken(1);
				continue;
			}

			if (this.#state === 'whole') {
				return;
			}

			if (this.#state === 'broken') {
				throw new Error('The caller left before its body was complete.');
			}

			await new Promise<void>(resolve => {
				this.#wake = resolve;
			});
		}
	}
}
