import {type Tier, tiers} from '../../model/index.js';
import {countDeparture, findHopeless, retryAfter} from './departure-rates.js';
import {advanceVirtualTime, countersOf, maximumLag, lagBound} from './fairness.js';
import {selectFloorTier, floorWaitBound} from './floor.js';
import {longerClassFactor, slotsToKeepFree, averageSlotTime} from './headroom.js';
import {assertRule, Rule} from './invariants.js';
import {andThen, assignSlot, type SlotHolder, withoutActions, remove, updateHolder, type WaitingReservation, waitingInTier} from './reservations.js';
import {highestWaitingTier, selectNext} from './order.js';
import {isPreemptible, slotShares, countStopping, selectVictim} from './preemption.js';
import {refuse, RefusalReason} from './refusal.js';
import {type Context, type SchedulerSettings} from './settings.js';
import {slotCount} from './slots.js';
import {freeSlots, latestStart, longestSlotTime, mayOffer, setUnservedSince, type TieredState} from './tiered-state.js';
import {type SchedulerStep} from './types.js';

type Step = SchedulerStep<TieredState>;

/** Refuses requests that have reached their queue timeout or are expected to, and withdraws offers that were not answered in time. */
export function expire(state: TieredState, {now, settings}: Context): Step {
	const {reservations} = state;
	const expired = [...reservations.waiting.values()].filter(({expiresAt}) => expiresAt <= now);
	const hopeless = tiers.flatMap(tier => findHopeless(state.departureRates, reservations, tier, now)).filter(({expiresAt, summary}) => expiresAt > now && (summary.preemptions ?? 0) === 0);
	const lapsed = [...reservations.holders.values()].filter(({phase, offeredAt}) => phase === 'offered' && offeredAt + settings.offerTimeoutMilliseconds <= now);
	let remaining = reservations;
	for (const {id} of [...expired, ...hopeless, ...lapsed]) {
		remaining = remove(remaining, id);
	}

	const actions = [
		...expired.map(({id, summary}) => refuse(id, RefusalReason.expired, retryAfter(state.departureRates, reservations, summary.tier))),
		...hopeless.map(({id, summary}) => refuse(id, RefusalReason.hopeless, retryAfter(state.departureRates, reservations, summary.tier))),
		...lapsed.map(({id}) => refuse(id, RefusalReason.lapsed, 0)),
	];
	const longestSlotMilliseconds = Math.max(state.longestSlotMilliseconds, ...lapsed.map(({offeredAt}) => now - offeredAt));
	return actions.length === 0 ? withoutActions(state) : {state: {...state, reservations: remaining, longestSlotMilliseconds}, actions};
}

/** Offers free slots one by one, choosing the request anew for each. */
export function offerSlots(state: TieredState, context: Context): Step {
	const {now, settings} = context;
	if (freeSlots(state) <= 0 || !mayOffer(state, now)) {
		return withoutActions(state);
	}

	const highest = highestWaitingTier(state.reservations.waiting.values());
	if (highest === undefined) {
		return withoutActions(state);
	}

	const floorTier = state.preemptedSlots > 0 ? undefined : selectFloorTier(state.floor, state.reservations, slotCount(state.slots), settings);
	const next = selectInTier(state, floorTier ?? highest, context);
	if (next === undefined) {
		return withoutActions(state);
	}

	assertFloorBound(state, next.summary.tier, context);
	const usesFloorShare = floorTier !== undefined && floorTier !== highest;
	const offered: Step = {state: offer(state, next, usesFloorShare, context), actions: [{type: 'offer', id: next.id}]};
	return andThen(offered, afterOffer => offerSlots(afterOffer, context));
}

function selectInTier(state: TieredState, tier: Tier, context: Context): WaitingReservation | undefined {
	const {now, settings} = context;
	const counters = countersOf(state.fairness, state.reservations, tier, settings);
	const free = freeSlots(state);
	const slots = slotCount(state.slots);
	const allowed = waitingInTier(state.reservations, tier).filter(({summary}) => free > slotsToKeepFree(state.headroom, state.reservations, summary, now)(slots));
	return selectNext(allowed, counters, waiting => latestStart(state, waiting), context);
}

function offer(state: TieredState, next: WaitingReservation, usesFloorShare: boolean, {now, settings}: Context): TieredState {
	const {summary} = next;
	const reservations = assignSlot(state.reservations, next, usesFloorShare, now);
	assertRule(mayOffer(state, now), Rule.closedOffersNothing, () => `offered ${next.id}`, settings.onViolation);
	assertRule(reservations.holders.size <= slotCount(state.slots), Rule.slotsBounded, () => `${reservations.holders.size} of ${slotCount(state.slots)} slots`, settings.onViolation);
	const fairness = advanceVirtualTime(state.fairness, state.reservations, summary, settings);
	const lag = maximumLag(fairness, state.reservations, summary.tier, settings);
	assertRule(lag <= lagBound(fairness, settings), Rule.fairWithinBound, () => `tier ${summary.tier}: a workspace is ${lag} tokens from the virtual time`, settings.onViolation);
	const served = {
		...state, reservations, fairness, departureRates: countDeparture(state.departureRates, summary, reservations), preemptedSlots: Math.max(0, state.preemptedSlots - 1),
	};
	return setUnservedSince(served, summary.tier, waitingInTier(reservations, summary.tier).length === 0 ? undefined : now);
}

/** Asserts that no lower tier has waited past its bound while the tier `served` gets this slot. */
function assertFloorBound(state: TieredState, served: Tier, {now, settings}: Context): void {
	for (const tier of tiers) {
		const since = state.unservedSince[tier];
		if (tier > served && since !== undefined && waitingInTier(state.reservations, tier).length > 0) {
			const bound = floorWaitBound({tier, ahead: 0, slots: settings.minimumSlots, longestMilliseconds: longestSlotTime(state, now)}, settings);
			assertRule(now - since <= bound, Rule.floorWithinBound, () => `tier ${tier} waited ${now - since} ms, bound ${bound}`, settings.onViolation);
		}
	}
}

/** Preempts requests for waiting ones that would miss their first-token deadline otherwise. */
export function preempt(state: TieredState, context: Context): Step {
	const {now, settings} = context;
	if (!mayOffer(state, now) || freeSlots(state) > 0 || !mayFindVictim(state, settings)) {
		return withoutActions(state);
	}

	const rate = freeingRate(state, now);
	const groupsWithoutVictim = new Set<string>();
	let step = withoutActions(state);
	// Each slot that a preemption already frees will serve one request from the head of the queue.
	let coveredCount = countStopping(state.reservations);
	for (const [index, waiting] of preemptionCandidates(state).entries()) {
		const wait = waiting.summary.asksFirst === false ? 0 : Math.max(0, index + 1 - coveredCount) / rate;
		const startsAt = now + preemptionMilliseconds + wait;
		const group = `${waiting.summary.tier} ${waiting.summary.workspace}`;
		if (index < coveredCount || startsAt <= latestStart(state, waiting) || groupsWithoutVictim.has(group)) {
			continue;
		}

		const before = step.actions.length;
		step = andThen(step, next => preemptFor(next, waiting, context));
		coveredCount += step.actions.length - before;
		if (step.actions.length === before) {
			// Other requests of its workspace and tier have no victim either; skipping them saves time, since queues are long when this happens.
			groupsWithoutVictim.add(group);
		}
	}

	return step;
}

/** Cheap check that avoids the full search: true if any slot holder might be preempted for any waiting request. */
function mayFindVictim({reservations}: TieredState, settings: SchedulerSettings): boolean {
	const highest = highestWaitingTier(reservations.waiting.values());
	if (highest === undefined) {
		return false;
	}

	const workspaces = new Set<string>();
	for (const {summary} of reservations.waiting.values()) {
		workspaces.add(`${summary.tier} ${summary.workspace}`);
	}

	for (const holder of reservations.holders.values()) {
		const {summary} = holder;
		const hasOtherWorkspace = settings.preemptsForShare && workspaces.size > (workspaces.has(`${summary.tier} ${summary.workspace}`) ? 1 : 0);
		if ((summary.tier > highest || hasOtherWorkspace) && isPreemptible(holder, settings)) {
			return true;
		}
	}

	return false;
}

/** Time that a preemption itself takes: the engine stops within a decoding step, and the offer takes a round trip. */
const preemptionMilliseconds = 50;
/** Assumed time that a request holds its slot while no request of its class has completed. */
const defaultSlotMilliseconds = 1000;

/** Number of slots per millisecond that come free without preemption. */
function freeingRate({reservations, headroom}: TieredState, now: number): number {
	let rate = 0;
	for (const {summary, offeredAt} of reservations.holders.values()) {
		rate += 1 / Math.max(1, averageSlotTime(headroom, summary) ?? defaultSlotMilliseconds, now - offeredAt);
	}

	return rate;
}

/** Waiting requests roughly in the order in which they will be served, at most as many as there are slot holders to preempt. */
function preemptionCandidates({reservations}: TieredState): readonly WaitingReservation[] {
	const candidates: WaitingReservation[] = [];
	for (const tier of tiers) {
		if (candidates.length < reservations.holders.size) {
			candidates.push(...waitingInTier(reservations, tier).toSorted((one, other) => one.dueAt - other.dueAt));
		}
	}

	return candidates.slice(0, reservations.holders.size);
}

function preemptFor(state: TieredState, waiting: WaitingReservation, {now, settings}: Context): Step {
	const average = averageSlotTime(state.headroom, waiting.summary);
	const longRunCutoff = now - (average === undefined ? waiting.summary.firstTokenMilliseconds : longerClassFactor * average);
	const shares = slotShares(state.reservations, waiting.summary, slotCount(state.slots), longRunCutoff);
	const victim = selectVictim(state.reservations, waiting, shares, settings);
	if (victim === undefined) {
		return withoutActions(state);
	}

	assertPreemption(victim, waiting, settings);
	const reservations = updateHolder(state.reservations, {...victim, phase: 'stopping'});
	return {state: {...state, reservations}, actions: [{type: 'preempt', id: victim.id, forRequest: waiting.summary.id}]};
}

function assertPreemption({summary}: SlotHolder, waiting: WaitingReservation, settings: SchedulerSettings): void {
	const isLowerTier = summary.tier > waiting.summary.tier;
	const isOtherWorkspace = summary.tier === waiting.summary.tier && summary.workspace !== waiting.summary.workspace;
	const detail = () => `tier ${summary.tier} preempted for tier ${waiting.summary.tier}`;
	assertRule(summary.idempotent && (isLowerTier || isOtherWorkspace), Rule.preemptionDownward, detail, settings.onViolation);
}
