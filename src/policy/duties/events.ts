import {type LogPosition} from '../../model/index.js';
import {medianOf} from './clock.js';
import {type Contributor, dropGoneContributors, isTimeCertain} from './contributors.js';
import {appendToLog, type DutyEntry, type DutyLog, eraOfToken, fencingToken, type Holder} from './records.js';
import {isTooLate} from './report-step.js';
import {type DutyClock} from './settings.js';
import {type DutyState, type HolderAnnouncement, type KnownLog, type Tenure} from './state.js';
import {AppendPurpose} from './store-step.js';
import {dropUsageThrough, mergeUsage, type UsageCounts, type UsageRow, windowAt} from './usage.js';

/** Outcome of a call to the receiver of reports. */
export const ReportOutcome = {
	accepted: 'accepted',
	/** Another holder has used a higher token. */
	fenced: 'fenced',
	/** The call was not carried out, or it is not known whether it was. */
	failed: 'failed',
} as const;
export type ReportOutcome = (typeof ReportOutcome)[keyof typeof ReportOutcome];

/** What happened since the last event. `startedAt` is the reading of the clocks when the call began. */
export type DutyEvent
	= | {readonly type: 'read'; readonly log: DutyLog; readonly startedAt: DutyClock}
		| {readonly type: 'appended'; readonly purpose: AppendPurpose; readonly entries: readonly DutyEntry[]; readonly decided: ReadonlyMap<number, UsageCounts>; readonly startedAt: DutyClock}
	/** The log does not end where the append named. */
		| {readonly type: 'conflict'}
	/** A call to the store failed; an append may have been carried out, or may be later. */
		| {readonly type: 'store-failed'}
	/** A message of the holder, or of an instance that passes it on. */
		| {readonly type: 'holder-announced'; readonly holder: Holder; readonly end: LogPosition; readonly decisions: ReadonlyMap<number, UsageCounts>}
	/** What an instance counted, this one included. */
		| {readonly type: 'usage'; readonly from: Omit<Contributor, 'isConnected' | 'receivedAt'>; readonly rows: readonly UsageRow[]}
		| {readonly type: 'disconnected'; readonly incarnation: string}
		| {readonly type: 'reported'; readonly window: number; readonly token: number; readonly outcome: ReportOutcome}
	/** Another call than a report was refused by its fencing token. */
		| {readonly type: 'fenced'; readonly token: number}
		| {readonly type: 'hand-over'}
		| {readonly type: 'stopping'};

/** Bounds of the pause after a call to the store that failed. */
const storeRetryMilliseconds = {first: 150, longest: 1000};
/** Bounds of the pause after a report that failed. */
const reportRetryMilliseconds = {first: 200, longest: 1000};
/** Decisions that are remembered after the window was reported. */
const rememberedDecisions = 12;

/** Applies an event. */
export function applyDutyEvent(state: DutyState, event: DutyEvent, clock: DutyClock): DutyState {
	switch (event.type) {
		case 'read': {
			return applyRead({...state, failedStoreCalls: 0}, event, clock);
		}

		case 'appended': {
			return applyAppended({...state, failedStoreCalls: 0}, event, clock);
		}

		case 'conflict': {
			return {...withoutCurrentLog(state), failedStoreCalls: 0};
		}

		case 'store-failed': {
			const failures = state.failedStoreCalls + 1;
			return {...withoutCurrentLog(state), failedStoreCalls: failures, nextStoreCallAt: clock.steady + pauseAfter(failures, storeRetryMilliseconds)};
		}

		case 'holder-announced': {
			return applyAnnouncement(state, event, clock);
		}

		case 'usage': {
			return applyUsage(state, event, clock);
		}

		case 'disconnected': {
			const contributor = state.contributors.get(event.incarnation);
			return contributor === undefined ? state : {...state, contributors: new Map([...state.contributors, [event.incarnation, {...contributor, isConnected: false}]])};
		}

		case 'reported': {
			return applyReported(state, event, clock);
		}

		case 'fenced': {
			return state.tenure?.token === event.token ? endTenure(state, clock) : state;
		}

		case 'hand-over': {
			return state.tenure === undefined ? state : {...state, tenure: {...state.tenure, isEnding: true}};
		}

		case 'stopping': {
			return {...state, isStopping: true};
		}
	}
}

/** How far the median of the instances is ahead of this one's estimate of the time. */
export function medianAhead({contributors}: DutyState): number {
	return medianOf([...contributors.values()].filter(({isConnected}) => isConnected).map(({aheadMilliseconds}) => aheadMilliseconds));
}

function applyRead(state: DutyState, {log, startedAt}: Extract<DutyEvent, {type: 'read'}>, clock: DutyClock): DutyState {
	const known: KnownLog = {log, readAt: startedAt.steady, changedAt: changedAt(state, log, clock), isCurrent: true};
	const next: DutyState = {...state, known, decisions: withDecisions(state.decisions, log)};
	const token = ownToken(state, log);
	if (state.tenure !== undefined) {
		return token === state.tenure.token ? next : {...endTenure(next, clock), known};
	}

	// An own claim whose response was lost. Its lease is over by its own count, so a renewal comes first, which shows that nobody else has claimed.
	return token === undefined ? next : beginTenure(next, token, -Infinity, clock);
}

/**
 * The token of an own claim that is the newest in the log. One of an earlier era isn't used: the store may have been restored between the
 * reading of the position that it was made for and the append, and the position of the earlier era may have been another instance's claim.
 */
function ownToken({own, abandonedToken}: DutyState, {holder, end}: DutyLog): number | undefined {
	if (holder?.incarnation !== own.incarnation || holder.isReleased) {
		return undefined;
	}

	return holder.token > abandonedToken && eraOfToken(holder.token) === end.era ? holder.token : undefined;
}

/** When the log was first seen to end where it ends now. */
function changedAt({known, announcement}: DutyState, {end}: DutyLog, {steady}: DutyClock): number {
	if (known !== undefined && isSamePosition(known.log.end, end)) {
		return known.changedAt;
	}

	return announcement !== undefined && isSamePosition(announcement.end, end) ? announcement.at : steady;
}

function applyAppended(state: DutyState, {purpose, entries, decided, startedAt}: Extract<DutyEvent, {type: 'appended'}>, clock: DutyClock): DutyState {
	const {known, tenure} = state;
	if (known === undefined) {
		return state;
	}

	const log = appendToLog(known.log, entries);
	const next: DutyState = {...state, known: {...known, log, changedAt: clock.steady}, decisions: withDecisions(state.decisions, log)};
	switch (purpose) {
		case AppendPurpose.claim: {
			return beginTenure(next, fencingToken(known.log.end), startedAt.lease, clock);
		}

		case AppendPurpose.renewal: {
			return tenure === undefined ? next : {...next, tenure: {...tenure, renewedAt: startedAt.lease}, usage: dropUsageThrough(next.usage, Math.max(tenure.closedThrough, ...decided.keys()))};
		}

		case AppendPurpose.release: {
			return {...endTenure(next, clock), known: next.known};
		}
	}
}

/**
 * Begins a tenure. If the store was restored from a backup since the last renewal, decisions may be lost; a window that ended before is
 * then left out, unless its decision is known, because a second decision could differ from a report that was already made.
 */
function beginTenure(state: DutyState, token: number, renewedAt: number, clock: DutyClock): DutyState {
	const {settings, known, own} = state;
	const era = known?.log.end.era ?? 0;
	const progress = known?.log.progress;
	const current = windowAt(clock.time, settings.windowMilliseconds);
	const isContinued = progress?.era === era;
	const knownWindows = [...state.decisions.keys()].filter(window => window > (progress?.closedThrough ?? Infinity));
	const closedThrough = isContinued ? progress.closedThrough : Math.min(current, ...knownWindows) - 1;
	const rows = progress?.rows ?? [];
	const tenure: Tenure = {
		token, era, since: clock.steady, renewedAt, nextCallAt: clock.steady, failedCalls: 0, failingSince: undefined,
		closedThrough, undecidableThrough: isContinued ? -Infinity : current - 1, isEnding: false,
	};
	const others = rows.filter(({incarnation}) => incarnation !== own.incarnation).map(({incarnation}) => absentContributor(incarnation, clock.steady));
	const contributors = new Map([...others.map(contributor => [contributor.incarnation, contributor] as const), ...state.contributors]);
	return closeLateWindows({...state, tenure, usage: mergeUsage(state.usage, rows), contributors}, clock);
}

/** An instance of which only its rows are known, from the log. */
function absentContributor(incarnation: string, receivedAt: number): Contributor {
	return {instance: '', incarnation, completeThrough: 0, isConnected: false, receivedAt, aheadMilliseconds: 0};
}

function endTenure(state: DutyState, clock: DutyClock): DutyState {
	return {...withoutCurrentLog(state), tenure: undefined, lastHeldAt: clock.steady, abandonedToken: state.tenure?.token ?? state.abandonedToken};
}

function applyAnnouncement(state: DutyState, {holder, end, decisions}: Extract<DutyEvent, {type: 'holder-announced'}>, clock: DutyClock): DutyState {
	const isOutdated = state.announcement !== undefined && (holder.token < state.announcement.holder.token || (holder.token === state.announcement.holder.token && !isLater(end, state.announcement.end)));
	if (isOutdated) {
		return state;
	}

	const announcement: HolderAnnouncement = {holder, end, at: clock.steady};
	const next = {...state, announcement, decisions: new Map([...state.decisions, ...decisions])};
	return next.tenure !== undefined && holder.token > next.tenure.token ? endTenure(next, clock) : next;
}

function applyUsage(state: DutyState, {from, rows}: Extract<DutyEvent, {type: 'usage'}>, clock: DutyClock): DutyState {
	const {contributors, tenure, settings} = state;
	const known = contributors.get(from.incarnation);
	// An earlier incarnation of the instance has ended: nothing more comes from it.
	const others = [...contributors].map(([key, other]) => {
		const hasEnded = other.instance === from.instance && key !== from.incarnation;
		return [key, hasEnded ? {...other, completeThrough: Infinity, isConnected: false} : other] as const;
	});
	const contributor = {...from, completeThrough: Math.max(from.completeThrough, known?.completeThrough ?? 0), isConnected: true, receivedAt: clock.steady};
	// An instance whose time is not corrected yet may name any window; one that lies ahead would never be decided and dropped.
	const newest = windowAt(clock.time, settings.windowMilliseconds) + 1;
	const open = rows.filter(({window}) => window > (tenure?.closedThrough ?? -Infinity) && window <= newest && !state.decisions.has(window));
	return reopenWindows({...state, contributors: new Map([...others, [from.incarnation, contributor]]), usage: mergeUsage(state.usage, open)}, clock);
}

function applyReported(state: DutyState, {window, token, outcome}: Extract<DutyEvent, {type: 'reported'}>, clock: DutyClock): DutyState {
	const {tenure} = state;
	if (tenure?.token !== token) {
		return state;
	}

	switch (outcome) {
		case ReportOutcome.accepted: {
			const reported = {...tenure, closedThrough: Math.max(tenure.closedThrough, window), nextCallAt: clock.steady, failedCalls: 0, failingSince: undefined};
			return closeLateWindows({...state, tenure: reported}, clock);
		}

		case ReportOutcome.fenced: {
			return endTenure(state, clock);
		}

		case ReportOutcome.failed: {
			const failedCalls = tenure.failedCalls + 1;
			const failed = {...tenure, failedCalls, failingSince: tenure.failingSince ?? clock.steady, nextCallAt: clock.steady + pauseAfter(failedCalls, reportRetryMilliseconds)};
			return closeLateWindows({...state, tenure: failed}, clock);
		}
	}
}

/** Closes windows whose report would be late, or whose counts can't be decided any more, so that the next ones are reported in time. */
function closeLateWindows(state: DutyState, clock: DutyClock): DutyState {
	const {tenure, settings} = state;
	if (tenure === undefined) {
		return state;
	}

	let {closedThrough} = tenure;
	const isClosed = (window: number): boolean => isTooLate(state, window, clock) || (window <= tenure.undecidableThrough && !state.decisions.has(window));
	while (isClosed(closedThrough + 1)) {
		closedThrough = Math.max(closedThrough + 1, windowAt(clock.time - settings.lateMilliseconds, settings.windowMilliseconds) - 2);
	}

	const contributors = dropGoneContributors(state.contributors, clock.steady, settings);
	return {...state, tenure: {...tenure, closedThrough}, contributors, usage: dropUsageThrough(state.usage, closedThrough)};
}

/**
 * Reopens windows that are closed before they have begun. A holder whose clock is ahead closes them until its time is corrected, and nothing
 * would be reported until then; a window that it has decided is in the log and is reported as it was. What was told of the current window
 * has been dropped, so the next one is the first.
 */
function reopenWindows(state: DutyState, clock: DutyClock): DutyState {
	const {tenure, settings, contributors} = state;
	const current = windowAt(clock.time, settings.windowMilliseconds);
	if (tenure === undefined || tenure.closedThrough <= current || !isTimeCertain(contributors, clock.steady - tenure.since)) {
		return state;
	}

	return {...state, tenure: {...tenure, closedThrough: current, undecidableThrough: current}};
}

function withDecisions(known: ReadonlyMap<number, UsageCounts>, {decisions}: DutyLog): ReadonlyMap<number, UsageCounts> {
	const merged = new Map([...known, ...Array.from(decisions, ([window, {counts}]) => [window, counts] as const)]);
	const oldest = Math.max(...merged.keys()) - rememberedDecisions;
	return new Map([...merged].filter(([window]) => window > oldest));
}

function withoutCurrentLog(state: DutyState): DutyState {
	return state.known === undefined ? state : {...state, known: {...state.known, isCurrent: false}};
}

function pauseAfter(failures: number, {first, longest}: {readonly first: number; readonly longest: number}): number {
	return Math.min(longest, first * (2 ** (failures - 1)));
}

function isSamePosition(left: LogPosition, right: LogPosition): boolean {
	return left.era === right.era && left.offset === right.offset;
}

function isLater(left: LogPosition, right: LogPosition): boolean {
	return left.era > right.era || (left.era === right.era && left.offset > right.offset);
}
