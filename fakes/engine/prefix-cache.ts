import {hash} from './answer.js';

const blockCharacters = 64;
const blockTokens = 16;

/** Which leading blocks of prompts an engine remembers: the least recently used go first. */
export class PrefixCache {
	static create(capacityTokens: number): PrefixCache {
		return new PrefixCache(Math.floor(capacityTokens / blockTokens));
	}

	readonly #blocks = new Set<number>();
	readonly #capacity: number;

	private constructor(capacity: number) {
		this.#capacity = capacity;
	}

	/** How many leading tokens are remembered; remembers the whole prompt from now on. */
	use(prompt: string): number {
		let known = 0;
		let isPrefix = true;
		let chained = 0;
		for (let start = 0; start + blockCharacters <= prompt.length; start += blockCharacters) {
			chained = hash(prompt.slice(start, start + blockCharacters), chained);
			isPrefix &&= this.#blocks.delete(chained);
			known += isPrefix ? blockTokens : 0;
			this.#blocks.delete(chained);
			this.#blocks.add(chained);
		}

		this.#forget();
		return known;
	}

	clear(): void {
		this.#blocks.clear();
	}

	#forget(): void {
		for (const block of this.#blocks) {
			if (this.#blocks.size <= this.#capacity) {
				return;
			}

			this.#blocks.delete(block);
		}
	}
}
