import {Timeout} from '../../concurrency/index.js';

/** How long another instance may take to answer; a busy one answers after some turns of its event loop. */
const answerMilliseconds = 250;

/** A question about one stream to several instances: ended once one knows it, none does, or there was time for an answer. */
export class StreamQuestion {
	static create(names: readonly string[]): StreamQuestion {
		return new StreamQuestion(names);
	}

	readonly ended: Promise<void>;
	readonly #asked: Set<string>;
	readonly #abort = new AbortController();

	private constructor(names: readonly string[]) {
		this.#asked = new Set(names);
		this.ended = new Promise(resolve => {
			const timeout = Timeout.start(answerMilliseconds, () => {
				resolve();
			});
			this.#abort.signal.addEventListener('abort', () => {
				timeout[Symbol.dispose]();
				resolve();
			});
		});
	}

	/** Ends the question: an instance knows the stream. */
	end(): void {
		this.#abort.abort();
	}

	/** An instance does not know the stream; the last such answer ends the question. */
	recordUnknown(instance: string): void {
		this.#asked.delete(instance);
		if (this.#asked.size === 0) {
			this.end();
		}
	}
}
