import {type Demand, type Fetch, type KeptValue, type MemoryShortage, type QueuedRequest} from '../../policy/dispatch/index.js';
import {type EndpointRecord} from '../../routing/index.js';

/** A request for placement at an endpoint. */
export type PlacementRequest = QueuedRequest & {
	readonly demand: Demand;
	/** When the request was first deferred, that is, not placed at a free endpoint in order to wait for a better one. */
	deferredAt?: number;
	/** True if the last search found a free endpoint but the request waits for a better one. */
	isDeferred?: boolean;
	/** Endpoint that it waits for, and the time of the next search. */
	waitsFor?: {readonly endpoint: string; readonly until: number};
	/** The room in an engine's memory that it last waited for, if it has waited for any. */
	memory?: MemoryShortage | undefined;
	/** Incarnations of endpoints that it was already sent to. */
	readonly excluded: ReadonlySet<string>;
	/** The build that its endpoint must have; undefined if any will do. */
	readonly build: string | undefined;
	/** True if it may run again, so that it may be sent to an endpoint as a trial of its recovery. */
	readonly isIdempotent: boolean;
	/** True if its attempt at an endpoint goes on meanwhile: then it is no trial of another one's recovery. */
	readonly hasAttempt?: boolean;
	readonly onDecision: (decision: Decision) => void;
};

export type Decision
	= | {
		readonly type: 'placed'; readonly runId: string; readonly record: EndpointRecord; readonly prefillTokens: number;
		readonly fetch: (Fetch & {readonly address: string}) | undefined;
		readonly expectedMilliseconds: number; readonly leastPrefillTokens: number; readonly candidates: number;
		/** What was weighed of the prompt parts that the endpoint keeps; undefined where the request names none. */
		readonly kept: KeptValue | undefined;
		/** The room that the request waited for before, if any. */
		readonly memory?: MemoryShortage | undefined;
	}
	/** The request can't be started in time (for want of memory, if so), no endpoint of its service is available, or the queue is full. */
	| {
		readonly type: 'refused'; readonly reason: RefusalReason; readonly retryAfterMilliseconds: number; readonly candidates: number;
		/** Requests of its service ahead of it, and all queued requests. */
		readonly ahead: number; readonly waiting: number;
		readonly foreseen: WaitEstimate | undefined;
		/** The room that the request lacks in the memory of the engine where it comes first. */
		readonly memory?: MemoryShortage | undefined;
	};

/** Estimates that a refusal is based on, in milliseconds from the time of the refusal. */
export type WaitEstimate = {
	/** Wait for a slot at the best endpoint. */
	readonly endpoint: number;
	/** Wait until the requests ahead of it are placed. */
	readonly line: number;
	/** Time left to start it. */
	readonly left: number;
};

export const RefusalReason = {noEndpoint: 'no-endpoint', tooLate: 'too-late', memoryFull: 'memory-full', lineFull: 'line-full', retriesSpent: 'retries-spent'} as const;
export type RefusalReason = (typeof RefusalReason)[keyof typeof RefusalReason];
