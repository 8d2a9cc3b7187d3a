import {Buffer} from 'node:buffer';
import {write, writeSync} from 'node:fs';

/** Lines wait at most so long for each other, and then leave in one system call. */
const batchMilliseconds = 50;
/** A reader that takes nothing for long costs lines, not memory: some seconds of a busy process's lines. */
const largestWaitingBytes = 1024 * 1024;

/**
 * Writes lines to a descriptor without ever blocking the process. Failure: the reader of our standard
 * output stalls, and Node writes to pipes synchronously. Symptom: the whole process stands still until
 * someone reads. Here one write at a time is under way on another thread, and what does not fit into
 * a bounded buffer is counted and told in a line of its own.
 */
export class LineSink implements Disposable {
	static create(descriptor: number): LineSink {
		return new LineSink(descriptor);
	}

	readonly #descriptor: number;
	#waiting: string[] = [];
	#waitingBytes = 0;
	#dropped = 0;
	#isWriting = false;
	#timer: NodeJS.Timeout | undefined;

	private constructor(descriptor: number) {
		this.#descriptor = descriptor;
	}

	write(line: string): void {
		if (this.#waitingBytes + line.length > largestWaitingBytes) {
			this.#dropped += 1;
			return;
		}

		this.#waiting.push(line);
		this.#waitingBytes += line.length;
		this.#timer ??= setTimeout(() => {
			this.#flush();
		}, batchMilliseconds).unref();
	}

	/** Writes what waits, as far as the descriptor takes it at once. */
	[Symbol.dispose](): void {
		clearTimeout(this.#timer);
		try {
			writeSync(this.#descriptor, this.#take());
		} catch {
			// Nobody reads any more, and there is nowhere left to tell it.
		}
	}

	#flush(): void {
		this.#timer = undefined;
		if (this.#isWriting || this.#waiting.length === 0) {
			return;
		}

		this.#isWriting = true;
		this.#writeAll(Buffer.from(this.#take()));
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

	#take(): string {
		const dropped = this.#dropped === 0 ? '' : `${JSON.stringify({level: 40, msg: 'Log: Lines dropped, nobody read them in time.', dropped: this.#dropped})}\n`;
		const text = dropped + this.#waiting.join('');
		this.#waiting = [];
		this.#waitingBytes = 0;
		this.#dropped = 0;
		return text;
	}
}
