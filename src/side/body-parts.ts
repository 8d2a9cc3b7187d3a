/**
 * The parts of a request body on their way to a service: pushed as they come from the entry, read as
 * the service takes them. The entry sends no more than its window ahead, so what waits is bounded.
 */
export class BodyParts implements AsyncIterable<Uint8Array> {
	/** `onTaken` is called with the number of parts that the service took. */
	static create(onTaken: (parts: number) => void): BodyParts {
		return new BodyParts(onTaken);
	}

	readonly #onTaken: (parts: number) => void;
	readonly #parts: Uint8Array[] = [];
	#end: 'open' | 'whole' | 'broken' = 'open';
	#wake: (() => void) | undefined;

	private constructor(onTaken: (parts: number) => void) {
		this.#onTaken = onTaken;
	}

	push(part: Uint8Array): void {
		this.#parts.push(part);
		this.#wake?.();
	}

	/** Ends the body: whole, or broken off because the caller left. */
	end(how: 'whole' | 'broken'): void {
		if (this.#end === 'open') {
			this.#end = how;
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

			if (this.#end === 'whole') {
				return;
			}

			if (this.#end === 'broken') {
				throw new Error('The caller left before its body was complete.');
			}

			await new Promise<void>(resolve => {
				this.#wake = resolve;
			});
		}
	}
}
