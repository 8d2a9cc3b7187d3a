import {type ZoneName} from '../../model/index.js';
import {type FleetView} from '../sharing/index.js';
import {type KeptValue} from './kept-value.js';
import {type PromptPart} from './prefix-cache.js';
import {type Tuning} from './tuning.js';

/** What one request requires of an endpoint. */
export type Demand = {
	readonly service: string;
	/** Urgency rank; 0 is the most urgent. */
	readonly urgency: number;
	/** Ranks of the most and the least urgent requests of the service that are not latency-critical. */
	readonly urgencies: {readonly most: number; readonly least: number};
	readonly targetMilliseconds: number;
	readonly parts: readonly PromptPart[];
	/** Tokens that the request is expected to generate; absent or 0 where that is not known. */
	readonly outputTokens?: number | undefined;
	/** Urgency of its route, by which engines order and preempt, 0 for the most urgent; absent where that is not known. */
	readonly routeUrgency?: number | undefined;
	/** Room that this request keeps for itself; absent for nearly all. */
	readonly claim?: RoomClaim | undefined;
	/** True if the pause limit of its route is the strictest of the service. */
	readonly isLatencyCritical: boolean;
	/** Longest pause allowed between two events of the stream; undefined where the route sets no limit. */
	readonly maxPauseMilliseconds: number | undefined;
	/** The strictest pause limit among the routes of the service. */
	readonly strictestPauseMilliseconds: number;
	/** How long the request has deferred: the time since it first declined an available endpoint for a better one. */
	readonly deferredMilliseconds: number;
	/** Time since the request arrived. */
	readonly elapsedMilliseconds: number;
	/** True if a more urgent request waits for the service at another instance, so that this one yields. */
	readonly isOutranked: boolean;
};

/** Memory of an engine that a waiting request keeps for itself, as a run that has not begun. */
export type RoomClaim = {readonly endpoint: string; readonly runId: string; readonly tokens: number};

/** An endpoint that may be used now. */
export type Candidate = {
	readonly id: string;
	readonly zone: ZoneName;
	readonly slots: number;
	readonly isEngine: boolean;
	/** Tokens that fit into the memory of its engine, for running requests and cached parts together; undefined where that is not known. */
	readonly memoryTokens?: number | undefined;
	/** Hash of the id. Candidates are sorted by it, which is the order in which latency-critical streams fill them. */
	readonly hash: number;
};

/** A cache transfer: the chosen engine fetches cached prompt tokens from the engine `from`. */
export type Fetch = {readonly from: string; readonly tokens: number; readonly milliseconds: number};

/** The request is sent to this endpoint now. */
export type Place = {
	readonly type: 'place';
	readonly endpoint: string;
	/** Prompt tokens that the endpoint has to prefill, without those that it fetches. */
	readonly prefillTokens: number;
	readonly fetch: Fetch | undefined;
	/** Predicted time from sending to the first event, or to the response of a plain service. */
	readonly expectedMilliseconds: number;
	/** The fewest tokens that any candidate would have had to prefill. */
	readonly leastPrefillTokens: number;
	/** What was weighed of the parts kept there; undefined where requests name none, or nothing is weighed. */
	readonly kept: KeptValue | undefined;
};

/** The room that a request lacks in the memory of an engine. */
export type MemoryShortage = {
	readonly endpoint: string;
	/** Time until it is free; `Infinity` for a request that is larger than the engine's memory. */
	readonly milliseconds: number;
	/** What the engine's runs hold or will hold, what the request needs beside them, and the whole memory. */
	readonly heldTokens: number;
	readonly neededTokens: number;
	readonly memoryTokens: number;
	/** Time since the last report of a run there. */
	readonly reportAgeMilliseconds: number;
};

/** No endpoint is good enough yet; the best one is expected to be so in `milliseconds`. */
export type Wait = {
	readonly type: 'wait';
	readonly endpoint: string;
	readonly milliseconds: number;
	/**
	 * True if an endpoint is available but a better one is worth waiting for; other requests may take the available
	 * one.
	 */
	readonly isDeferral: boolean;
	/** The room that the request waits for; absent if it waits for something else. */
	readonly memory?: MemoryShortage | undefined;
};

export type Choice = Place | Wait;

/** Conditions under which a placement is chosen. */
export type PlacementContext = {
	readonly zone: ZoneName;
	readonly now: number;
	/** The part of the fleet whose load reports this instance receives. */
	readonly view: FleetView;
	/** Propagation delay: the time until this instance receives a neighbour's report of a placement. */
	readonly propagationMilliseconds: number;
	/** Rate of cache transfers between engines; undefined where engines do not support them. */
	readonly fetchTokensPerMillisecond?: number | undefined;
	readonly tuning: Tuning;
};
