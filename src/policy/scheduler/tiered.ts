import {tiers} from '../../model/index.js';
import {advanceDepartureRates} from './departure-rates.js';
import {accrueCredits} from './floor.js';
import {andThen, emptyReservations, waitingInTier} from './reservations.js';
import {canBePreemptedBy} from './preemption.js';
import {type Context, createSettings, type SchedulerSettings} from './settings.js';
import {adaptSlots, slotCount} from './slots.js';
import {apply} from './tiered-events.js';
import {expire, offerSlots, preempt} from './tiered-decisions.js';
import {countProducing, countStalled, createState, tightestTarget, type TieredState} from './tiered-state.js';
import {type Scheduler, type SchedulerEvent, type SchedulerStep} from './types.js';

/**
 * The scheduler of one side (the sidecar process of one endpoint): strict priority of tiers except for a
 * bounded floor share, weighted fair queuing between the workspaces of a tier, deadlines within a workspace, a
 * number of slots that adapts to the time between tokens, preemption where a target would be missed
 * otherwise, and an immediate refusal of requests that can't be served in time.
 *
 * Each of these has a module of its own; this one determines their order: advance time, apply the event,
 * remove what has timed out, offer slots, and preempt only for requests that still have none.
 */
export function createTieredScheduler(overrides: Partial<SchedulerSettings> = {}): Scheduler<TieredState> {
	const settings = createSettings(overrides);
	return {
		create: () => createState(settings),
		step: (state, event, now) => step(state, event, {now, settings}),
		view: ({slots, reservations, leaving, backoffUntil}, now) => ({
			slots: now < backoffUntil ? reservations.holders.size : slotCount(slots),
			running: reservations.holders.size,
			firm: tiers.map(tier => [...reservations.holders.values()].filter(holder => !canBePreemptedBy(holder, tier, settings)).length),
			waiting: tiers.map(tier => waitingInTier(reservations, tier).length),
			tokenMilliseconds: slots.tokenMilliseconds,
			leaving,
		}),
	};
}

function step(state: TieredState, event: SchedulerEvent, context: Context): SchedulerStep<TieredState> {
	const applied = apply(advanceTime(state, context), event, context);
	switch (event.type) {
		case 'progressed':
		case 'reported':
		case 'backoff':
		case 'started': {
			// These free no slot, and token events come by the thousand; the next tick does whatever else is due.
			return applied;
		}

		case 'withdrawn':
		case 'finished': {
			return offerAll(applied, context);
		}

		case 'arrived':
		case 'endpoint':
		case 'leaving': {
			return andThen(offerAll(applied, context), next => preempt(next, context));
		}

		case 'tick': {
			const expired = andThen(applied, next => expire(next, context));
			return andThen(offerAll(expired, context), next => preempt(next, context));
		}
	}
}

function offerAll(step: SchedulerStep<TieredState>, context: Context): SchedulerStep<TieredState> {
	const {state, actions} = andThen(step, next => offerSlots(next, context));
	return {state: state.preemptedSlots === 0 ? state : {...state, preemptedSlots: 0}, actions};
}

/** Time advances in steps of at least this size; a smaller step only adds work. */
const timeStepMilliseconds = 10;

function advanceTime(state: TieredState, context: Context): TieredState {
	const {now} = context;
	if (now < state.advancedAt + timeStepMilliseconds) {
		return state;
	}

	const {reservations} = state;
	// A queue that waits for the end of a backoff says nothing about how fast it empties.
	const departing = state.advancedAt < state.backoffUntil ? emptyReservations : reservations;
	const usage = {occupied: reservations.holders.size, producing: countProducing(state), stalled: countStalled(state, now), tightestMilliseconds: tightestTarget(state, context.settings)};
	const slots = adaptSlots(state.slots, usage, context);
	return {
		...state, slots, advancedAt: now, floor: accrueCredits(state.floor, reservations, slotCount(slots), context), departureRates: advanceDepartureRates(state.departureRates, departing, now),
	};
}
