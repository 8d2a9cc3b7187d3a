/**
 * Load pattern: one of hundreds of instances makes the calls that must come from one at a time. Its process is killed, frozen,
 * suspended or cut off from the store, from its peers or from the receiver of the calls; the store is down, loses responses, carries
 * appends out late, or is restored from a backup. Without this module two instances would send different reports of one window, or
 * nobody would send any.
 *
 * The holder renews its claim by an append that succeeds only if nobody else has written. Other instances claim once the log has not
 * changed for a lease; a former holder waits for two, so that the duties don't go back and forth within one.
 */
import {type LogPosition} from '../../model/index.js';
import {isDecisionDue} from './contributors.js';
import {decisionEntry, type DutyEntry, eraOfToken, fencingToken, type Holder, holderEntry, limitRows, progressEntry, removalEntry} from './records.js';
import {type DutyClock} from './settings.js';
import {type DutyState, type KnownLog, type Tenure} from './state.js';
import {countsOf, type UsageCounts, windowAt} from './usage.js';

/** What an append is for. */
export const AppendPurpose = {claim: 'claim', renewal: 'renewal', release: 'release'} as const;
export type AppendPurpose = (typeof AppendPurpose)[keyof typeof AppendPurpose];

/** The next call to the store. */
export type StoreStep
	= | {readonly type: 'wait'; readonly milliseconds: number}
		| {readonly type: 'read'}
		| {readonly type: 'append'; readonly purpose: AppendPurpose; readonly at: LogPosition; readonly entries: readonly DutyEntry[]; readonly decided: ReadonlyMap<number, UsageCounts>};

/** Interval between a holder's renewals. */
const renewalMilliseconds = 500;
/** The wait of a candidate that has nothing to do; events end it. */
const idleMilliseconds = 1000;
/** Windows whose decision stays in the log after they were reported, for a call that is carried out late. */
const keptDecisions = 6;
/** Largest size of the rows in one record, in characters. */
const largestRowsCharacters = 16_000;

/** Chooses the next call to the store. */
export function nextStoreStep(state: DutyState, clock: DutyClock): StoreStep {
	const pause = state.nextStoreCallAt - clock.steady;
	if (pause > 0) {
		return {type: 'wait', milliseconds: pause};
	}

	return state.tenure === undefined ? nextCandidateStep(state, clock) : nextHolderStep(state, state.tenure, clock);
}

function nextHolderStep(state: DutyState, tenure: Tenure, clock: DutyClock): StoreStep {
	const {known} = state;
	if (known?.isCurrent !== true) {
		return {type: 'read'};
	}

	if (state.isStopping || tenure.isEnding) {
		return {...append(known, AppendPurpose.release, [holderEntry({...holderOf(state, tenure.token), isReleased: true})]), decided: new Map()};
	}

	const decided = dueDecisions(state, tenure, clock);
	const untilRenewal = tenure.renewedAt + renewalMilliseconds - clock.lease;
	if (decided.size === 0 && untilRenewal > 0) {
		return {type: 'wait', milliseconds: untilRenewal};
	}

	const decisions = Array.from(decided, ([window, counts]) => decisionEntry(window, tenure.token, counts));
	return {...append(known, AppendPurpose.renewal, [...removals(known, tenure), ...decisions, progressOf(state, tenure)]), decided};
}

function nextCandidateStep(state: DutyState, clock: DutyClock): StoreStep {
	const {known, own, isStopping} = state;
	if (isStopping) {
		return {type: 'wait', milliseconds: idleMilliseconds};
	}

	if (isReleaseUnread(state) && (known === undefined || known.readAt < state.announcement!.at)) {
		return {type: 'read'};
	}

	const claimAt = earliestClaim(state);
	if (claimAt > clock.steady) {
		return {type: 'wait', milliseconds: Math.min(idleMilliseconds, claimAt - clock.steady)};
	}

	if (known?.isCurrent !== true || known.readAt < claimAt) {
		return {type: 'read'};
	}

	const token = fencingToken(known.log.end);
	const holder: Holder = {token, instance: own.instance, incarnation: own.incarnation, address: own.address, isReleased: false};
	return {...append(known, AppendPurpose.claim, [holderEntry(holder)]), decided: new Map()};
}

/**
 * When this instance may claim, by the steady clock, if it hears nothing else until then. The time counts from when the log's end, or
 * the holder's message that names this end, was first seen, which is after the start of the append that the holder's lease counts from.
 * A log without a holder is no exception: after a restore from a backup it may lack the claim of one that still acts.
 */
function earliestClaim({known, announcement, own, settings, lastHeldAt, startedAt}: DutyState): number {
	const {leaseMilliseconds} = settings;
	const seenAt = Math.max(known?.changedAt ?? -Infinity, announcement?.at ?? -Infinity);
	if (seenAt === -Infinity) {
		return startedAt + own.claimDelayMilliseconds;
	}

	const holder = known?.log.holder;
	const isOwn = holder?.incarnation === own.incarnation;
	const isFormerHolder = holder !== undefined && !isOwn && lastHeldAt > seenAt - (2 * leaseMilliseconds);
	// An instance that has released the duties itself leaves them to the others first.
	const wait = (isReleased(known) && !isOwn ? 0 : leaseMilliseconds) + (isFormerHolder ? leaseMilliseconds : 0);
	return seenAt + own.claimDelayMilliseconds + wait;
}

/** True if the newest holder has given the duties up, and the store was not restored from a backup since. */
function isReleased(known: KnownLog | undefined): boolean {
	const holder = known?.log.holder;
	return known !== undefined && holder?.isReleased === true && eraOfToken(holder.token) === known.log.end.era;
}

/** True if a holder's message tells of a release that the log as it is known lacks. */
function isReleaseUnread({known, announcement}: DutyState): boolean {
	return announcement?.holder.isReleased === true && announcement.holder.token >= (known?.log.holder?.token ?? 0) && !isReleased(known);
}

/** Decisions that are due and not in the log. Counts that were decided before stay as they were. */
function dueDecisions(state: DutyState, tenure: Tenure, clock: DutyClock): ReadonlyMap<number, UsageCounts> {
	const {settings, known, contributors, usage, decisions} = state;
	const due = new Map<number, UsageCounts>();
	const current = windowAt(clock.time, settings.windowMilliseconds);
	for (let window = tenure.closedThrough + 1; window < current; window++) {
		const query = {window, time: clock.time, heldForMilliseconds: clock.steady - tenure.since, settings};
		if (known?.log.decisions.has(window) === true) {
			continue;
		}

		const earlier = decisions.get(window);
		if (earlier === undefined && window <= tenure.undecidableThrough) {
			continue;
		}

		if (earlier === undefined && !isDecisionDue(contributors, query)) {
			break;
		}

		due.set(window, earlier ?? countsOf(usage, window));
	}

	return due;
}

function removals({log}: KnownLog, {closedThrough}: Tenure): DutyEntry[] {
	return [...log.decisions.keys()].filter(window => window <= closedThrough - keptDecisions).map(window => removalEntry(window));
}

function progressOf({usage, contributors, decisions}: DutyState, {token, era, closedThrough}: Tenure): DutyEntry {
	const ended = [...contributors.values()].filter(({isConnected}) => !isConnected).map(({incarnation}) => incarnation);
	const open = [...usage.values()].filter(({window}) => window > closedThrough && !decisions.has(window));
	return progressEntry({token, era, closedThrough, rows: limitRows(open, {endedIncarnations: new Set(ended), largest: largestRowsCharacters})});
}

function holderOf({own}: DutyState, token: number): Holder {
	return {token, instance: own.instance, incarnation: own.incarnation, address: own.address, isReleased: false};
}

function append({log}: KnownLog, purpose: AppendPurpose, entries: readonly DutyEntry[]): {readonly type: 'append'; readonly purpose: AppendPurpose; readonly at: LogPosition; readonly entries: readonly DutyEntry[]} {
	return {type: 'append', purpose, at: log.end, entries};
}
