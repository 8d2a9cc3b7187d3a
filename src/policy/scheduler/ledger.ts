import {type RequestSummary, type Tier} from '../../model/index.js';
import {type SchedulerAction, type SchedulerStep} from './types.js';

/** A reservation in the queue. */
export type Waiting = {
	readonly id: string;
	readonly summary: RequestSummary;
	/** Order of arrival on this side. */
	readonly sequence: number;
	readonly arrivedAt: number;
	/** When the first token is due. */
	readonly dueAt: number;
	/** When waiting on has no sense any more. */
	readonly expiresAt: number;
};

/** A reservation that holds a slot: from the offer on, until it ends or its offer lapses. */
export type Occupied = Waiting & {
	readonly phase: 'offered' | 'running' | 'stopping';
	readonly offeredAt: number;
	readonly startedAt: number;
	/** Tokens that the endpoint produced. */
	readonly tokens: number;
	/** True if it got its slot out of its tier's floor share. */
	readonly floor: boolean;
};

/**
 * Who waits and who holds a slot on one side. A reservation is in at most one of the two maps, and
 * both keep the order in which reservations came in.
 */
export type Ledger = {
	readonly waiting: ReadonlyMap<string, Waiting>;
	readonly occupied: ReadonlyMap<string, Occupied>;
	readonly sequence: number;
};

export const emptyLedger: Ledger = {waiting: new Map(), occupied: new Map(), sequence: 0};

/** Adds an arrival to the queue. A reservation that is known already stays as it is. */
export function enqueue(ledger: Ledger, id: string, summary: RequestSummary, now: number): Ledger {
	if (ledger.waiting.has(id) || ledger.occupied.has(id)) {
		return ledger;
	}

	const waiting: Waiting = {
		id, summary, sequence: ledger.sequence, arrivedAt: now, dueAt: now + summary.firstTokenMilliseconds, expiresAt: now + summary.queueMilliseconds,
	};
	return {...ledger, sequence: ledger.sequence + 1, waiting: withEntry(ledger.waiting, id, waiting)};
}

/** Forgets a reservation, wherever it is. */
export function remove(ledger: Ledger, id: string): Ledger {
	if (ledger.waiting.has(id)) {
		return {...ledger, waiting: withoutEntry(ledger.waiting, id)};
	}

	return ledger.occupied.has(id) ? {...ledger, occupied: withoutEntry(ledger.occupied, id)} : ledger;
}

/** Moves a waiting reservation into a slot. */
export function occupy(ledger: Ledger, waiting: Waiting, floor: boolean, now: number): Ledger {
	const occupied: Occupied = {...waiting, phase: 'offered', offeredAt: now, startedAt: now, tokens: 0, floor};
	return {...ledger, waiting: withoutEntry(ledger.waiting, waiting.id), occupied: withEntry(ledger.occupied, waiting.id, occupied)};
}

/** Changes what is known of a reservation that holds a slot. */
export function update(ledger: Ledger, occupied: Occupied): Ledger {
	return {...ledger, occupied: withEntry(ledger.occupied, occupied.id, occupied)};
}

/** The waiting reservations of one tier, oldest first. */
export function waitingIn(ledger: Ledger, tier: Tier): readonly Waiting[] {
	return [...ledger.waiting.values()].filter(({summary}) => summary.tier === tier);
}

/** Applies the next part of a step to the state that the parts before it left, keeping all actions in order. */
export function andThen<State>(step: SchedulerStep<State>, next: (state: State) => SchedulerStep<State>): SchedulerStep<State> {
	const {state, actions} = next(step.state);
	return {state, actions: actions.length === 0 ? step.actions : [...step.actions, ...actions]};
}

/** A part of a step that needs nothing done. */
export function quiet<State>(state: State): SchedulerStep<State> {
	return {state, actions: noActions};
}

const noActions: readonly SchedulerAction[] = [];

function withEntry<Value>(map: ReadonlyMap<string, Value>, key: string, value: Value): ReadonlyMap<string, Value> {
	return new Map(map).set(key, value);
}

function withoutEntry<Value>(map: ReadonlyMap<string, Value>, key: string): ReadonlyMap<string, Value> {
	const copy = new Map(map);
	copy.delete(key);
	return copy;
}
