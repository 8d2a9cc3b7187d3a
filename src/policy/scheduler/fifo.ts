import {tiers} from '../../model/index.js';
import {andThen, emptyReservations, enqueue, type Reservations, assignSlot, withoutActions, remove, updateHolder} from './reservations.js';
import {refuse, RefusalReason} from './refusal.js';
import {type Context, createSettings, type SchedulerSettings} from './settings.js';
import {type Scheduler, type SchedulerEvent, type SchedulerStep} from './types.js';

/** Which reservations wait and hold slots, and whether the side accepts requests. */
export type FifoState = {readonly reservations: Reservations; readonly leaving: boolean; readonly up: boolean; readonly backoffUntil: number; readonly tokenMilliseconds: number};

type Step = SchedulerStep<FifoState>;

/**
 * First come, first served, with a fixed number of slots: a queue without tiers or workspaces. It is
 * adequate for an even load. In a burst the top tier waits behind all other requests, and a flood from one
 * caller delays every other; it is the baseline that the tiered scheduler is compared with.
 */
export function createFifoScheduler(overrides: Partial<SchedulerSettings> = {}): Scheduler<FifoState> {
	const settings = createSettings(overrides);
	return {
		create: () => ({reservations: emptyReservations, leaving: false, up: true, backoffUntil: Number.NEGATIVE_INFINITY, tokenMilliseconds: 0}),
		step: (state, event, now) => step(state, event, {now, settings}),
		view: ({reservations, leaving, tokenMilliseconds}) => ({
			slots: settings.initialSlots,
			running: reservations.holders.size,
			waiting: tiers.map(tier => [...reservations.waiting.values()].filter(({summary}) => summary.tier === tier).length),
			tokenMilliseconds,
			leaving,
		}),
	};
}

function step(state: FifoState, event: SchedulerEvent, context: Context): Step {
	const expired = andThen(apply(state, event, context), next => expire(next, context));
	return andThen(expired, next => dispatch(next, context));
}

function apply(state: FifoState, event: SchedulerEvent, context: Context): Step {
	switch (event.type) {
		case 'arrived': {
			return arrive(state, event, context);
		}

		case 'withdrawn':
		case 'finished': {
			return withoutActions({...state, reservations: remove(state.reservations, event.id)});
		}

		case 'started': {
			const offered = state.reservations.holders.get(event.id);
			return offered === undefined
				? {state, actions: [refuse(event.id, RefusalReason.unknown, 0)]}
				: withoutActions({...state, reservations: updateHolder(state.reservations, {...offered, phase: 'running', startedAt: context.now})});
		}

		case 'progressed': {
			return withoutActions({...state, tokenMilliseconds: (0.9 * state.tokenMilliseconds) + (0.1 * event.milliseconds / Math.max(1, event.tokens))});
		}

		case 'endpoint': {
			return event.up ? withoutActions({...state, up: true}) : refuseAll({...state, up: false}, RefusalReason.down);
		}

		case 'backoff': {
			return withoutActions({...state, backoffUntil: Math.max(state.backoffUntil, context.now + event.milliseconds)});
		}

		case 'leaving': {
			return refuseAll({...state, leaving: true}, RefusalReason.leaving);
		}

		case 'reported':
		case 'tick': {
			return withoutActions(state);
		}
	}
}

function arrive(state: FifoState, event: SchedulerEvent & {type: 'arrived'}, {now, settings}: Context): Step {
	if (state.leaving || !state.up) {
		return {state, actions: [refuse(event.id, state.leaving ? RefusalReason.leaving : RefusalReason.down, 0)]};
	}

	if (state.reservations.waiting.size >= settings.queueLimit) {
		return {state, actions: [refuse(event.id, RefusalReason.full, event.summary.queueMilliseconds)]};
	}

	return withoutActions({...state, reservations: enqueue(state.reservations, event.id, event.summary, now)});
}

function refuseAll(state: FifoState, reason: RefusalReason): Step {
	const offered = [...state.reservations.holders.values()].filter(({phase}) => phase === 'offered');
	return refuseEach(state, [...state.reservations.waiting.keys(), ...offered.map(({id}) => id)], reason);
}

function refuseEach(state: FifoState, ids: readonly string[], reason: RefusalReason): Step {
	let {reservations} = state;
	for (const id of ids) {
		reservations = remove(reservations, id);
	}

	return {state: {...state, reservations}, actions: ids.map(id => refuse(id, reason, 0))};
}

function expire(state: FifoState, {now, settings}: Context): Step {
	const expired = [...state.reservations.waiting.values()].filter(({expiresAt}) => expiresAt <= now);
	const lapsed = [...state.reservations.holders.values()].filter(({phase, offeredAt}) => phase === 'offered' && offeredAt + settings.offerTimeoutMilliseconds <= now);
	return andThen(refuseEach(state, expired.map(({id}) => id), RefusalReason.expired), next => refuseEach(next, lapsed.map(({id}) => id), RefusalReason.lapsed));
}

function dispatch(state: FifoState, context: Context): Step {
	const {now, settings} = context;
	const [first] = state.reservations.waiting.values();
	if (first === undefined || state.leaving || !state.up || now < state.backoffUntil || state.reservations.holders.size >= settings.initialSlots) {
		return withoutActions(state);
	}

	const offered: Step = {state: {...state, reservations: assignSlot(state.reservations, first, false, now)}, actions: [{type: 'offer', id: first.id}]};
	return andThen(offered, next => dispatch(next, context));
}
