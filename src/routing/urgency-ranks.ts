/** The urgency of a route and, where it has one, of the workspace that asks. */
export type UrgencyPair = {readonly route: number; readonly workspace: number | undefined};

/**
 * Puts the more urgent first. A pair means the same in every routing table, a rank only in its own. Failure: the operator adds a
 * workspace of another urgency while requests wait. Symptom: by rank, drafts from before go ahead of confirmations that come after.
 */
export function compareUrgency(left: UrgencyPair, right: UrgencyPair): number {
	return compareNumbers(leading(left), leading(right)) || compareNumbers(left.route, right.route);
}

/**
 * Ranks of the requests that one service may get, 0 for the most urgent. A workspace's urgency goes before
 * the route's; between requests of equal workspaces the route's decides. Failure: where most workspaces have
 * the same urgency, that of routes is lost. Symptom: an urgent stream is let in last, as if
 * it were a draft.
 */
export class UrgencyRanks {
	static create(pairs: readonly UrgencyPair[]): UrgencyRanks {
		return new UrgencyRanks(pairs);
	}

	readonly #ranks: ReadonlyMap<string, number>;

	private constructor(pairs: readonly UrgencyPair[]) {
		const distinct = new Map(pairs.map(pair => [keyOf(pair), pair]));
		const ordered = [...distinct].toSorted(([, left], [, right]) => compareUrgency(left, right));
		this.#ranks = new Map(ordered.map(([key], rank) => [key, rank]));
	}

	/** The rank of a pair; one that is not among the service's own comes last. */
	rank(pair: UrgencyPair): number {
		return this.#ranks.get(keyOf(pair)) ?? this.#ranks.size;
	}
}

function compareNumbers(left: number, right: number): number {
	return left === right ? 0 : (left < right ? -1 : 1);
}

function leading({route, workspace}: UrgencyPair): number {
	return workspace ?? route;
}

function keyOf(pair: UrgencyPair): string {
	return `${leading(pair)}/${pair.route}`;
}
