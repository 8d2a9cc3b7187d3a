const firstCapacityBytes = 1024;

/**
 * Bytes that arrive in pieces and are used together. A piece is copied: an array of pieces of a byte each takes a hundred times as much memory, and
 * joining all of them at every piece takes the processor.
 */
export class ByteBuffer {
	static create(): ByteBuffer {
		return new ByteBuffer();
	}

	#bytes = new Uint8Array();
	#length = 0;

	get length(): number {
		return this.#length;
	}

	/** The bytes, until the next change. */
	get view(): Uint8Array {
		return this.#bytes.subarray(0, this.#length);
	}

	append(piece: Uint8Array): void {
		this.#reserve(this.#length + piece.length);
		this.#bytes.set(piece, this.#length);
		this.#length += piece.length;
	}

	/** Removes and returns all bytes. */
	take(): Uint8Array {
		const taken = this.view;
		this.#bytes = new Uint8Array();
		this.#length = 0;
		return taken;
	}

	#reserve(length: number): void {
		if (length > this.#bytes.length) {
			const grown = new Uint8Array(Math.max(length, firstCapacityBytes, this.#bytes.length * 2));
			grown.set(this.view);
			this.#bytes = grown;
		}
	}
}
