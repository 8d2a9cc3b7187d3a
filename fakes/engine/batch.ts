import {type Task} from './answer.js';
import {PrefixCache} from './prefix-cache.js';

/** Costs and capacity of an engine: milliseconds of step time, tokens of KV memory. */
export type EngineCosts = {
	readonly stepMilliseconds: number;
	/** Added to a step for each request decoded in it. */
	readonly stepMillisecondsPerRequest: number;
	readonly prefillMillisecondsPerToken: number;
	/** Maximum number of prompt tokens prefilled in one step. */
	readonly prefillTokensPerStep: number;
	readonly maximumBatch: number;
	readonly memoryTokens: number;
	readonly prefixCacheTokens: number;
	readonly honoursPriority: boolean;
};

/** Steps of a few milliseconds, and memory for about sixty requests of medium length. */
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
	/** Index of the next token. */
	next: number;
	prefillLeft: number;
};

/** The result of a step: each job in `produced` has produced token `next - 1`. */
export type Step = {readonly milliseconds: number; readonly produced: readonly Job[]};

/**
 * Continuous batching: each step admits the jobs that fit into memory, prefills a part of their prompts and
 * produces one token for every job whose prompt is prefilled. Uses neither clock nor network.
 */
export class Batch {
	static create(costs: EngineCosts): Batch {
		return new Batch(costs);
	}

	readonly running = new Set<Job>();
	readonly waiting: Job[] = [];
	/** Prefilled tokens, including those of evicted and resumed requests. */
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

	/** Fraction of memory in use, from 0 to 1. */
	get memoryUsed(): number {
		return Math.min(1, this.#usedTokens() / this.#costs.memoryTokens);
	}

	add(job: Job): void {
		const insertAt = this.#costs.honoursPriority ? this.waiting.findIndex(other => other.priority > job.priority) : -1;
		this.waiting.splice(insertAt === -1 ? this.waiting.length : insertAt, 0, job);
	}

	remove(job: Job): void {
		this.running.delete(job);
		const index = this.waiting.indexOf(job);
		if (index !== -1) {
			this.waiting.splice(index, 1);
		}
	}

	/** Drops all jobs and the prefix cache, as a crash does. */
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
			const prefill = Math.min(left, job.prefillLeft);
			job.prefillLeft -= prefill;
			left -= prefill;
		}

		const prefilled = this.#costs.prefillTokensPerStep - left;
		this.prefilledTokens += prefilled;
		return prefilled;
	}

	/** If memory is exceeded, moves the newest jobs of the lowest priority back to the queue, to be computed again. */
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
