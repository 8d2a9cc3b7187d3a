import {type Task} from './answer.js';
import {PrefixCache} from './prefix-cache.js';

/** What an engine of this kind costs. Milliseconds are of a step; tokens are of KV memory. */
export type EngineCosts = {
	readonly stepMilliseconds: number;
	/** Added to a step for each request that decodes in it. */
	readonly stepMillisecondsPerRequest: number;
	readonly prefillMillisecondsPerToken: number;
	/** The most prompt tokens that one step takes in. */
	readonly prefillTokensPerStep: number;
	readonly maximumBatch: number;
	readonly memoryTokens: number;
	readonly prefixCacheTokens: number;
	readonly honoursPriority: boolean;
};

/** A step of a few milliseconds, as in the brief; memory for about sixty middling requests. */
export const defaultCosts: EngineCosts = {
	stepMilliseconds: 4,
	stepMillisecondsPerRequest: 0.15,
	prefillMillisecondsPerToken: 0.02,
	prefillTokensPerStep: 512,
	maximumBatch: 64,
	memoryTokens: 40_000,
	prefixCacheTokens: 20_000,
	honoursPriority: true,
};

export type Job = {
	readonly id: string;
	readonly task: Task;
	readonly priority: number;
	/** The next token's number. */
	next: number;
	prefillLeft: number;
};

/** What a step brought: each job produced the token before its `next`. */
export type Step = {readonly milliseconds: number; readonly produced: readonly Job[]};

/**
 * Continuous batching: each step admits what memory has room for, takes in a part of the prompts and
 * gives one token to every request that decodes. It knows no clock and no network.
 */
export class Batch {
	static create(costs: EngineCosts): Batch {
		return new Batch(costs);
	}

	readonly running = new Set<Job>();
	readonly waiting: Job[] = [];
	/** Prompt tokens computed, those of evicted and resumed requests included. */
	prefilledTokens = 0;
	evictions = 0;
	readonly #costs: EngineCosts;
	readonly #cache: PrefixCache;

	private constructor(costs: EngineCosts) {
		this.#costs = costs;
		this.#cache = PrefixCache.create(costs.prefixCacheTokens);
	}

	get isIdle(): boolean {
		return this.running.size === 0 && this.waiting.length === 0;
	}

	/** Between 0 and 1. */
	get memoryUsed(): number {
		return Math.min(1, this.#usedTokens() / this.#costs.memoryTokens);
	}

	add(job: Job): void {
		const rank = this.#costs.honoursPriority ? this.waiting.findIndex(other => other.priority > job.priority) : -1;
		this.waiting.splice(rank === -1 ? this.waiting.length : rank, 0, job);
	}

	remove(job: Job): void {
		this.running.delete(job);
		const place = this.waiting.indexOf(job);
		if (place !== -1) {
			this.waiting.splice(place, 1);
		}
	}

	/** Forgets everything, as a crash does. */
	clear(): void {
		this.running.clear();
		this.waiting.length = 0;
		this.#cache.clear();
	}

	step(): Step {
		this.#admit();
		const prefilled = this.#prefill();
		const produced = [...this.running].filter(job => job.prefillLeft === 0);
		for (const job of produced) {
			job.next++;
		}

		this.#evict();
		const {stepMilliseconds, stepMillisecondsPerRequest, prefillMillisecondsPerToken} = this.#costs;
		const milliseconds = stepMilliseconds + (stepMillisecondsPerRequest * produced.length) + (prefillMillisecondsPerToken * prefilled);
		return {milliseconds, produced};
	}

	#admit(): void {
		let used = this.#usedTokens();
		while (this.waiting.length > 0 && this.running.size < this.#costs.maximumBatch) {
			const job = this.waiting[0]!;
			const needed = job.task.promptTokens + job.next;
			if (this.running.size > 0 && used + needed > this.#costs.memoryTokens) {
				return;
			}

			used += needed;
			this.waiting.shift();
			job.prefillLeft = Math.max(0, needed - this.#cache.use(job.task.prompt));
			this.running.add(job);
		}
	}

	#prefill(): number {
		let left = this.#costs.prefillTokensPerStep;
		for (const job of this.running) {
			const taken = Math.min(left, job.prefillLeft);
			job.prefillLeft -= taken;
			left -= taken;
		}

		const prefilled = this.#costs.prefillTokensPerStep - left;
		this.prefilledTokens += prefilled;
		return prefilled;
	}

	/** Memory ran out: the newest of the lowest priority goes back to the queue and is computed again. */
	#evict(): void {
		while (this.running.size > 1 && this.#usedTokens() > this.#costs.memoryTokens) {
			const lowest = Math.max(...[...this.running].map(job => job.priority));
			const victim = [...this.running].findLast(job => job.priority === lowest)!;
			this.running.delete(victim);
			this.waiting.unshift(victim);
			this.evictions++;
		}
	}

	#usedTokens(): number {
		let used = 0;
		for (const job of this.running) {
			used += job.task.promptTokens + job.next;
		}

		return used;
	}
}
