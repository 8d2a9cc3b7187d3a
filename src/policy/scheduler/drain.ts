import {type RequestSummary, type Tier, tiers, type WorkspaceName} from '../../model/index.js';
import {type Ledger, type Waiting, waitingIn} from './ledger.js';

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
	/** By tier: since when somebody has waited without a pause. */
	readonly busySince: ReadonlyArray<number | undefined>;
	readonly updatedAt: number;
};

export const freshDrain: Drain = {departures: tiers.map(() => 0), busy: tiers.map(() => 0), busySince: tiers.map(() => undefined), updatedAt: 0};

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
		busySince: drain.busySince.map((since, tier) => waits[tier] ? since ?? drain.updatedAt : undefined),
		updatedAt: now,
	};
}

/** Counts a reservation that left the queue by an offer or a withdrawal. */
export function countDeparture(drain: Drain, {tier}: RequestSummary, left: Ledger): Drain {
	return waitingIn(left, tier).length === 0 ? drain : {...drain, departures: drain.departures.with(tier, drain.departures[tier]! + 1)};
}

/**
 * How long the departures so far let an arrival wait; 0 while too few have been seen to tell. Requests
 * that are late already are left out: an arrival goes before them.
 */
export function expectedWait(drain: Drain, ledger: Ledger, summary: RequestSummary, now: number): number {
	const inTime = waitingIn(ledger, summary.tier).filter(({dueAt}) => dueAt >= now);
	const backlogs = backlogsOf(inTime);
	return aheadOf(backlogs, summary, backlogs.get(summary.workspace)?.count ?? 0) * departureMilliseconds(drain, summary, now);
}

/**
 * Waiting requests of a tier that are late and, going by the departures, will still wait when their time
 * is over. They are told so now, and not when it is over: their callers can be elsewhere by then. Being
 * wrong costs a caller its turn, so the estimate must be out of reach by half.
 */
export function hopelessIn(drain: Drain, ledger: Ledger, tier: Tier, now: number): readonly Waiting[] {
	const waiting = waitingIn(ledger, tier);
	const backlogs = backlogsOf(waiting);
	const places = new Map<WorkspaceName, number>();
	return waiting.filter(({summary, dueAt, expiresAt}) => {
		const place = places.get(summary.workspace) ?? 0;
		places.set(summary.workspace, place + 1);
		return dueAt < now && aheadOf(backlogs, summary, place) * departureMilliseconds(drain, summary, now) > (expiresAt - now) * certainty;
	});
}

/** When it makes sense to come back: when half of what waits in the tier has left. */
export function retryAfter({departures, busy}: Drain, ledger: Ledger, tier: Tier): number {
	return Math.min(longestRetryMilliseconds, waitingIn(ledger, tier).length * busy[tier]! / Math.max(1, departures[tier]!) / 2);
}

const memoryMilliseconds = 2000;
const leastDepartures = 6;
const leastBusyMilliseconds = 500;
const longestRetryMilliseconds = 10_000;

const certainty = 1.5;

/**
 * Usual time between two departures while somebody waits; 0 if that can't be relied on for as long as the
 * request may wait. Failure: a burst of two seconds makes the lowest tier's queue look hopeless. Symptom:
 * charts that may wait for minutes are refused, and served nothing after the burst. Overload that has
 * lasted for half of the class's time is taken to last for the rest.
 */
function departureMilliseconds({departures, busy, busySince}: Drain, {tier, queueMilliseconds}: RequestSummary, now: number): number {
	const lasted = now - (busySince[tier] ?? now);
	const isKnown = departures[tier]! >= leastDepartures && lasted >= Math.max(leastBusyMilliseconds, queueMilliseconds / 2);
	return isKnown ? busy[tier]! / departures[tier]! : 0;
}

type Backlogs = ReadonlyMap<WorkspaceName, {readonly count: number; readonly weight: number}>;

function backlogsOf(waiting: readonly Waiting[]): Backlogs {
	const backlogs = new Map<WorkspaceName, {count: number; weight: number}>();
	for (const {summary: {workspace, weight}} of waiting) {
		backlogs.set(workspace, {count: (backlogs.get(workspace)?.count ?? 0) + 1, weight});
	}

	return backlogs;
}

/**
 * How many go before the request at place `own` (0 is the first) of its workspace: fair order gives each
 * rival as many turns, by weight, as the workspace itself needs until then.
 */
function aheadOf(backlogs: Backlogs, {workspace, weight}: RequestSummary, own: number): number {
	let ahead = own;
	for (const [name, backlog] of backlogs) {
		ahead += name === workspace ? 0 : Math.min(backlog.count, (own + 1) * backlog.weight / weight);
	}

	return ahead;
}
