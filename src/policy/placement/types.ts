import {type EndpointId, type RequestId, type RequestSummary, type TargetName, type ZoneName} from '../../model/index.js';

/** What an entry knows of one side (the sidecar process of one endpoint); the values lag by at least the network latency. */
export type SideView = {
	readonly endpoint: EndpointId;
	readonly zone: ZoneName;
	readonly targets: readonly TargetName[];
	readonly connected: boolean;
	readonly leaving: boolean;
	readonly slots: number;
	readonly running: number;
	/** By tier: slots held by requests that a new one of that tier could not preempt; missing: all running ones. */
	readonly firm?: readonly number[];
	readonly waiting: readonly number[];
	readonly tokenMilliseconds: number;
};

export type PlacementEvent
	= | {readonly type: 'side-seen'; readonly side: SideView}
		| {readonly type: 'side-lost'; readonly endpoint: EndpointId}
	/** This entry reserved a slot, started a request or withdrew one there, or received an offer or a refusal; `prefix` comes with `started`. */
		| {readonly type: 'reserved' | 'offered' | 'refused' | 'withdrawn' | 'started'; readonly endpoint: EndpointId; readonly request: RequestId; readonly prefix?: string}
		| {readonly type: 'first-token'; readonly endpoint: EndpointId; readonly request: RequestId; readonly milliseconds: number}
		| {readonly type: 'progressed'; readonly endpoint: EndpointId; readonly request: RequestId; readonly tokens: number; readonly milliseconds: number}
		| {readonly type: 'ended'; readonly endpoint: EndpointId; readonly request: RequestId; readonly whole: boolean}
		| {readonly type: 'tick'};

/** Where to reserve, best first. If empty, no endpoint can be used now and `reasons` says why. */
export type Choice = {
	readonly endpoints: readonly EndpointId[];
	/** A reason code per candidate that was considered, for `explain`. */
	readonly reasons: ReadonlyArray<{readonly endpoint: EndpointId; readonly reason: string}>;
};

/** A placement policy for the requests of one entry. `random` is uniform in [0, 1) and passed in; `now` is in milliseconds. */
export type Placement<State> = {
	create(settings: {readonly instance: string; readonly zone: ZoneName}): State;
	step(state: State, event: PlacementEvent, now: number): State;
	/** `excluded` are endpoints at which this request was tried before or must not run. */
	choose(state: State, summary: RequestSummary, excluded: ReadonlySet<EndpointId>, random: number, now: number): Choice;
};
