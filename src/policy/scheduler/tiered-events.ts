import {type RequestSummary} from '../../model/index.js';
import {selectEviction, noLowerTierUsesSharedCapacity} from './admission.js';
import {backOff} from './backoff.js';
import {countDeparture, expectedWait, retryAfter} from './departure-rates.js';
import {raiseToVirtualTime, chargeEnded} from './fairness.js';
import {countStart, observeSlotTime} from './headroom.js';
import {assertRule, Rule} from './invariants.js';
import {enqueue, type SlotHolder, withoutActions, remove, updateHolder, type WaitingReservation, waitingInTier} from './reservations.js';
import {refuse, RefusalReason} from './refusal.js';
import {type Context, type SchedulerSettings} from './settings.js';
import {observeTokens} from './slots.js';
import {isOpen, setUnservedSince, type TieredState} from './tiered-state.js';
import {type SchedulerEvent, type SchedulerStep} from './types.js';

type Step = SchedulerStep<TieredState>;
type EventOf<Type extends SchedulerEvent['type']> = Extract<SchedulerEvent, {type: Type}>;

/** Applies an event to the state, before the decisions that follow from it. */
export function apply(state: TieredState, event: SchedulerEvent, context: Context): Step {
	const {now} = context;
	switch (event.type) {
		case 'arrived': {
			return arrive(state, event, context);
		}

		case 'withdrawn': {
			return withoutActions(withdraw(state, event.id, context));
		}

		case 'started': {
			return start(state, event.id, now);
		}

		case 'progressed': {
			return withoutActions(progress(state, event, now));
		}

		case 'finished': {
			return withoutActions(finish(state, event, context));
		}

		case 'reported': {
			return withoutActions({...state, slots: {...state.slots, memoryUsed: event.memoryUsed}});
		}

		case 'endpoint': {
			return event.up ? withoutActions({...state, up: true}) : refuseAll({...state, up: false}, RefusalReason.down);
		}

		case 'backoff': {
			return backOff(state, event.milliseconds, now);
		}

		case 'leaving': {
			return refuseAll({...state, leaving: true}, RefusalReason.leaving);
		}

		case 'tick': {
			return withoutActions(state);
		}
	}
}

function arrive(state: TieredState, {id, summary}: EventOf<'arrived'>, {now, settings}: Context): Step {
	if (!isOpen(state)) {
		return {state, actions: [refuse(id, state.leaving ? RefusalReason.leaving : RefusalReason.down, 0)]};
	}

	const {reservations, backoffUntil} = state;
	if (backoffUntil > now + summary.queueMilliseconds) {
		return {state, actions: [refuse(id, RefusalReason.backingOff, backoffUntil - now)]};
	}

	const wait = expectedWait(state.departureRates, reservations, summary, now);
	if (wait > summary.queueMilliseconds) {
		return {state, actions: [refuse(id, RefusalReason.hopeless, wait - summary.queueMilliseconds)]};
	}

	const enqueued = enqueue(reservations, id, summary, now);
	const arrival = enqueued.waiting.get(id);
	if (enqueued === reservations || arrival === undefined) {
		return withoutActions(state);
	}

	const isFirstInTier = waitingInTier(reservations, summary.tier).length === 0;
	const next = {...state, reservations: enqueued, fairness: raiseToVirtualTime(state.fairness, reservations, summary, settings)};
	return evict(isFirstInTier ? setUnservedSince(next, summary.tier, now) : next, arrival, settings);
}

/** Evicts a request if the arrival has exceeded the queue's capacity. */
function evict(state: TieredState, arrival: WaitingReservation, settings: SchedulerSettings): Step {
	const before = remove(state.reservations, arrival.id);
	const evicted = selectEviction(before, arrival, settings);
	if (evicted === undefined) {
		return withoutActions(state);
	}

	assertRule(
		noLowerTierUsesSharedCapacity(state.reservations, evicted.summary, settings),
		Rule.higherTierFirst,
		() => `tier ${evicted.summary.tier} refused while a lower tier uses shared queue capacity`,
		settings.onViolation,
	);
	const retryMilliseconds = retryAfter(state.departureRates, state.reservations, evicted.summary.tier);
	return {state: {...state, reservations: remove(state.reservations, evicted.id)}, actions: [refuse(evicted.id, RefusalReason.full, retryMilliseconds)]};
}

function withdraw(state: TieredState, id: string, context: Context): TieredState {
	const waiting = state.reservations.waiting.get(id);
	if (waiting === undefined) {
		const holder = state.reservations.holders.get(id);
		return holder === undefined ? state : releaseSlot(state, holder, false, context);
	}

	const reservations = remove(state.reservations, id);
	return {...state, reservations, departureRates: countDeparture(state.departureRates, waiting.summary, reservations)};
}

function start(state: TieredState, id: string, now: number): Step {
	const offered = state.reservations.holders.get(id);
	if (offered === undefined) {
		// The body arrived after its reservation was refused or its offer had expired; running it would contradict the refusal, which said "not run".
		return {state, actions: [refuse(id, RefusalReason.unknown, 0)]};
	}

	return withoutActions({
		...state,
		reservations: updateHolder(state.reservations, {...offered, phase: 'running', startedAt: now}),
		headroom: countStart(state.headroom, offered.summary, now),
	});
}

function progress(state: TieredState, {id, tokens, milliseconds}: EventOf<'progressed'>, now: number): TieredState {
	const holder = state.reservations.holders.get(id);
	if (holder === undefined) {
		return state;
	}

	const reservations = updateHolder(state.reservations, {...holder, tokens: holder.tokens + tokens});
	if (holder.tokens === 0) {
		return {...state, reservations, firstTokenMilliseconds: updateFirstTokenTime(state.firstTokenMilliseconds, now - holder.offeredAt)};
	}

	return {...state, reservations, slots: observeTokens(state.slots, tokens, milliseconds)};
}

/** Moving average that rises fast and falls slowly: an estimate that is too low costs a missed target. */
function updateFirstTokenTime(average: number, observed: number): number {
	const rate = observed > average ? 0.3 : 0.05;
	return average + ((observed - average) * rate);
}

function finish(state: TieredState, {id, outcome}: EventOf<'finished'>, context: Context): TieredState {
	const holder = state.reservations.holders.get(id);
	return holder === undefined ? state : releaseSlot(state, holder, outcome === 'whole', context);
}

function releaseSlot(state: TieredState, holder: SlotHolder, isComplete: boolean, {now, settings}: Context): TieredState {
	return {
		...state,
		reservations: remove(state.reservations, holder.id),
		fairness: holder.phase === 'offered' ? state.fairness : chargeEnded(state.fairness, holder, isComplete, settings),
		headroom: isComplete ? observeSlotTime(state.headroom, holder, now) : state.headroom,
		longestSlotMilliseconds: Math.max(state.longestSlotMilliseconds, now - holder.offeredAt),
		preemptedSlots: state.preemptedSlots + (holder.phase === 'stopping' ? 1 : 0),
	};
}

function refuseAll(state: TieredState, reason: RefusalReason): Step {
	const offered = [...state.reservations.holders.values()].filter(({phase}) => phase === 'offered');
	const ids = [...state.reservations.waiting.keys(), ...offered.map(({id}) => id)];
	let {reservations} = state;
	for (const id of ids) {
		reservations = remove(reservations, id);
	}

	return {state: {...state, reservations, unservedSince: state.unservedSince.map(() => undefined)}, actions: ids.map(id => refuse(id, reason, 0))};
}
