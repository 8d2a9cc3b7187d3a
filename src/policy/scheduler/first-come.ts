import {tiers} from '../../model/index.js';
import {andThen, emptyLedger, enqueue, type Ledger, occupy, quiet, remove, update} from './ledger.js';
import {refuse, RefusalReason} from './refusal.js';
import {type Context, createSettings, type SchedulerSettings} from './settings.js';
import {type Scheduler, type SchedulerEvent, type SchedulerStep} from './types.js';

/** Who waits and runs, and whether the side is open. */
export type FirstComeState = {readonly ledger: Ledger; readonly leaving: boolean; readonly up: boolean; readonly tokenMilliseconds: number};

type Step = SchedulerStep<FirstComeState>;

/**
 * First come, first served, with a fixed number of slots: what a queue does that knows neither tiers
 * nor workspaces. It answers even load. Under a burst the top tier waits behind everyone, and one
 * caller's flood delays all others; it is kept as the line that `tiered` must beat.
 */
export function createFifoScheduler(given: Partial<SchedulerSettings> = {}): Scheduler<FirstComeState> {
	const settings = createSettings(given);
	return {
		create: () => ({ledger: emptyLedger, leaving: false, up: true, tokenMilliseconds: 0}),
		step: (state, event, now) => step(state, event, {now, settings}),
		view: ({ledger, leaving, tokenMilliseconds}) => ({
			slots: settings.initialSlots,
			running: ledger.occupied.size,
			waiting: tiers.map(tier => [...ledger.waiting.values()].filter(({summary}) => summary.tier === tier).length),
			tokenMilliseconds,
			leaving,
		}),
	};
}

function step(state: FirstComeState, event: SchedulerEvent, context: Context): Step {
	const expired = andThen(apply(state, event, context), next => expire(next, context));
	return andThen(expired, next => dispatch(next, context));
}

function apply(state: FirstComeState, event: SchedulerEvent, context: Context): Step {
	switch (event.type) {
		case 'arrived': {
			return arrive(state, event, context);
		}

		case 'withdrawn':
		case 'finished': {
			return quiet({...state, ledger: remove(state.ledger, event.id)});
		}

		case 'started': {
			const offered = state.ledger.occupied.get(event.id);
			return offered === undefined
				? {state, actions: [refuse(event.id, RefusalReason.unknown, 0)]}
				: quiet({...state, ledger: update(state.ledger, {...offered, phase: 'running', startedAt: context.now})});
		}

		case 'progressed': {
			return quiet({...state, tokenMilliseconds: (0.9 * state.tokenMilliseconds) + (0.1 * event.milliseconds / Math.max(1, event.tokens))});
		}

		case 'endpoint': {
			return event.up ? quiet({...state, up: true}) : refuseAll({...state, up: false}, RefusalReason.down);
		}

		case 'leaving': {
			return refuseAll({...state, leaving: true}, RefusalReason.leaving);
		}

		case 'reported':
		case 'tick': {
			return quiet(state);
		}
	}
}

function arrive(state: FirstComeState, event: SchedulerEvent & {type: 'arrived'}, {now, settings}: Context): Step {
	if (state.leaving || !state.up) {
		return {state, actions: [refuse(event.id, state.leaving ? RefusalReason.leaving : RefusalReason.down, 0)]};
	}

	if (state.ledger.waiting.size >= settings.queueLimit) {
		return {state, actions: [refuse(event.id, RefusalReason.full, event.summary.queueMilliseconds)]};
	}

	return quiet({...state, ledger: enqueue(state.ledger, event.id, event.summary, now)});
}

function refuseAll(state: FirstComeState, reason: RefusalReason): Step {
	const offered = [...state.ledger.occupied.values()].filter(({phase}) => phase === 'offered');
	return refuseEach(state, [...state.ledger.waiting.keys(), ...offered.map(({id}) => id)], reason);
}

function refuseEach(state: FirstComeState, ids: readonly string[], reason: RefusalReason): Step {
	let {ledger} = state;
	for (const id of ids) {
		ledger = remove(ledger, id);
	}

	return {state: {...state, ledger}, actions: ids.map(id => refuse(id, reason, 0))};
}

function expire(state: FirstComeState, {now, settings}: Context): Step {
	const expired = [...state.ledger.waiting.values()].filter(({expiresAt}) => expiresAt <= now);
	const lapsed = [...state.ledger.occupied.values()].filter(({phase, offeredAt}) => phase === 'offered' && offeredAt + settings.holdMilliseconds <= now);
	return andThen(refuseEach(state, expired.map(({id}) => id), RefusalReason.expired), next => refuseEach(next, lapsed.map(({id}) => id), RefusalReason.lapsed));
}

function dispatch(state: FirstComeState, context: Context): Step {
	const {now, settings} = context;
	const [first] = state.ledger.waiting.values();
	if (first === undefined || state.leaving || !state.up || state.ledger.occupied.size >= settings.initialSlots) {
		return quiet(state);
	}

	const offered: Step = {state: {...state, ledger: occupy(state.ledger, first, false, now)}, actions: [{type: 'offer', id: first.id}]};
	return andThen(offered, next => dispatch(next, context));
}
