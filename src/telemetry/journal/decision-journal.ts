/** The reason codes of the decisions about a request, as `explain` prints them. */
export const ReasonCode = {
	arrived: 'arrived',
	classified: 'classified',
	limited: 'limited',
	quarantined: 'quarantined',
	claimed: 'claimed',
	claimRefused: 'claim-refused',
	ranked: 'ranked',
	reserved: 'reserved',
	queued: 'queued',
	offered: 'offered',
	refused: 'refused',
	withdrawn: 'withdrawn',
	started: 'started',
	firstToken: 'first-token',
	preempted: 'preempted',
	retried: 'retried',
	resumed: 'resumed',
	cancelled: 'cancelled',
	finished: 'finished',
	failed: 'failed',
} as const;
export type ReasonCode = (typeof ReasonCode)[keyof typeof ReasonCode];

/** The parameters and measured values of a decision: short values, never a prompt or a key. */
export type DecisionDetail = Readonly<Record<string, string | number | boolean>>;

export type Decision = {
	/** Milliseconds since the Unix epoch, by this instance's clock. */
	readonly time: number;
	readonly request: string;
	readonly code: ReasonCode;
	readonly detail: DecisionDetail;
};

const defaultCapacity = 20_000;
const maximumTextLength = 200;

/**
 * The newest decisions of one process, by request. Memory is bounded by the number of decisions: a new one
 * replaces the oldest. 20,000 decisions cover over three minutes of an entry at 17 requests a second with six
 * decisions each, and take a few megabytes.
 */
export class DecisionJournal {
	static create(options: {capacity?: number; now?: () => number} = {}): DecisionJournal {
		return new DecisionJournal(options.capacity ?? defaultCapacity, options.now ?? Date.now);
	}

	readonly #capacity: number;
	readonly #now: () => number;
	readonly #ring: Decision[] = [];
	readonly #byRequest = new Map<string, Decision[]>();
	#oldestIndex = 0;

	private constructor(capacity: number, now: () => number) {
		this.#capacity = capacity;
		this.#now = now;
	}

	/** Number of decisions in the journal. */
	get size(): number {
		return this.#ring.length;
	}

	record(request: string, code: ReasonCode, detail: DecisionDetail = {}): void {
		const decision: Decision = {time: this.#now(), request, code, detail: truncateTexts(detail)};
		if (this.#ring.length < this.#capacity) {
			this.#ring.push(decision);
		} else {
			this.#removeFromIndex(this.#ring[this.#oldestIndex]!);
			this.#ring[this.#oldestIndex] = decision;
			this.#oldestIndex = (this.#oldestIndex + 1) % this.#capacity;
		}

		const decisions = this.#byRequest.get(request);
		if (decisions) {
			decisions.push(decision);
		} else {
			this.#byRequest.set(request, [decision]);
		}
	}

	/** The decisions about a request, oldest first; empty if the request is unknown or its decisions have been replaced. */
	explain(request: string): readonly Decision[] {
		return this.#byRequest.get(request) ?? [];
	}

	/** Removes the overwritten decision, which is always the first one of its request. */
	#removeFromIndex(decision: Decision): void {
		const decisions = this.#byRequest.get(decision.request)!;
		decisions.shift();
		if (decisions.length === 0) {
			this.#byRequest.delete(decision.request);
		}
	}
}

function truncateTexts(detail: DecisionDetail): DecisionDetail {
	const entries = Object.entries(detail).map(([name, value]) => [name, typeof value === 'string' ? value.slice(0, maximumTextLength) : value]);
	return Object.fromEntries(entries) as DecisionDetail;
}
