/**
 * A part of a prompt, in its order; equal ids hold equal tokens. The id is a hash of 32 bits, which keeps
 * messages between instances short; two parts that share one cost a wrong guess, not a wrong answer.
 */
export type PromptPart = {readonly id: number; readonly tokens: number};

/**
 * The share of an engine's memory that kept parts are taken to fill: the rest is running requests and
 * what other callers keep there. Taking too much for kept costs a wrong guess, not a wrong answer.
 */
const keptShare = 0.75;

/**
 * Load pattern: many requests share long prompt beginnings, and an engine reads again what it has
 * dropped. This is what one endpoint is taken to hold, least recently used first out, as the engine
 * itself does. A part helps only if all parts before it are held too.
 */
export class PartMemory {
	static create(memoryTokens: number): PartMemory {
		return new PartMemory(memoryTokens * keptShare);
	}

	readonly #limitTokens: number;
	readonly #tokens = new Map<number, number>();
	#total = 0;

	private constructor(limitTokens: number) {
		this.#limitTokens = limitTokens;
	}

	/** Tokens that the endpoint still has to read. */
	unread(parts: readonly PromptPart[]): number {
		const held = parts.findIndex(({id}) => !this.#tokens.has(id));
		return held === -1 ? 0 : parts.slice(held).reduce((sum, {tokens}) => sum + tokens, 0);
	}

	/** The parts were read or used now. */
	use(parts: readonly PromptPart[]): void {
		for (const {id, tokens} of parts) {
			this.#total -= this.#tokens.get(id) ?? 0;
			this.#tokens.delete(id);
			this.#tokens.set(id, tokens);
			this.#total += tokens;
		}

		this.#shrink();
	}

	/** The endpoint started anew and holds nothing. */
	clear(): void {
		this.#tokens.clear();
		this.#total = 0;
	}

	#shrink(): void {
		for (const [id, tokens] of this.#tokens) {
			if (this.#total <= this.#limitTokens) {
				return;
			}

			this.#tokens.delete(id);
			this.#total -= tokens;
		}
	}
}
