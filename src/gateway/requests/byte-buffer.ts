const minBlockBytes = 1024;
const maxBlockBytes = 16 * 1024;

/**
 * Bytes that arrive in pieces and are used together. Short pieces are copied into blocks: an array of pieces of a byte each takes a hundred times as
 * much memory. Long ones are kept as they came: bytes that are copied again whenever their room doubles leave several times as much garbage, which is
 * outside of the limit of the heap and collected late.
 */
export class ByteBuffer {
	static create(): ByteBuffer {
		return new ByteBuffer();
	}

	/** Long pieces and full blocks, and behind them the part of the last block that is filled. */
	readonly #parts: Uint8Array[] = [];
	#block = new Uint8Array();
	#blockLength = 0;
	#length = 0;
	#heldBytes = 0;

	get length(): number {
		return this.#length;
	}

	/** Bytes of memory that are held for it: not less than its length. */
	get heldBytes(): number {
		return this.#heldBytes;
	}

	append(piece: Uint8Array): void {
		this.#length += piece.length;
		if (isKept(piece)) {
			this.#closeBlock();
			this.#parts.push(piece);
			this.#heldBytes += piece.buffer.byteLength;
			return;
		}

		for (let rest = piece; rest.length > 0;) {
			rest = rest.subarray(this.#fill(rest));
		}
	}

	/** The last bytes, so many if there are. */
	last(count: number): Uint8Array {
		const last = new Uint8Array(Math.min(count, this.#length));
		let missing = last.length;
		for (let index = this.#parts.length; missing > 0; index--) {
			const part = (this.#parts[index] ?? this.#filled).subarray(-missing);
			missing -= part.length;
			last.set(part, missing);
		}

		return last;
	}

	/** Removes and returns all bytes. */
	take(): Uint8Array {
		this.#closeBlock();
		const parts = this.#parts.splice(0);
		const taken = parts.length === 1 ? parts[0]! : joined(parts, this.#length);
		this.#length = 0;
		this.#heldBytes = 0;
		return taken;
	}

	get #filled(): Uint8Array {
		return this.#block.subarray(0, this.#blockLength);
	}

	/** Copies the begin of the bytes into the room that the block has; returns how many. */
	#fill(bytes: Uint8Array): number {
		if (this.#blockLength === this.#block.length) {
			this.#closeBlock();
			this.#block = new Uint8Array(Math.min(maxBlockBytes, Math.max(minBlockBytes, this.#length)));
			this.#heldBytes += this.#block.length;
		}

		const begin = bytes.subarray(0, this.#block.length - this.#blockLength);
		this.#block.set(begin, this.#blockLength);
		this.#blockLength += begin.length;
		return begin.length;
	}

	#closeBlock(): void {
		if (this.#blockLength > 0) {
			this.#parts.push(this.#filled);
		}

		this.#block = new Uint8Array();
		this.#blockLength = 0;
	}
}

/** Whether a piece is long, and most of the memory that it keeps. */
function isKept({length, buffer}: Uint8Array): boolean {
	return length >= maxBlockBytes && length * 2 > buffer.byteLength;
}

function joined(parts: readonly Uint8Array[], length: number): Uint8Array {
	const all = new Uint8Array(length);
	let at = 0;
	for (const part of parts) {
		all.set(part, at);
		at += part.length;
	}

	return all;
}
