import {type EndpointId, type RequestId, type RequestSummary, type TargetName, type ZoneName} from '../../model/index.js';

/** What an entry knows of one side; the figures lag by at least the time on the wire. */
export type SideView = {
	readonly endpoint: EndpointId;
	readonly zone: ZoneName;
	readonly targets: readonly TargetName[];
	readonly connected: boolean;
	readonly leaving: boolean;
	readonly slots: number;
	readonly running: number;
	/** By tier: running requests that a new one of that tier could not preempt; missing: all of them. */
	readonly firm?: readonly number[];
	readonly waiting: readonly number[];
	readonly tokenMilliseconds: number;
};

export type PlacementEvent
	= | {readonly type: 'side-seen'; readonly side: SideView}
		| {readonly type: 'side-lost'; readonly endpoint: EndpointId}
	/** This entry reserved, started or ended something there, or got a slot offered or a refusal; `prefix` comes with `started`. */
		| {readonly type: 'reserved' | 'offered' | 'refused' | 'withdrawn' | 'started'; readonly endpoint: EndpointId; readonly request: RequestId; readonly prefix?: string}
		| {readonly type: 'first-token'; readonly endpoint: EndpointId; readonly request: RequestId; readonly milliseconds: number}
		| {readonly type: 'progressed'; readonly endpoint: EndpointId; readonly request: RequestId; readonly tokens: number; readonly milliseconds: number}
		| {readonly type: 'ended'; readonly endpoint: EndpointId; readonly request: RequestId; readonly whole: boolean}
		| {readonly type: 'tick'};

/** Where to reserve, best first. Empty: nothing may be used now, and `reason` says why. */
export type Choice = {
	readonly endpoints: readonly EndpointId[];
	/** A reason code per candidate that was looked at, for `explain`. */
	readonly reasons: ReadonlyArray<{readonly endpoint: EndpointId; readonly reason: string}>;
};

/** A policy that places requests of one entry. `random` is uniform in [0, 1) and drawn by the caller. */
export type Placement<State> = {
	create(settings: {readonly instance: string; readonly zone: ZoneName}): State;
	step(state: State, event: PlacementEvent, now: number): State;
	/** `excluded` are endpoints that this request has been tried on or must not touch. */
	choose(state: State, summary: RequestSummary, excluded: ReadonlySet<EndpointId>, random: number, now: number): Choice;
};
