import {type RequestSummary, type Tier, tiers, type WorkspaceName} from '../../model/index.js';
import {type Reservations, type WaitingReservation, waitingInTier} from './reservations.js';

/**
 * Measures how fast each tier's queue empties, and from that how long an arrival would wait.
 *
 * This is needed under sustained overload. Without it, a request waits until its queue timeout and is
 * refused then, although its caller could have tried elsewhere long before. Counting the requests that
 * left the queue, per tier, accounts for slots, response lengths, higher tiers, the floor share and
 * reservations that are used at another side, without a model of any of them.
 */
export type DepartureRates = {
	/** By tier: departures from a queue in which other requests kept waiting, exponentially decayed. */
	readonly departures: readonly number[];
	/** By tier: milliseconds during which a request waited, with the same decay. */
	readonly busyMilliseconds: readonly number[];
	/** By tier: since when the queue has been non-empty without a pause. */
	readonly busySince: ReadonlyArray<number | undefined>;
	readonly updatedAt: number;
};

export const initialDepartureRates: DepartureRates = {departures: tiers.map(() => 0), busyMilliseconds: tiers.map(() => 0), busySince: tiers.map(() => undefined), updatedAt: 0};

/**
 * Brings the counts up to `now`. Only time with a non-empty queue counts: departures while nothing
 * waits show how much arrived, not how much the endpoint can serve, and a following burst would wrongly be refused.
 */
export function advanceDepartureRates(departureRates: DepartureRates, reservations: Reservations, now: number): DepartureRates {
	const elapsed = now - departureRates.updatedAt;
	if (elapsed <= 0) {
		return departureRates;
	}

	const factor = Math.exp(-elapsed / decayMilliseconds);
	const hasWaiting = tiers.map(() => false);
	for (const {summary} of reservations.waiting.values()) {
		hasWaiting[summary.tier] = true;
	}

	return {
		departures: departureRates.departures.map(count => count * factor),
		busyMilliseconds: departureRates.busyMilliseconds.map((busyMilliseconds, tier) => (busyMilliseconds * factor) + (hasWaiting[tier] ? elapsed : 0)),
		busySince: departureRates.busySince.map((since, tier) => hasWaiting[tier] ? since ?? departureRates.updatedAt : undefined),
		updatedAt: now,
	};
}

/** Counts a reservation that left the queue by an offer or a withdrawal. `remaining` are the reservations after that. */
export function countDeparture(departureRates: DepartureRates, {tier}: RequestSummary, remaining: Reservations): DepartureRates {
	return waitingInTier(remaining, tier).length === 0 ? departureRates : {...departureRates, departures: departureRates.departures.with(tier, departureRates.departures[tier]! + 1)};
}

/**
 * Estimates from the departures how many milliseconds an arrival would wait; 0 while too few have been
 * seen for an estimate. Requests past their first-token deadline are left out: an arrival goes before them.
 */
export function expectedWait(departureRates: DepartureRates, reservations: Reservations, summary: RequestSummary, now: number): number {
	const inTime = waitingInTier(reservations, summary.tier).filter(({dueAt}) => dueAt >= now);
	const backlogs = backlogsOf(inTime);
	return countAhead(backlogs, summary, backlogs.get(summary.workspace)?.count ?? 0) * departureIntervalMilliseconds(departureRates, summary, now);
}

/**
 * Lists waiting requests of a tier that are past their first-token deadline and, at the current departure
 * rate, would still be waiting at their queue timeout. They are refused now, so that their callers can try
 * elsewhere, and not only when the timeout has passed. A wrong estimate refuses a request that could still
 * have been served, so the estimated wait must exceed the remaining time by half.
 */
export function findHopeless(departureRates: DepartureRates, reservations: Reservations, tier: Tier, now: number): readonly WaitingReservation[] {
	const waiting = waitingInTier(reservations, tier);
	const backlogs = backlogsOf(waiting);
	const positions = new Map<WorkspaceName, number>();
	return waiting.filter(({summary, dueAt, expiresAt}) => {
		const position = positions.get(summary.workspace) ?? 0;
		positions.set(summary.workspace, position + 1);
		return dueAt < now && countAhead(backlogs, summary, position) * departureIntervalMilliseconds(departureRates, summary, now) > (expiresAt - now) * safetyFactor;
	});
}

/** Milliseconds after which a caller should retry: the time until half of the tier's queue has left. */
export function retryAfter({departures, busyMilliseconds}: DepartureRates, reservations: Reservations, tier: Tier): number {
	return Math.min(maximumRetryMilliseconds, waitingInTier(reservations, tier).length * busyMilliseconds[tier]! / Math.max(1, departures[tier]!) / 2);
}

const decayMilliseconds = 2000;
const minimumDepartures = 6;
const minimumBusyMilliseconds = 500;
const maximumRetryMilliseconds = 10_000;

const safetyFactor = 1.5;

/**
 * Average time between two departures while requests wait; 0 if it can't be relied on for as long as the
 * request may wait. Otherwise a burst of two seconds makes the lowest tier's queue look as if it could not be
 * served, so that requests for long jobs, which may wait for minutes, are refused although they could be
 * served after the burst. Overload that has lasted for half of the class's queue timeout is assumed to last
 * for the rest.
 */
function departureIntervalMilliseconds({departures, busyMilliseconds, busySince}: DepartureRates, {tier, queueMilliseconds}: RequestSummary, now: number): number {
	const overloadMilliseconds = now - (busySince[tier] ?? now);
	const isKnown = departures[tier]! >= minimumDepartures && overloadMilliseconds >= Math.max(minimumBusyMilliseconds, queueMilliseconds / 2);
	return isKnown ? busyMilliseconds[tier]! / departures[tier]! : 0;
}

type Backlogs = ReadonlyMap<WorkspaceName, {readonly count: number; readonly weight: number}>;

function backlogsOf(waiting: readonly WaitingReservation[]): Backlogs {
	const backlogs = new Map<WorkspaceName, {count: number; weight: number}>();
	for (const {summary: {workspace, weight}} of waiting) {
		backlogs.set(workspace, {count: (backlogs.get(workspace)?.count ?? 0) + 1, weight});
	}

	return backlogs;
}

/**
 * Counts the requests that are served before the one at `position` (0 is the first) of its workspace:
 * in fair order each other workspace gets as many turns, by weight, as this workspace needs until then.
 */
function countAhead(backlogs: Backlogs, {workspace, weight}: RequestSummary, position: number): number {
	let ahead = position;
	for (const [name, backlog] of backlogs) {
		ahead += name === workspace ? 0 : Math.min(backlog.count, (position + 1) * backlog.weight / weight);
	}

	return ahead;
}
