import {tiers} from '../../model/index.js';
import {elapse} from './drain.js';
import {accrue} from './floor.js';
import {andThen, waitingIn} from './ledger.js';
import {givesWayTo} from './preemption.js';
import {type Context, createSettings, type SchedulerSettings} from './settings.js';
import {adapt, slotCount} from './slots.js';
import {apply} from './tiered-events.js';
import {expire, offerSlots, preempt} from './tiered-decisions.js';
import {countProducing, countStalled, createState, tightestTarget, type TieredState} from './tiered-state.js';
import {type Scheduler, type SchedulerEvent, type SchedulerStep} from './types.js';

/**
 * The queue of one side: tiers in strict order but for a bounded floor share, fair between workspaces
 * within a tier, deadlines within a workspace, slots that follow the time between tokens, preemption
 * where a target would else be missed, and an answer at once for whatever can't be served in time.
 *
 * Each of these is a module of its own; this one says in which order they act. First time passes, then
 * the event is taken in, then what is out of time goes, then slots are offered, and only what still
 * finds none may preempt.
 */
export function createTieredScheduler(given: Partial<SchedulerSettings> = {}): Scheduler<TieredState> {
	const settings = createSettings(given);
	return {
		create: () => createState(settings),
		step: (state, event, now) => step(state, event, {now, settings}),
		view: ({slots, ledger, leaving}) => ({
			slots: slotCount(slots),
			running: ledger.occupied.size,
			firm: tiers.map(tier => [...ledger.occupied.values()].filter(occupied => !givesWayTo(occupied, tier, settings)).length),
			waiting: tiers.map(tier => waitingIn(ledger, tier).length),
			tokenMilliseconds: slots.tokenMilliseconds,
			leaving,
		}),
	};
}

function step(state: TieredState, event: SchedulerEvent, context: Context): SchedulerStep<TieredState> {
	const applied = apply(passTime(state, context), event, context);
	switch (event.type) {
		case 'progressed':
		case 'reported':
		case 'started': {
			// These free no slot, and tokens come by the thousand; the next tick does what else is due.
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
	return {state: state.reserved === 0 ? state : {...state, reserved: 0}, actions};
}

/** How finely time is taken note of: finer brings nothing but work. */
const grainMilliseconds = 10;

function passTime(state: TieredState, context: Context): TieredState {
	const {now} = context;
	if (now < state.passedAt + grainMilliseconds) {
		return state;
	}

	const {ledger} = state;
	const held = {occupied: ledger.occupied.size, producing: countProducing(state), stalled: countStalled(state, now), tightestMilliseconds: tightestTarget(state, context.settings)};
	const slots = adapt(state.slots, held, context);
	return {
		...state, slots, passedAt: now, floor: accrue(state.floor, ledger, slotCount(slots), context), drain: elapse(state.drain, ledger, now),
	};
}
