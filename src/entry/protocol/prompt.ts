import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';

/** Tokenizers produce about one token for four bytes of text; a better estimate needs the tokenizer of each model. */
const bytesPerToken = 4;
/** Estimated tokens of a part that is not text, such as an image: the cost of a small image in common engines. */
const tokensPerNonTextPart = 256;
/**
 * Length of the leading prompt text that is hashed. Engines cache prompts in blocks of 16 to 32 tokens; sixteen such
 * blocks are enough to distinguish system prompts, and few enough that requests which differ later share the hash.
 */
const prefixBytes = 1024;
const prefixHexDigits = 16;

/** Properties of a prompt that are kept instead of its text. */
export type PromptSummary = {
	readonly tokens: number;
	readonly prefix: string;
};

/** Estimates the tokens of a prompt and hashes its beginning, from its parts added in order. */
export class PromptSummarizer {
	static create(model: string): PromptSummarizer {
		return new PromptSummarizer(model);
	}

	#tokens = 0;
	#prefixBytesLeft = prefixBytes;
	readonly #hash = createHash('sha256');

	private constructor(model: string) {
		this.#hash.update(`${model}\n`);
	}

	addText(text: string): void {
		this.#tokens += Buffer.byteLength(text) / bytesPerToken;
		if (this.#prefixBytesLeft <= 0) {
			return;
		}

		const leading = text.slice(0, this.#prefixBytesLeft);
		this.#hash.update(leading).update('\n');
		this.#prefixBytesLeft -= leading.length;
	}

	addTokens(count: number): void {
		this.#tokens += count;
	}

	addNonTextPart(): void {
		this.#tokens += tokensPerNonTextPart;
	}

	/** Returns the summary; nothing can be added afterwards. */
	summarize(): PromptSummary {
		return {tokens: Math.ceil(this.#tokens), prefix: this.#hash.digest('hex').slice(0, prefixHexDigits)};
	}
}
