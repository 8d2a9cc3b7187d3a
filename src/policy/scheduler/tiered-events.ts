import {type RequestSummary} from '../../model/index.js';
import {evictionFor, noLowerTierShares} from './admission.js';
import {countDeparture, expectedWait, retryAfter} from './drain.js';
import {join, leaveSlot} from './fairness.js';
import {countStart, learnHold} from './headroom.js';
import {assertRule, Rule} from './invariants.js';
import {enqueue, type Occupied, quiet, remove, update, type Waiting, waitingIn} from './ledger.js';
import {refuse, RefusalReason} from './refusal.js';
import {type Context, type SchedulerSettings} from './settings.js';
import {observeTokens} from './slots.js';
import {isOpen, noteTurn, type TieredState} from './tiered-state.js';
import {type SchedulerEvent, type SchedulerStep} from './types.js';

type Step = SchedulerStep<TieredState>;
type EventOf<Type extends SchedulerEvent['type']> = Extract<SchedulerEvent, {type: Type}>;

/** Takes one event in, before any decision that follows from it. */
export function apply(state: TieredState, event: SchedulerEvent, context: Context): Step {
	const {now} = context;
	switch (event.type) {
		case 'arrived': {
			return arrive(state, event, context);
		}

		case 'withdrawn': {
			return quiet(withdraw(state, event.id, context));
		}

		case 'started': {
			return start(state, event.id, now);
		}

		case 'progressed': {
			return quiet(progress(state, event, now));
		}

		case 'finished': {
			return quiet(finish(state, event, context));
		}

		case 'reported': {
			return quiet({...state, slots: {...state.slots, memoryUsed: event.memoryUsed}});
		}

		case 'endpoint': {
			return event.up ? quiet({...state, up: true}) : refuseAll({...state, up: false}, RefusalReason.down);
		}

		case 'leaving': {
			return refuseAll({...state, leaving: true}, RefusalReason.leaving);
		}

		case 'tick': {
			return quiet(state);
		}
	}
}

function arrive(state: TieredState, {id, summary}: EventOf<'arrived'>, {now, settings}: Context): Step {
	if (!isOpen(state)) {
		return {state, actions: [refuse(id, state.leaving ? RefusalReason.leaving : RefusalReason.down, 0)]};
	}

	const {ledger} = state;
	const wait = expectedWait(state.drain, ledger, summary, now);
	if (wait > summary.queueMilliseconds) {
		return {state, actions: [refuse(id, RefusalReason.hopeless, wait - summary.queueMilliseconds)]};
	}

	const joined = enqueue(ledger, id, summary, now);
	const arrival = joined.waiting.get(id);
	if (joined === ledger || arrival === undefined) {
		return quiet(state);
	}

	const begins = waitingIn(ledger, summary.tier).length === 0;
	const next = {...state, ledger: joined, fairness: join(state.fairness, ledger, summary, settings)};
	return evict(begins ? noteTurn(next, summary.tier, now) : next, arrival, settings);
}

/** Makes room again if the arrival has overfilled the queue. */
function evict(state: TieredState, arrival: Waiting, settings: SchedulerSettings): Step {
	const before = remove(state.ledger, arrival.id);
	const evicted = evictionFor(before, arrival, settings);
	if (evicted === undefined) {
		return quiet(state);
	}

	assertRule(noLowerTierShares(state.ledger, evicted.summary, settings), Rule.higherTierFirst, () => `tier ${evicted.summary.tier} refused for room that a lower tier holds`, settings.onViolation);
	const after = retryAfter(state.drain, state.ledger, evicted.summary.tier);
	return {state: {...state, ledger: remove(state.ledger, evicted.id)}, actions: [refuse(evicted.id, RefusalReason.full, after)]};
}

function withdraw(state: TieredState, id: string, context: Context): TieredState {
	const waiting = state.ledger.waiting.get(id);
	if (waiting === undefined) {
		const occupied = state.ledger.occupied.get(id);
		return occupied === undefined ? state : free(state, occupied, false, context);
	}

	const ledger = remove(state.ledger, id);
	return {...state, ledger, drain: countDeparture(state.drain, waiting.summary, ledger)};
}

function start(state: TieredState, id: string, now: number): Step {
	const offered = state.ledger.occupied.get(id);
	if (offered === undefined) {
		// The body crossed with a refusal or a lapsed offer; running it would break the word given.
		return {state, actions: [refuse(id, RefusalReason.unknown, 0)]};
	}

	return quiet({
		...state,
		ledger: update(state.ledger, {...offered, phase: 'running', startedAt: now}),
		headroom: countStart(state.headroom, offered.summary, now),
	});
}

function progress(state: TieredState, {id, tokens, milliseconds}: EventOf<'progressed'>, now: number): TieredState {
	const occupied = state.ledger.occupied.get(id);
	if (occupied === undefined) {
		return state;
	}

	const ledger = update(state.ledger, {...occupied, tokens: occupied.tokens + tokens});
	if (occupied.tokens === 0) {
		return {...state, ledger, firstTokenMilliseconds: learnFirstToken(state.firstTokenMilliseconds, now - occupied.offeredAt)};
	}

	return {...state, ledger, slots: observeTokens(state.slots, tokens, milliseconds)};
}

/** Rises at once and falls slowly: an estimate that is too short costs a missed target. */
function learnFirstToken(usual: number, seen: number): number {
	const rate = seen > usual ? 0.3 : 0.05;
	return usual + ((seen - usual) * rate);
}

function finish(state: TieredState, {id, outcome}: EventOf<'finished'>, context: Context): TieredState {
	const occupied = state.ledger.occupied.get(id);
	return occupied === undefined ? state : free(state, occupied, outcome === 'whole', context);
}

function free(state: TieredState, occupied: Occupied, whole: boolean, {now, settings}: Context): TieredState {
	return {
		...state,
		ledger: remove(state.ledger, occupied.id),
		fairness: occupied.phase === 'offered' ? state.fairness : leaveSlot(state.fairness, occupied, whole, settings),
		headroom: whole ? learnHold(state.headroom, occupied, now) : state.headroom,
		longestMilliseconds: Math.max(state.longestMilliseconds, now - occupied.offeredAt),
		reserved: state.reserved + (occupied.phase === 'stopping' ? 1 : 0),
	};
}

function refuseAll(state: TieredState, reason: RefusalReason): Step {
	const offered = [...state.ledger.occupied.values()].filter(({phase}) => phase === 'offered');
	const ids = [...state.ledger.waiting.keys(), ...offered.map(({id}) => id)];
	let {ledger} = state;
	for (const id of ids) {
		ledger = remove(ledger, id);
	}

	return {state: {...state, ledger, turnAt: state.turnAt.map(() => undefined)}, actions: ids.map(id => refuse(id, reason, 0))};
}
