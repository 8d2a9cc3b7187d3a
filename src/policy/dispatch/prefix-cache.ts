/**
 * A part of a prompt, in its order; equal ids hold equal tokens. The id is a hash of 32 bits, which keeps
 * messages between instances short; two parts that share one cost a wrong guess, not a wrong answer.
 */
export type PromptPart = {readonly id: number; readonly tokens: number};

/** The tokens of parts together. */
export function tokensOf(parts: readonly PromptPart[]): number {
	return parts.reduce((sum, {tokens}) => sum + tokens, 0);
}

/** Parts as they travel between instances: ids and tokens in turn. */
export function flattenParts(parts: readonly PromptPart[]): number[] {
	return parts.flatMap(({id, tokens}) => [id, tokens]);
}

/** The parts of such numbers; a last one without its pair is dropped. */
export function unflattenParts(values: readonly number[]): PromptPart[] {
	return Array.from({length: Math.floor(values.length / 2)}, (_, index) => ({id: values[index * 2]!, tokens: values[(index * 2) + 1]!}));
}

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

	#limitTokens: number;
	readonly #parts = new Map<number, {tokens: number; isRead: boolean}>();
	#total = 0;

	private constructor(limitTokens: number) {
		this.#limitTokens = limitTokens;
	}

	/** Says how much the endpoint's memory holds, where that was not known before. */
	setMemory(memoryTokens: number): void {
		this.#limitTokens = memoryTokens * keptShare;
		this.#shrink();
	}

	/** What the endpoint itself says it holds, least recently used first; what is on its way there stays. */
	replace(parts: readonly PromptPart[]): void {
		const coming = [...this.#parts].filter(([, {isRead}]) => !isRead).map(([id, {tokens}]) => ({id, tokens}));
		this.clear();
		this.use(parts);
		this.noteRead(parts);
		this.use(coming);
	}

	/** Tokens that the endpoint still has to read when it comes to this prompt. */
	unread(parts: readonly PromptPart[]): number {
		return tokensFrom(parts, parts.findIndex(({id}) => !this.#parts.has(id)));
	}

	/** Tokens that are not here yet: what is sent here counts only once it was read. */
	missing(parts: readonly PromptPart[]): number {
		return tokensFrom(parts, parts.findIndex(({id}) => this.#parts.get(id)?.isRead !== true));
	}

	/** The parts are on their way here, or used now. */
	use(parts: readonly PromptPart[]): void {
		for (const {id, tokens} of parts) {
			const held = this.#parts.get(id);
			this.#total += tokens - (held?.tokens ?? 0);
			this.#parts.delete(id);
			this.#parts.set(id, {tokens, isRead: held?.isRead === true});
		}

		this.#shrink();
	}

	/** The endpoint has read them: others may take them from here. */
	noteRead(parts: readonly PromptPart[]): void {
		for (const {id} of parts) {
			const held = this.#parts.get(id);
			if (held !== undefined) {
				held.isRead = true;
			}
		}
	}

	/** The endpoint started anew and holds nothing. */
	clear(): void {
		this.#parts.clear();
		this.#total = 0;
	}

	#shrink(): void {
		for (const [id, {tokens}] of this.#parts) {
			if (this.#total <= this.#limitTokens) {
				return;
			}

			this.#parts.delete(id);
			this.#total -= tokens;
		}
	}
}

/** The tokens of the parts from one on; none for -1. */
function tokensFrom(parts: readonly PromptPart[], start: number): number {
	return start === -1 ? 0 : tokensOf(parts.slice(start));
}
