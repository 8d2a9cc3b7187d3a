/**
 * Memory that all requests of an instance share for what they hold of bodies or of answers. Load pattern: many callers upload, or many endpoints
 * send without end, at the same time; each is within its own limit, and all together would end the process, and with it the requests of all others.
 */
export class MemoryPool {
	static create(maxBytes: number): MemoryPool {
		return new MemoryPool(maxBytes);
	}

	readonly #maxBytes: number;
	#heldBytes = 0;

	private constructor(maxBytes: number) {
		this.#maxBytes = maxBytes;
	}

	/** Bytes that are held now. */
	get heldBytes(): number {
		return this.#heldBytes;
	}

	/** Whether so many bytes more can be held. */
	hasRoomFor(bytes: number): boolean {
		return this.#heldBytes + bytes <= this.#maxBytes;
	}

	/** Opens the account of one request; disposing of it releases what it holds. */
	open(): MemoryAccount {
		return MemoryAccount.create(change => {
			this.#heldBytes += change;
		});
	}
}

/** What one request holds of a pool. */
export class MemoryAccount implements Disposable {
	static create(onChange: (bytes: number) => void): MemoryAccount {
		return new MemoryAccount(onChange);
	}

	readonly #onChange: (bytes: number) => void;
	#heldBytes = 0;
	#isClosed = false;

	private constructor(onChange: (bytes: number) => void) {
		this.#onChange = onChange;
	}

	get heldBytes(): number {
		return this.#heldBytes;
	}

	/** Sets how many bytes the request holds now; none once it has ended, whatever still arrives. */
	hold(bytes: number): void {
		if (this.#isClosed) {
			return;
		}

		this.#onChange(bytes - this.#heldBytes);
		this.#heldBytes = bytes;
	}

	[Symbol.dispose](): void {
		this.hold(0);
		this.#isClosed = true;
	}
}
