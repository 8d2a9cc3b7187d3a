import {type Demand, type Fetch, type QueuedRequest} from '../policy/dispatch/index.js';
import {type EndpointRecord} from '../routing/index.js';

/** One request that wants a place. */
export type PlacementRequest = QueuedRequest & {
	readonly demand: Demand;
	/** When it first passed over a free endpoint for a better one. */
	deferredAt?: number;
	/** True while an endpoint is free to it and it waits for a better one, by the last look. */
	isDeferred?: boolean;
	/** What it waits for, and when a look at it is worth while again. */
	waitsFor?: {readonly endpoint: string; readonly until: number};
	/** Endpoints that it has been at. */
	readonly excluded: ReadonlySet<string>;
	/** True if it may run again, so that it may try an endpoint that failed before. */
	readonly isIdempotent: boolean;
	readonly onDecision: (decision: Decision) => void;
};

export type Decision
	= | {
		readonly type: 'placed'; readonly runId: string; readonly record: EndpointRecord; readonly prefillTokens: number;
		readonly fetch: (Fetch & {readonly address: string}) | undefined;
		readonly expectedMilliseconds: number; readonly leastPrefillTokens: number; readonly candidates: number;
	}
	/** It can't be started in time, or nothing runs its service. */
	| {
		readonly type: 'refused'; readonly reason: RefusalReason; readonly retryAfterMilliseconds: number; readonly candidates: number;
		/** How many of its service come before it, and how many wait in all. */
		readonly ahead: number; readonly waiting: number;
		readonly foreseen: Foreseen | undefined;
	};

/** What a wait was judged by, in milliseconds from then. */
export type Foreseen = {
	/** Until the endpoint that suits best may get it. */
	readonly endpoint: number;
	/** Until those ahead of it have their places. */
	readonly line: number;
	/** Until it can't be started in time any more. */
	readonly left: number;
};

export const RefusalReason = {noEndpoint: 'no-endpoint', tooLate: 'too-late', lineFull: 'line-full', retriesSpent: 'retries-spent'} as const;
export type RefusalReason = (typeof RefusalReason)[keyof typeof RefusalReason];
