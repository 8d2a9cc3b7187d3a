import {type RequestSummary, type Tier, tiers, type WorkspaceName} from '../../model/index.js';
import {type Ledger, waitingIn} from './ledger.js';

/**
 * How fast each tier's queue empties, and so how long an arrival would wait.
 *
 * Load pattern: lasting overload. Without it a request waits out its time and is refused at the end,
 * when its caller could have been elsewhere long ago. Counting what really left the queue, tier by
 * tier, takes in slots, lengths, higher tiers, the floor and reservations that are used on another
 * side, with no model of any of them.
 */
export type Drain = {
	/** By tier: departures from a queue in which others waited on, each fading with time. */
	readonly departures: readonly number[];
	/** By tier: milliseconds during which somebody waited, fading alike. */
	readonly busy: readonly number[];
	readonly updatedAt: number;
};

export const freshDrain: Drain = {departures: tiers.map(() => 0), busy: tiers.map(() => 0), updatedAt: 0};

/**
 * Brings the figures up to now. Only time with somebody waiting counts: what leaves a quiet queue
 * says how much came, not how much the endpoint can do, and a burst after it would be refused in error.
 */
export function elapse(drain: Drain, ledger: Ledger, now: number): Drain {
	const elapsed = now - drain.updatedAt;
	if (elapsed <= 0) {
		return drain;
	}

	const factor = Math.exp(-elapsed / memoryMilliseconds);
	const waits = tiers.map(() => false);
	for (const {summary} of ledger.waiting.values()) {
		waits[summary.tier] = true;
	}

	return {
		departures: drain.departures.map(count => count * factor),
		busy: drain.busy.map((busy, tier) => (busy * factor) + (waits[tier] ? elapsed : 0)),
		updatedAt: now,
	};
}

/** Counts a reservation that left the queue by an offer or a withdrawal. */
export function countDeparture(drain: Drain, {tier}: RequestSummary, left: Ledger): Drain {
	return waitingIn(left, tier).length === 0 ? drain : {...drain, departures: drain.departures.with(tier, drain.departures[tier]! + 1)};
}

/** How long the departures so far let an arrival wait; 0 while too few have been seen to tell. */
export function expectedWait(drain: Drain, ledger: Ledger, summary: RequestSummary): number {
	const departures = drain.departures[summary.tier]!;
	const busy = drain.busy[summary.tier]!;
	return departures < leastDepartures || busy < leastBusyMilliseconds ? 0 : aheadOf(ledger, summary) * busy / departures;
}

/** When it makes sense to come back: when half of what waits in the tier has left. */
export function retryAfter({departures, busy}: Drain, ledger: Ledger, tier: Tier): number {
	return Math.min(longestRetryMilliseconds, waitingIn(ledger, tier).length * busy[tier]! / Math.max(1, departures[tier]!) / 2);
}

const memoryMilliseconds = 2000;
const leastDepartures = 6;
const leastBusyMilliseconds = 500;
const longestRetryMilliseconds = 10_000;

/**
 * How many reservations of the tier go before an arrival: fair order gives each rival as many turns,
 * by weight, as the arrival's own workspace needs.
 */
function aheadOf(ledger: Ledger, {tier, workspace, weight}: RequestSummary): number {
	const backlogs = new Map<WorkspaceName, {count: number; weight: number}>();
	for (const {summary} of waitingIn(ledger, tier)) {
		const backlog = backlogs.get(summary.workspace) ?? {count: 0, weight: summary.weight};
		backlogs.set(summary.workspace, {...backlog, count: backlog.count + 1});
	}

	const own = backlogs.get(workspace)?.count ?? 0;
	let ahead = own;
	for (const [name, backlog] of backlogs) {
		ahead += name === workspace ? 0 : Math.min(backlog.count, (own + 1) * backlog.weight / weight);
	}

	return ahead;
}
