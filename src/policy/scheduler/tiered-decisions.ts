import {type Tier, tiers} from '../../model/index.js';
import {countDeparture, hopelessIn, retryAfter} from './drain.js';
import {advance, countersOf, greatestLag, lagBound} from './fairness.js';
import {floorTurn, floorWaitBound} from './floor.js';
import {muchLonger, slotsToLeave, usualHold} from './headroom.js';
import {assertRule, Rule} from './invariants.js';
import {andThen, occupy, type Occupied, quiet, remove, update, type Waiting, waitingIn} from './ledger.js';
import {highestWaiting, nextOf} from './order.js';
import {isPreemptible, slotShares, stopping, victimFor} from './preemption.js';
import {refuse, RefusalReason} from './refusal.js';
import {type Context, type SchedulerSettings} from './settings.js';
import {slotCount} from './slots.js';
import {freeSlots, isOpen, latestStart, longestHeld, noteTurn, type TieredState} from './tiered-state.js';
import {type SchedulerStep} from './types.js';

type Step = SchedulerStep<TieredState>;

/** Refuses whatever has waited as long as it may or will have to, and takes back offers that nobody answered. */
export function expire(state: TieredState, {now, settings}: Context): Step {
	const {ledger} = state;
	const expired = [...ledger.waiting.values()].filter(({expiresAt}) => expiresAt <= now);
	const hopeless = tiers.flatMap(tier => hopelessIn(state.drain, ledger, tier, now)).filter(({expiresAt, summary}) => expiresAt > now && (summary.preemptions ?? 0) === 0);
	const lapsed = [...ledger.occupied.values()].filter(({phase, offeredAt}) => phase === 'offered' && offeredAt + settings.holdMilliseconds <= now);
	let rest = ledger;
	for (const {id} of [...expired, ...hopeless, ...lapsed]) {
		rest = remove(rest, id);
	}

	const actions = [
		...expired.map(({id, summary}) => refuse(id, RefusalReason.expired, retryAfter(state.drain, ledger, summary.tier))),
		...hopeless.map(({id, summary}) => refuse(id, RefusalReason.hopeless, retryAfter(state.drain, ledger, summary.tier))),
		...lapsed.map(({id}) => refuse(id, RefusalReason.lapsed, 0)),
	];
	const longestMilliseconds = Math.max(state.longestMilliseconds, ...lapsed.map(({offeredAt}) => now - offeredAt));
	return actions.length === 0 ? quiet(state) : {state: {...state, ledger: rest, longestMilliseconds}, actions};
}

/** Offers free slots one by one, each to the request whose turn it is then. */
export function offerSlots(state: TieredState, context: Context): Step {
	const {settings} = context;
	if (freeSlots(state) <= 0 || !isOpen(state)) {
		return quiet(state);
	}

	const highest = highestWaiting(state.ledger.waiting.values());
	if (highest === undefined) {
		return quiet(state);
	}

	const floor = state.reserved > 0 ? undefined : floorTurn(state.floor, state.ledger, slotCount(state.slots), settings);
	const next = chooseIn(state, floor ?? highest, context);
	if (next === undefined) {
		return quiet(state);
	}

	checkTurns(state, next.summary.tier, context);
	const isFloor = floor !== undefined && floor !== highest;
	const offered: Step = {state: offer(state, next, isFloor, context), actions: [{type: 'offer', id: next.id}]};
	return andThen(offered, rest => offerSlots(rest, context));
}

function chooseIn(state: TieredState, tier: Tier, context: Context): Waiting | undefined {
	const {now, settings} = context;
	const counters = countersOf(state.fairness, state.ledger, tier, settings);
	const free = freeSlots(state);
	const slots = slotCount(state.slots);
	const allowed = waitingIn(state.ledger, tier).filter(({summary}) => free > slotsToLeave(state.headroom, state.ledger, summary, now)(slots));
	return nextOf(allowed, counters, waiting => latestStart(state, waiting), context);
}

function offer(state: TieredState, next: Waiting, floor: boolean, {now, settings}: Context): TieredState {
	const {summary} = next;
	const ledger = occupy(state.ledger, next, floor, now);
	assertRule(isOpen(state), Rule.closedOffersNothing, () => `offered ${next.id}`, settings.onViolation);
	assertRule(ledger.occupied.size <= slotCount(state.slots), Rule.slotsBounded, () => `${ledger.occupied.size} of ${slotCount(state.slots)} slots`, settings.onViolation);
	const fairness = advance(state.fairness, state.ledger, summary, settings);
	const lag = greatestLag(fairness, state.ledger, summary.tier, settings);
	assertRule(lag <= lagBound(fairness, settings), Rule.fairWithinBound, () => `tier ${summary.tier}: a workspace is ${lag} tokens off`, settings.onViolation);
	const served = {
		...state, ledger, fairness, drain: countDeparture(state.drain, summary, ledger), reserved: Math.max(0, state.reserved - 1),
	};
	return noteTurn(served, summary.tier, waitingIn(ledger, summary.tier).length === 0 ? undefined : now);
}

/** Asserts that no lower tier has waited past its bound while `served` gets this slot. */
function checkTurns(state: TieredState, served: Tier, {now, settings}: Context): void {
	for (const tier of tiers) {
		const since = state.turnAt[tier];
		if (tier > served && since !== undefined && waitingIn(state.ledger, tier).length > 0) {
			const bound = floorWaitBound({tier, ahead: 0, slots: settings.minimumSlots, longestMilliseconds: longestHeld(state, now)}, settings);
			assertRule(now - since <= bound, Rule.floorWithinBound, () => `tier ${tier} waited ${now - since} ms, bound ${bound}`, settings.onViolation);
		}
	}
}

/** Frees slots of lower tiers for requests that would else be late. */
export function preempt(state: TieredState, context: Context): Step {
	const {now, settings} = context;
	if (!isOpen(state) || freeSlots(state) > 0 || !mayFindVictim(state, settings)) {
		return quiet(state);
	}

	const rate = freeingRate(state, now);
	const withoutVictim = new Set<string>();
	let step = quiet(state);
	// Slots that are being freed already will serve as many of the first in line.
	let covered = stopping(state.ledger);
	for (const [index, waiting] of inTurn(state).entries()) {
		const wait = waiting.summary.asksFirst === false ? 0 : Math.max(0, index + 1 - covered) / rate;
		const startsAt = now + marginMilliseconds + wait;
		const rivals = `${waiting.summary.tier} ${waiting.summary.workspace}`;
		if (index < covered || startsAt <= latestStart(state, waiting) || withoutVictim.has(rivals)) {
			continue;
		}

		const before = step.actions.length;
		step = andThen(step, next => preemptFor(next, waiting, context));
		covered += step.actions.length - before;
		if (step.actions.length === before) {
			// Nor is there one for the rest of its workspace and tier; queues are long when that is so.
			withoutVictim.add(rivals);
		}
	}

	return step;
}

/** A quick look that spares the long one: whether anything that runs could give way to anything that waits. */
function mayFindVictim({ledger}: TieredState, settings: SchedulerSettings): boolean {
	const highest = highestWaiting(ledger.waiting.values());
	if (highest === undefined) {
		return false;
	}

	const workspaces = new Set<string>();
	for (const {summary} of ledger.waiting.values()) {
		workspaces.add(`${summary.tier} ${summary.workspace}`);
	}

	for (const occupied of ledger.occupied.values()) {
		const {summary} = occupied;
		const hasRival = settings.preemptsForShare && workspaces.size > (workspaces.has(`${summary.tier} ${summary.workspace}`) ? 1 : 0);
		if ((summary.tier > highest || hasRival) && isPreemptible(occupied, settings)) {
			return true;
		}
	}

	return false;
}

/** What a preemption itself takes: the engine stops within a step, and the offer travels there and back. */
const marginMilliseconds = 50;
/** Taken for the time that a request holds its slot while none like it has ended. */
const unknownHoldMilliseconds = 1000;

/** How many slots come free in a millisecond without preemption. */
function freeingRate({ledger, headroom}: TieredState, now: number): number {
	let rate = 0;
	for (const {summary, offeredAt} of ledger.occupied.values()) {
		rate += 1 / Math.max(1, usualHold(headroom, summary) ?? unknownHoldMilliseconds, now - offeredAt);
	}

	return rate;
}

/** As many as could get a slot by preemption, roughly in the order in which they will be served. */
function inTurn({ledger}: TieredState): readonly Waiting[] {
	const first: Waiting[] = [];
	for (const tier of tiers) {
		if (first.length < ledger.occupied.size) {
			first.push(...waitingIn(ledger, tier).toSorted((one, other) => one.dueAt - other.dueAt));
		}
	}

	return first.slice(0, ledger.occupied.size);
}

function preemptFor(state: TieredState, waiting: Waiting, {now, settings}: Context): Step {
	const usual = usualHold(state.headroom, waiting.summary);
	const longSince = now - (usual === undefined ? waiting.summary.firstTokenMilliseconds : muchLonger * usual);
	const shares = slotShares(state.ledger, waiting.summary, slotCount(state.slots), longSince);
	const victim = victimFor(state.ledger, waiting, shares, settings);
	if (victim === undefined) {
		return quiet(state);
	}

	checkVictim(victim, waiting, settings);
	const ledger = update(state.ledger, {...victim, phase: 'stopping'});
	return {state: {...state, ledger}, actions: [{type: 'preempt', id: victim.id, forRequest: waiting.summary.id}]};
}

function checkVictim({summary}: Occupied, waiting: Waiting, settings: SchedulerSettings): void {
	const isDownward = summary.tier > waiting.summary.tier;
	const isRival = summary.tier === waiting.summary.tier && summary.workspace !== waiting.summary.workspace;
	const detail = () => `tier ${summary.tier} preempted for tier ${waiting.summary.tier}`;
	assertRule(summary.idempotent && (isDownward || isRival), Rule.preemptionDownward, detail, settings.onViolation);
}
