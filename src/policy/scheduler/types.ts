import {type FailureKind, type RequestId, type RequestSummary} from '../../model/index.js';

/** How a running request ended, as seen by the side. */
export type Outcome = 'whole' | 'cancelled' | 'failed' | 'preempted';

/**
 * An event at the queue of one side. The id is the reservation's, unique at this side: one
 * request may hold a second reservation after a retry.
 */
export type SchedulerEvent
	= | {readonly type: 'arrived'; readonly id: string; readonly summary: RequestSummary}
		| {readonly type: 'withdrawn'; readonly id: string}
	/**
	 * The body arrived in response to an offer and the request runs, unless the step answers with `refuse`: that
	 * happens if the offer had timed out or was withdrawn, and then the body must not be sent to the endpoint.
	 */
		| {readonly type: 'started'; readonly id: string}
	/** The engine produced tokens; `milliseconds` is the time since the previous ones, or since the start. */
		| {readonly type: 'progressed'; readonly id: string; readonly tokens: number; readonly milliseconds: number}
		| {readonly type: 'finished'; readonly id: string; readonly outcome: Outcome}
	/** The engine's own report, which lags; it is used for memory pressure only. */
		| {readonly type: 'reported'; readonly memoryUsed: number; readonly running: number}
	/** The endpoint became reachable or unreachable. */
		| {readonly type: 'endpoint'; readonly up: boolean}
	/** The endpoint has refused a request and wants no other one for this time. */
		| {readonly type: 'backoff'; readonly milliseconds: number}
		| {readonly type: 'leaving'}
		| {readonly type: 'tick'};

/** What the side must do. `refuse` always means that the request was not run here. */
export type SchedulerAction
	= | {readonly type: 'offer'; readonly id: string}
		| {readonly type: 'refuse'; readonly id: string; readonly kind: FailureKind; readonly message: string; readonly retryAfterMilliseconds: number}
	/** Stops a running, idempotent request so that `forRequest` gets its slot. */
		| {readonly type: 'preempt'; readonly id: string; readonly forRequest: RequestId};

export type SchedulerStep<State> = {readonly state: State; readonly actions: readonly SchedulerAction[]};

/** State of a queue as it is reported to placement and to `status`. */
export type SchedulerView = {
	readonly slots: number;
	readonly running: number;
	/** By tier, highest first: slots held by requests that a new one of that tier could not preempt. */
	readonly firm?: readonly number[];
	/** Number of waiting requests by tier, highest first. */
	readonly waiting: readonly number[];
	/** Moving average of the time between tokens. */
	readonly tokenMilliseconds: number;
	readonly leaving: boolean;
};

/** A scheduling policy for one side's queue. The side process holds a state and applies `step` to each event. `now` is in milliseconds. */
export type Scheduler<State> = {
	create(): State;
	step(state: State, event: SchedulerEvent, now: number): SchedulerStep<State>;
	view(state: State, now: number): SchedulerView;
};
