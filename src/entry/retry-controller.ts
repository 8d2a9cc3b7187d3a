import {budgetAllows, createRetryBudget, decideRetry, stepRetryBudget, type Attempt, type RetryBudget, type RetryDecision} from '../policy/retries/index.js';

/** Applies the retry policy at one entry: holds the retry budget and supplies the clock and the random source. */
export class RetryController {
	static create(random: () => number): RetryController {
		return new RetryController(random);
	}

	/** Numbers of retries made, and of retries refused by reason. */
	readonly counts = {retries: 0, refused: {final: 0, verdict: 0, attempts: 0, deadline: 0, budget: 0}};
	readonly #random: () => number;
	#budget: RetryBudget = createRetryBudget(performance.now());

	private constructor(random: () => number) {
		this.#random = random;
	}

	/** Counts a new request, which raises the retry budget. */
	requestArrived(): void {
		this.#budget = stepRetryBudget(this.#budget, {type: 'request'}, performance.now());
	}

	/** Decides whether a failed attempt is retried; a retry is charged to the budget at once. */
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
			throw new Error('The policy allowed a retry that exceeds the budget.');
		}

		this.counts.retries += 1;
		this.#budget = stepRetryBudget(this.#budget, {type: 'retry'}, now);
		return decision;
	}
}
