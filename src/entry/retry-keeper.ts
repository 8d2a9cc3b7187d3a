import {budgetAllows, createRetryBudget, decideRetry, stepRetryBudget, type Attempt, type RetryBudget, type RetryDecision} from '../policy/retries/index.js';

/** The retry budget of one entry, with the clock and the random source that the policy leaves out. */
export class RetryKeeper {
	static create(random: () => number): RetryKeeper {
		return new RetryKeeper(random);
	}

	/** Retries that were made, and those refused by reason. */
	readonly counts = {retries: 0, refused: {final: 0, verdict: 0, attempts: 0, deadline: 0, budget: 0}};
	readonly #random: () => number;
	#budget: RetryBudget = createRetryBudget(performance.now());

	private constructor(random: () => number) {
		this.#random = random;
	}

	/** A request came in. */
	requestArrived(): void {
		this.#budget = stepRetryBudget(this.#budget, {type: 'request'}, performance.now());
	}

	/** Decides about a failed attempt; a retry is paid for at once. */
	decide(attempt: Attempt): RetryDecision {
		const now = performance.now();
		const decision = decideRetry(this.#budget, attempt, this.#random(), now);
		if (decision.type === 'give-up') {
			this.counts.refused[decision.reason] += 1;
			return decision;
		}

		if (decision.free) {
			return decision;
		}

		if (!budgetAllows(this.#budget, now)) {
			throw new Error('A retry beyond the budget.');
		}

		this.counts.retries += 1;
		this.#budget = stepRetryBudget(this.#budget, {type: 'retry'}, now);
		return decision;
	}
}
