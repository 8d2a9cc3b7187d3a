import {hash} from './answer.js';

const blockCharacters = 64;
const blockTokens = 16;

/** The leading blocks of prompts that an engine has cached; evicts the least recently used first. */
export class PrefixCache {
	static create(capacityTokens: number): PrefixCache {
		return new PrefixCache(Math.floor(capacityTokens / blockTokens));
	}

	readonly #blocks = new Set<number>();
	readonly #capacity: number;

	private constructor(capacity: number) {
		this.#capacity = capacity;
	}

	/** Returns how many leading tokens of the prompt are cached, and caches all its full blocks. */
	use(prompt: string): number {
		let cachedTokens = 0;
		let isPrefix = true;
		let chainedHash = 0;
		for (let start = 0; start + blockCharacters <= prompt.length; start += blockCharacters) {
			chainedHash = hash(prompt.slice(start, start + blockCharacters), chainedHash);
			isPrefix &&= this.#blocks.delete(chainedHash);
			cachedTokens += isPrefix ? blockTokens : 0;
			this.#blocks.delete(chainedHash);
			this.#blocks.add(chainedHash);
		}

		this.#evict();
		return cachedTokens;
	}

	clear(): void {
		this.#blocks.clear();
	}

	#evict(): void {
		for (const block of this.#blocks) {
			if (this.#blocks.size <= this.#capacity) {
				return;
			}

			this.#blocks.delete(block);
		}
	}
}
