import {type FailureKind, type RequestId, type RequestSummary} from '../../model/index.js';

/** How a running request ended, as the side saw it. */
export type Outcome = 'whole' | 'cancelled' | 'failed' | 'preempted';

/**
 * What happens to the queue of one side. The id is the reservation's, unique on this side: one
 * request may hold a second reservation after a retry.
 */
export type SchedulerEvent
	= | {readonly type: 'arrived'; readonly id: string; readonly summary: RequestSummary}
		| {readonly type: 'withdrawn'; readonly id: string}
	/**
	 * The body came in answer to an offer: the request runs, unless the step answers with `refuse`. It
	 * does so if the offer had lapsed or was taken back; then the body must not be given to the endpoint.
	 */
		| {readonly type: 'started'; readonly id: string}
	/** The engine produced tokens; `milliseconds` is the time since the last ones, or since the start. */
		| {readonly type: 'progressed'; readonly id: string; readonly tokens: number; readonly milliseconds: number}
		| {readonly type: 'finished'; readonly id: string; readonly outcome: Outcome}
	/** The engine's own report, which lags: used for memory pressure alone. */
		| {readonly type: 'reported'; readonly memoryUsed: number; readonly running: number}
	/** The endpoint answers, or does not. */
		| {readonly type: 'endpoint'; readonly up: boolean}
		| {readonly type: 'leaving'}
		| {readonly type: 'tick'};

/** What the side must do. `refuse` always means that the request was not run here. */
export type SchedulerAction
	= | {readonly type: 'offer'; readonly id: string}
		| {readonly type: 'refuse'; readonly id: string; readonly kind: FailureKind; readonly message: string; readonly retryAfterMilliseconds: number}
	/** Stops a running, idempotent request so that `forRequest` can have its slot. */
		| {readonly type: 'preempt'; readonly id: string; readonly forRequest: RequestId};

export type SchedulerStep<State> = {readonly state: State; readonly actions: readonly SchedulerAction[]};

/** What placement and `status` may know of a queue. */
export type SchedulerView = {
	readonly slots: number;
	readonly running: number;
	/** By tier, highest first: requests in slots that a new one of that tier could not preempt. */
	readonly firm?: readonly number[];
	/** Waiting requests by tier, highest first. */
	readonly waiting: readonly number[];
	/** Median time between tokens, lately. */
	readonly tokenMilliseconds: number;
	readonly leaving: boolean;
};

/** A policy for one side's queue. The side process holds a state and applies `step` to each event. */
export type Scheduler<State> = {
	create(): State;
	step(state: State, event: SchedulerEvent, now: number): SchedulerStep<State>;
	view(state: State): SchedulerView;
};
