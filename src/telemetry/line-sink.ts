import {Buffer} from 'node:buffer';
import {write, writeSync} from 'node:fs';

/** Lines are batched for this time and then written in one system call. */
const batchMilliseconds = 50;
/** Bounds the memory for lines that a slow reader has not read yet; further lines are dropped. It suffices for the lines of some seconds of a busy process. */
const maximumQueuedBytes = 1024 * 1024;

/**
 * Writes lines to a file descriptor without blocking the process. Node writes to pipes synchronously, so that
 * a stalled reader of standard output would block the whole process. Here at most one write is in progress, on
 * another thread; lines that do not fit into the bounded buffer are dropped and counted, and the count is logged.
 */
export class LineSink implements Disposable {
	static create(descriptor: number): LineSink {
		return new LineSink(descriptor);
	}

	readonly #descriptor: number;
	#queue: string[] = [];
	#queuedBytes = 0;
	#dropped = 0;
	#isWriting = false;
	#timer: NodeJS.Timeout | undefined;

	private constructor(descriptor: number) {
		this.#descriptor = descriptor;
	}

	write(line: string): void {
		if (this.#queuedBytes + line.length > maximumQueuedBytes) {
			this.#dropped += 1;
			return;
		}

		this.#queue.push(line);
		this.#queuedBytes += line.length;
		this.#timer ??= setTimeout(() => {
			this.#flush();
		}, batchMilliseconds).unref();
	}

	/** Writes the queued lines synchronously, as far as the descriptor accepts them in one call. */
	[Symbol.dispose](): void {
		clearTimeout(this.#timer);
		try {
			writeSync(this.#descriptor, this.#takeQueue());
		} catch {
			// The output accepts no more data, so the error can't be reported either.
		}
	}

	#flush(): void {
		this.#timer = undefined;
		if (this.#isWriting || this.#queue.length === 0) {
			return;
		}

		this.#isWriting = true;
		this.#writeAll(Buffer.from(this.#takeQueue()));
	}

	#writeAll(bytes: Uint8Array): void {
		write(this.#descriptor, bytes, (error, written) => {
			if (!error && written < bytes.length) {
				this.#writeAll(bytes.subarray(written));
				return;
			}

			this.#dropped += error ? 1 : 0;
			this.#isWriting = false;
			this.#flush();
		});
	}

	#takeQueue(): string {
		const dropped = this.#dropped === 0 ? '' : `${JSON.stringify({level: 40, msg: 'Log: Lines dropped because the output was not read in time.', dropped: this.#dropped})}\n`;
		const text = dropped + this.#queue.join('');
		this.#queue = [];
		this.#queuedBytes = 0;
		this.#dropped = 0;
		return text;
	}
}
