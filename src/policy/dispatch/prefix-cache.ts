import {type KeptBelief, KeptCheck} from './kept-check.js';
import {type PromptPart, tokensFrom} from './prompt-part.js';
import {type CachedPart, type PartCapacities, YieldingParts} from './yielding-parts.js';

export * from './prompt-part.js';

/**
 * Share of an engine's memory that cached parts are assumed to fill where it is not known what running requests hold:
 * the rest holds these, and prompts of other callers. Too high a share causes a wrong estimate, not a wrong response.
 */
const cacheShare = 0.75;
/**
 * Share of an engine's memory that running requests have to hold before the parts follow what they hold. Below it,
 * memory is far from short, and the fixed share is as good.
 */
const scarceHeldShare = 0.5;
/**
 * Parts fill the free memory up to between these shares of it: reports of what was sent are late, responses are longer
 * or shorter than expected, and engines keep memory in blocks. Up to the first share, a part that was used this
 * recently is taken to be cached; from there on its probability falls to zero at the second.
 */
const freeShares = {recent: 0.8, aging: 1.2};

/**
 * Model of the prefix cache of one endpoint. Load pattern: many requests share long prompt prefixes, and an engine
 * prefills again what it has evicted. The model evicts the least recently used part first, as the engine itself does. A
 * part helps only if all parts before it are cached too.
 *
 * Running requests and cached parts share an engine's memory. Where requests hold most of it, a fixed share for cached
 * parts is several times what is left to them: requests are sent to engines that have evicted their prefix, and prefill
 * it there while another engine has it. Once it is known that requests hold much, parts follow what they leave.
 */
export class PrefixCache {
	/** `check` corrects what is believed of parts that may have been evicted. */
	static create(memoryTokens: number, check: Pick<KeptCheck, 'factor'> = KeptCheck.create()): PrefixCache {
		return new PrefixCache(memoryTokens, check);
	}

	readonly #check: Pick<KeptCheck, 'factor'>;
	#memoryTokens: number;
	/** Undefined until running requests have held much of the memory. */
	#heldTokens: number | undefined;
	readonly #parts = new Map<number, CachedPart>();
	readonly #yielding = YieldingParts.create();
	#capacities: PartCapacities = {recent: 0, aging: 0};

	private constructor(memoryTokens: number, check: Pick<KeptCheck, 'factor'>) {
		this.#check = check;
		this.#memoryTokens = memoryTokens;
		this.#updateCapacities();
	}

	/** True once running requests have held so much that the parts follow what these leave of the memory. */
	get followsMemory(): boolean {
		return this.#heldTokens !== undefined;
	}

	/** Sets the memory of the endpoint, in tokens, where it was not known before. */
	setCapacity(memoryTokens: number): void {
		this.#memoryTokens = memoryTokens;
		this.#updateCapacities();
		this.#evict();
	}

	/**
	 * Sets what running requests hold, with their parts. To be called whenever it changes, after `use` for a run that
	 * begins.
	 */
	setHeldTokens(tokens: number): void {
		if (this.#heldTokens === undefined) {
			if (!(tokens > this.#memoryTokens * scarceHeldShare)) {
				return;
			}

			this.#holdPartsInUse();
		}

		this.#heldTokens = tokens;
		this.#updateCapacities();
		this.#evict();
	}

	/**
	 * Takes over the parts that the endpoint itself reports as cached, least recently used first. Parts that were sent
	 * there and are not prefilled yet stay.
	 */
	replace(parts: readonly PromptPart[]): void {
		const before = [...this.#parts.values()];
		this.#removeAll();
		for (const {id, tokens} of parts) {
			this.#touch({id, tokens}).isPrefilled = true;
		}

		for (const {id, tokens, isPrefilled, runs} of before) {
			if (!isPrefilled || (runs > 0 && this.followsMemory)) {
				this.#touch({id, tokens}).isPrefilled ||= isPrefilled;
			}

			const part = this.#parts.get(id);
			if (part !== undefined) {
				part.runs = runs;
			}
		}

		if (this.followsMemory) {
			this.#holdPartsInUse();
		}

		this.#evict();
	}

	/**
	 * Tokens of this prompt that the endpoint is expected to prefill once it has prefilled what was sent to it before.
	 */
	uncachedTokens(parts: readonly PromptPart[]): number {
		if (!this.followsMemory) {
			return this.#absentTokens(parts);
		}

		let probability = 1;
		let uncachedTokens = 0;
		for (const {id, tokens} of parts) {
			probability = probability === 0 ? 0 : Math.min(probability, this.#cachedProbability(id));
			uncachedTokens += probability === 1 ? 0 : tokens * (1 - probability);
		}

		return Math.round(uncachedTokens);
	}

	/** What is believed of the shared parts of a prompt; undefined if only some of them are cached, or if there are none. */
	belief(parts: readonly PromptPart[]): KeptBelief | undefined {
		let probability = 1;
		let highest = 0;
		let isInUse = true;
		for (const {id} of parts.slice(0, -1)) {
			const own = this.#cachedProbability(id);
			probability = Math.min(probability, own);
			highest = Math.max(highest, own);
			isInUse &&= this.#parts.get(id)?.state === 'in-use';
		}

		if (parts.length < 2 || (probability === 0 && highest > 0)) {
			return undefined;
		}

		return isInUse ? {type: 'in-use'} : (probability === 0 ? {type: 'gone'} : {type: 'cached', probability});
	}

	/** Tokens that can't be fetched from here yet: a part that was sent here counts only once it was prefilled. */
	unavailableTokens(parts: readonly PromptPart[]): number {
		let index = 0;
		while (index < parts.length && this.#isAvailable(parts[index]!.id)) {
			index += 1;
		}

		return tokensFrom(parts, index);
	}

	/**
	 * Tokens of shared parts that would yield to this many new tokens: what exceeds the free memory, as far as what is
	 * cached is shared. Zero where it is not known what running requests hold.
	 */
	displacedTokens(tokens: number): number {
		if (!this.followsMemory) {
			return 0;
		}

		const {recent, aging} = this.#capacities;
		const {tokens: cachedTokens, sharedTokens} = this.#yielding;
		const exceedingTokens = Math.max(0, cachedTokens + tokens - recent - aging);
		return cachedTokens === 0 ? 0 : Math.min(exceedingTokens, cachedTokens) * sharedTokens / cachedTokens;
	}

	/** Marks parts as used: a prompt that contains them was sent here. */
	use(parts: readonly PromptPart[]): void {
		for (const part of parts) {
			const cached = this.#touch(part, true);
			cached.runs += 1;
			if (this.followsMemory) {
				this.#hold(cached);
			}
		}

		this.#evict();
	}

	/** Marks the parts of a run that ended: they yield if no other run contains them. */
	release(parts: readonly PromptPart[]): void {
		for (const {id} of parts) {
			const cached = this.#parts.get(id);
			if (cached === undefined) {
				continue;
			}

			cached.runs = Math.max(0, cached.runs - 1);
			if (cached.runs === 0 && cached.state === 'in-use') {
				this.#yielding.add(cached, 'recent');
			}
		}

		this.#evict();
	}

	/** Marks parts as prefilled, so that other engines may fetch them from here. */
	markPrefilled(parts: readonly PromptPart[]): void {
		for (const {id} of parts) {
			const cached = this.#parts.get(id);
			if (cached !== undefined) {
				cached.isPrefilled = true;
			}
		}
	}

	/** Tokens from the first part on that is not here. */
	#absentTokens(parts: readonly PromptPart[]): number {
		let index = 0;
		while (index < parts.length && this.#parts.has(parts[index]!.id)) {
			index += 1;
		}

		return tokensFrom(parts, index);
	}

	#isAvailable(id: number): boolean {
		const part = this.#parts.get(id);
		return part?.isPrefilled === true && part.state !== 'aging';
	}

	#removeAll(): void {
		this.#parts.clear();
		this.#yielding.clear();
	}

	/** Makes a part the most recently used one; a part that another request uses is shared. */
	#touch({id, tokens}: PromptPart, isUse = false): CachedPart {
		const known = this.#parts.get(id);
		if (known === undefined) {
			const part: CachedPart = {id, tokens, isPrefilled: false, isShared: false, runs: 0, state: 'recent', agedAfterTokens: 0};
			this.#parts.set(id, part);
			this.#yielding.add(part, 'recent');
			return part;
		}

		known.isPrefilled &&= known.state !== 'aging';
		this.#yielding.delete(known);
		known.tokens = tokens;
		known.isShared ||= isUse;
		if (known.state !== 'in-use') {
			this.#yielding.add(known, 'recent');
		}

		return known;
	}

	#hold(part: CachedPart): void {
		this.#yielding.delete(part);
		part.state = 'in-use';
	}

	#holdPartsInUse(): void {
		for (const part of this.#parts.values()) {
			if (part.runs > 0) {
				this.#hold(part);
			}
		}
	}

	/** Probability that a part is cached; certain for each part where parts fill a fixed share of the memory. */
	#cachedProbability(id: number): number {
		const part = this.#parts.get(id);
		if (part === undefined) {
			return 0;
		}

		if (part.state === 'in-use' || !this.followsMemory) {
			return 1;
		}

		return this.#check.factor * (part.state === 'recent' ? 1 : this.#yielding.agedProbability(part, this.#capacities));
	}

	#updateCapacities(): void {
		if (this.#heldTokens === undefined) {
			this.#capacities = {recent: this.#memoryTokens * cacheShare, aging: 0};
			return;
		}

		const freeTokens = Math.max(0, this.#memoryTokens - this.#heldTokens);
		this.#capacities = {recent: freeTokens * freeShares.recent, aging: freeTokens * (freeShares.aging - freeShares.recent)};
	}

	#evict(): void {
		for (const {id} of this.#yielding.evict(this.#capacities)) {
			this.#parts.delete(id);
		}
	}
}
