import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';

/** Engines' tokenizers make about four bytes of text into a token; a better figure needs each model's own. */
const bytesPerToken = 4;
/** What a part that is no text, such as an image, counts: the price of a small image in usual engines. */
const tokensPerOtherPart = 256;
/**
 * Engines cache prompts in blocks of 16 to 32 tokens. Sixteen such blocks are enough to tell system
 * prompts apart, and few enough that requests which differ after them share the hash.
 */
const prefixBytes = 1024;
const prefixDigits = 16;

/** What is read off a prompt without keeping it. */
export type PromptSummary = {
	readonly tokens: number;
	readonly prefix: string;
};

/** Collects the texts of a prompt in order. */
export class PromptReader {
	static create(model: string): PromptReader {
		return new PromptReader(model);
	}

	#tokens = 0;
	#prefixLeft = prefixBytes;
	readonly #hash = createHash('sha256');

	private constructor(model: string) {
		this.#hash.update(`${model}\n`);
	}

	addText(text: string): void {
		this.#tokens += Buffer.byteLength(text) / bytesPerToken;
		if (this.#prefixLeft <= 0) {
			return;
		}

		const leading = text.slice(0, this.#prefixLeft);
		this.#hash.update(leading).update('\n');
		this.#prefixLeft -= leading.length;
	}

	addTokens(count: number): void {
		this.#tokens += count;
	}

	addOtherPart(): void {
		this.#tokens += tokensPerOtherPart;
	}

	/** Ends the reading. */
	summarize(): PromptSummary {
		return {tokens: Math.ceil(this.#tokens), prefix: this.#hash.digest('hex').slice(0, prefixDigits)};
	}
}
