/** The urgency of a route and, if it has one, of the workspace that sends the request. */
export type UrgencyPair = {readonly route: number; readonly workspace: number | undefined};

/**
 * Orders pairs by urgency, the most urgent first. A pair has the same meaning in every routing table, a rank only in its own. If the
 * operator added a workspace with another urgency while requests are queued, a comparison of ranks would mix ranks of two tables, and
 * less urgent requests of before the change (such as drafts) would be served before more urgent later ones (such as confirmations).
 */
export function compareUrgency(left: UrgencyPair, right: UrgencyPair): number {
	return compareNumbers(primaryUrgency(left), primaryUrgency(right)) || compareNumbers(left.route, right.route);
}

/** Order by the route's urgency first and the workspace's second, where it is decided which kind of request gets nothing. */
export function compareByRoute(left: UrgencyPair, right: UrgencyPair): number {
	return compareNumbers(left.route, right.route) || compareNumbers(primaryUrgency(left), primaryUrgency(right));
}

/**
 * Ranks of the requests that one service may receive, 0 for the most urgent. A workspace's urgency takes precedence over
 * the route's; between requests of equally urgent workspaces the route's decides. Without the second criterion, all routes of
 * workspaces with the same urgency would have one rank, and an urgent stream would be admitted last, like the least urgent request
 * (such as a draft).
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

	/** The rank of a pair; one that is unknown to the service comes last. */
	rank(pair: UrgencyPair): number {
		return this.#ranks.get(keyOf(pair)) ?? this.#ranks.size;
	}
}

function compareNumbers(left: number, right: number): number {
	return left === right ? 0 : (left < right ? -1 : 1);
}

function primaryUrgency({route, workspace}: UrgencyPair): number {
	return workspace ?? route;
}

function keyOf(pair: UrgencyPair): string {
	return `${primaryUrgency(pair)}/${pair.route}`;
}
