/** Why a process did what it did to a request; `explain` shows the word and its sentence. */
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

/** Figures of a decision: short values, never a prompt or a key. */
export type DecisionDetail = Readonly<Record<string, string | number | boolean>>;

export type Decision = {
	/** Milliseconds since 1970 by this instance's clock. */
	readonly time: number;
	readonly request: string;
	readonly code: ReasonCode;
	readonly detail: DecisionDetail;
};

const defaultCapacity = 20_000;
const longestText = 200;

/**
 * The newest decisions of one process, by request. Memory is bounded by the number of decisions: the
 * oldest goes when a new one comes. 20,000 hold over three minutes of an entry at 17 requests a
 * second and six decisions a request, and take a few megabytes.
 */
export class DecisionJournal {
	static create(options: {capacity?: number; now?: () => number} = {}): DecisionJournal {
		return new DecisionJournal(options.capacity ?? defaultCapacity, options.now ?? Date.now);
	}

	readonly #capacity: number;
	readonly #now: () => number;
	readonly #ring: Decision[] = [];
	readonly #byRequest = new Map<string, Decision[]>();
	#oldest = 0;

	private constructor(capacity: number, now: () => number) {
		this.#capacity = capacity;
		this.#now = now;
	}

	/** How many decisions are held. */
	get size(): number {
		return this.#ring.length;
	}

	record(request: string, code: ReasonCode, detail: DecisionDetail = {}): void {
		const decision: Decision = {time: this.#now(), request, code, detail: shorten(detail)};
		if (this.#ring.length < this.#capacity) {
			this.#ring.push(decision);
		} else {
			this.#forget(this.#ring[this.#oldest]!);
			this.#ring[this.#oldest] = decision;
			this.#oldest = (this.#oldest + 1) % this.#capacity;
		}

		const decisions = this.#byRequest.get(request);
		if (decisions) {
			decisions.push(decision);
		} else {
			this.#byRequest.set(request, [decision]);
		}
	}

	/** What happened to a request here, oldest first; empty if it was not seen or is forgotten. */
	explain(request: string): readonly Decision[] {
		return this.#byRequest.get(request) ?? [];
	}

	/** The oldest decision of a request is always the first one held for it. */
	#forget(decision: Decision): void {
		const decisions = this.#byRequest.get(decision.request)!;
		decisions.shift();
		if (decisions.length === 0) {
			this.#byRequest.delete(decision.request);
		}
	}
}

function shorten(detail: DecisionDetail): DecisionDetail {
	const entries = Object.entries(detail).map(([name, value]) => [name, typeof value === 'string' ? value.slice(0, longestText) : value]);
	return Object.fromEntries(entries) as DecisionDetail;
}
