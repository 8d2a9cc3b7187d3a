import {budgetAllows, createRetryBudget, decideRetry, stepRetryBudget, type Attempt, type RetryBudget, type RetryDecision} from '../policy/retries/index.js';

export type RetryControllerOptions = {
	readonly random: () => number;
	/** Number of live entries, this one included. */
	readonly entries: () => number;
};

/** Applies the retry policy at one entry: holds the retry budget and supplies the clock and the random source. */
export class RetryController {
	static create(options: RetryControllerOptions): RetryController {
		return new RetryController(options);
	}

	/** Numbers of retries made, and of retries refused by reason. */
	readonly counts = {retries: 0, refused: {final: 0, verdict: 0, attempts: 0, deadline: 0, budget: 0}};
	readonly #options: RetryControllerOptions;
	/** Created with the first request, since no members are known before. */
	#budget: RetryBudget | undefined;

	private constructor(options: RetryControllerOptions) {
		this.#options = options;
	}

	/** Counts a new request, which raises the retry budget. */
	requestArrived(): void {
		const now = performance.now();
		this.#budget = stepRetryBudget(this.#currentBudget(now), {type: 'request'}, now);
	}

	/** Decides whether a failed attempt is retried; a retry is charged to the budget at once. */
	decide(attempt: Attempt): RetryDecision {
		const now = performance.now();
		const budget = this.#currentBudget(now);
		const decision = decideRetry(budget, attempt, this.#options.random(), now);
		if (decision.type === 'give-up') {
			this.counts.refused[decision.reason] += 1;
			return decision;
		}

		if (decision.free) {
			return decision;
		}

		if (!budgetAllows(budget, now)) {
			throw new Error('The policy allowed a retry that exceeds the budget.');
		}

		this.counts.retries += 1;
		this.#budget = stepRetryBudget(budget, {type: 'retry'}, now);
		return decision;
	}

	/** The budget, shared by as many entries as there are now. */
	#currentBudget(now: number): RetryBudget {
		const entries = Math.max(1, this.#options.entries());
		const budget = this.#budget ?? createRetryBudget(entries, now);
		return budget.entries === entries ? budget : stepRetryBudget(budget, {type: 'fleet', entries}, now);
	}
}
