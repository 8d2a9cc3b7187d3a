/** How parts are cached: in use by running requests, used recently, or unused for long, so that they may be evicted already. */
export type PartState = 'in-use' | 'recent' | 'aging';

/** A part that an engine is believed to cache. */
export type CachedPart = {
	readonly id: number;
	tokens: number;
	isPrefilled: boolean;
	/** True if more than one request has contained it. */
	isShared: boolean;
	/** Running requests that contain it. */
	runs: number;
	state: PartState;
	/** Tokens that had become old before it did. */
	agedAfterTokens: number;
};

/** Memory for the parts that were used recently, and for older ones. */
export type PartCapacities = {readonly recent: number; readonly aging: number};

const noParts: readonly CachedPart[] = [];

/** The parts that yield to new ones, in the order in which they do: the least recently used first. */
export class YieldingParts {
	static create(): YieldingParts {
		return new YieldingParts();
	}

	readonly #recent = new Set<CachedPart>();
	readonly #aging = new Set<CachedPart>();
	#recentTokens = 0;
	#agingTokens = 0;
	#sharedTokens = 0;
	/** Tokens of all parts that have become old so far. */
	#agedTokens = 0;

	get tokens(): number {
		return this.#recentTokens + this.#agingTokens;
	}

	/** Tokens of the parts that more than one request has contained. */
	get sharedTokens(): number {
		return this.#sharedTokens;
	}

	/** Adds a part as the most recently used one of its state. */
	add(part: CachedPart, state: 'recent' | 'aging'): void {
		part.state = state;
		this.#sharedTokens += part.isShared ? part.tokens : 0;
		if (state === 'recent') {
			this.#recent.add(part);
			this.#recentTokens += part.tokens;
			return;
		}

		part.agedAfterTokens = this.#agedTokens;
		this.#agedTokens += part.tokens;
		this.#aging.add(part);
		this.#agingTokens += part.tokens;
	}

	/** Removes a part if it is here; to be called before its tokens change. */
	delete(part: CachedPart): void {
		if (this.#recent.delete(part)) {
			this.#recentTokens -= part.tokens;
		} else if (this.#aging.delete(part)) {
			this.#agingTokens -= part.tokens;
		} else {
			return;
		}

		this.#sharedTokens -= part.isShared ? part.tokens : 0;
	}

	/**
	 * Probability that an old part is still cached: it falls with the tokens that have become old since, to zero at the
	 * capacity.
	 */
	agedProbability({agedAfterTokens}: CachedPart, {aging}: PartCapacities): number {
		return Math.max(0, 1 - ((this.#agedTokens - agedAfterTokens) / aging));
	}

	/** Lets parts become old, and removes old ones, until the others fit. Returns the removed ones. */
	evict({recent, aging}: PartCapacities): readonly CachedPart[] {
		if (this.#recentTokens <= recent && this.#agingTokens <= aging) {
			return noParts;
		}

		for (const part of this.#recent) {
			if (this.#recentTokens <= recent) {
				break;
			}

			this.delete(part);
			this.add(part, 'aging');
		}

		const evicted: CachedPart[] = [];
		for (const part of this.#aging) {
			if (this.#agingTokens <= aging) {
				break;
			}

			this.delete(part);
			evicted.push(part);
		}

		return evicted;
	}

	clear(): void {
		this.#recent.clear();
		this.#aging.clear();
		this.#recentTokens = 0;
		this.#agingTokens = 0;
		this.#sharedTokens = 0;
	}
}
