import {type RequestSummary, type Tier} from '../../model/index.js';
import {type SchedulerAction, type SchedulerStep} from './types.js';

/** A reservation in the queue. Times are in milliseconds. */
export type WaitingReservation = {
	readonly id: string;
	readonly summary: RequestSummary;
	/** Order of arrival at this side. */
	readonly sequence: number;
	readonly arrivedAt: number;
	/** Deadline of the first token. */
	readonly dueAt: number;
	/** When the queue timeout ends. */
	readonly expiresAt: number;
};

/** A reservation that holds a slot, from the offer until it ends or the offer times out. */
export type SlotHolder = WaitingReservation & {
	readonly phase: 'offered' | 'running' | 'stopping';
	readonly offeredAt: number;
	readonly startedAt: number;
	/** Tokens that the endpoint has produced. */
	readonly tokens: number;
	/** True if it got its slot from its tier's floor share. */
	readonly usesFloorShare: boolean;
};

/**
 * The waiting reservations and the slot holders of one side. A reservation is in at most one of the two
 * maps, and both keep the order in which reservations were added.
 */
export type Reservations = {
	readonly waiting: ReadonlyMap<string, WaitingReservation>;
	readonly holders: ReadonlyMap<string, SlotHolder>;
	readonly sequence: number;
};

export const emptyReservations: Reservations = {waiting: new Map(), holders: new Map(), sequence: 0};

/** Adds an arrival to the queue. A reservation that is already known stays unchanged. */
export function enqueue(reservations: Reservations, id: string, summary: RequestSummary, now: number): Reservations {
	if (reservations.waiting.has(id) || reservations.holders.has(id)) {
		return reservations;
	}

	const waiting: WaitingReservation = {
		id, summary, sequence: reservations.sequence, arrivedAt: now, dueAt: now + summary.firstTokenMilliseconds, expiresAt: now + summary.queueMilliseconds,
	};
	return {...reservations, sequence: reservations.sequence + 1, waiting: withEntry(reservations.waiting, id, waiting)};
}

/** Removes a reservation from whichever map it is in. */
export function remove(reservations: Reservations, id: string): Reservations {
	if (reservations.waiting.has(id)) {
		return {...reservations, waiting: withoutEntry(reservations.waiting, id)};
	}

	return reservations.holders.has(id) ? {...reservations, holders: withoutEntry(reservations.holders, id)} : reservations;
}

/** Moves a waiting reservation into a slot, as an offer. */
export function assignSlot(reservations: Reservations, waiting: WaitingReservation, usesFloorShare: boolean, now: number): Reservations {
	const holder: SlotHolder = {...waiting, phase: 'offered', offeredAt: now, startedAt: now, tokens: 0, usesFloorShare};
	return {...reservations, waiting: withoutEntry(reservations.waiting, waiting.id), holders: withEntry(reservations.holders, waiting.id, holder)};
}

/** Replaces the entry of a slot holder. */
export function updateHolder(reservations: Reservations, holder: SlotHolder): Reservations {
	return {...reservations, holders: withEntry(reservations.holders, holder.id, holder)};
}

/** The waiting reservations of one tier, oldest first. */
export function waitingInTier(reservations: Reservations, tier: Tier): readonly WaitingReservation[] {
	return [...reservations.waiting.values()].filter(({summary}) => summary.tier === tier);
}

/** Applies the next part of a step to the state that the previous parts produced, and appends its actions to theirs. */
export function andThen<State>(step: SchedulerStep<State>, next: (state: State) => SchedulerStep<State>): SchedulerStep<State> {
	const {state, actions} = next(step.state);
	return {state, actions: actions.length === 0 ? step.actions : [...step.actions, ...actions]};
}

/** A part of a step that requires no action. */
export function withoutActions<State>(state: State): SchedulerStep<State> {
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
