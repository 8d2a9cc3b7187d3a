import {type IncomingHttpHeaders} from 'node:http';
import {type LogPosition} from '../model/index.js';
import {type PromptPart} from '../policy/dispatch/index.js';
import {type Route, type Workspace} from '../routing/index.js';

/** Header names and values in turn, as Node's `rawHeaders`. */
export type RawHeaders = readonly string[];

/** What the headers of a request say. */
export type RequestMetadata = {
	/** Id that the caller gave to this request; a caller's retry has another one. */
	readonly id: string;
	/** Time until the caller gives up, counted from when it sent the request. */
	readonly deadlineMilliseconds: number | undefined;
	readonly key: string | undefined;
	/** Prompt parts in order; empty if the request has no prompt. */
	readonly parts: readonly PromptPart[];
	/** Expected number of tokens in the response. */
	readonly outputTokens: number;
};

/** A request as it is sent to an endpoint. */
export type ForwardedRequest = {
	readonly rawHeaders: RawHeaders;
	readonly bodyBytes: number | undefined;
	readonly endpoint: string;
	readonly workspace: Workspace | undefined;
	/** Time left until the caller's deadline and the route's timeout. */
	readonly remainingMilliseconds: number;
	/** Id of the last event that the caller has received, when a stream resumes at another endpoint. */
	readonly resumeAfter: string | undefined;
	/** Address of an engine that has cached more of the prompt, from which the endpoint fetches that part. */
	readonly fetchFrom: string | undefined;
	/**
	 * The urgency of the route becomes the request's priority at an engine, which preempts the least urgent first. It must not
	 * be a rank among the pairs of workspace and route of one routing table: requests of most workspaces would then be
	 * preempted for less urgent ones of the workspace that goes first, and after a change of workspaces for less urgent ones
	 * that began before it. A route's urgency means the same for all workspaces and in every table.
	 */
	readonly route: Route;
};

/** What the headers of a response say. */
export type ResponseMetadata = {
	readonly requestId: string | undefined;
	/** The endpoint states that it did not run the request. */
	readonly isNotRun: boolean;
	/** Another endpoint has the address now. */
	readonly isMisdirected: boolean;
	/** False for a success response that can't be the endpoint's own complete response. */
	readonly isGenuine: boolean;
	/** True if the status promises the caller that its request has not run and the endpoint does not state so itself. */
	readonly promisesNotRun: boolean;
	readonly retryAfterMilliseconds: number | undefined;
};

/** Translation between a platform's headers and the gateway, provided by the platform's adapter. */
export type RequestCodec = {
	/** Parses the request headers, or says what is wrong with them. */
	readRequest(headers: IncomingHttpHeaders): {readonly type: 'facts'; readonly facts: RequestMetadata} | {readonly type: 'wrong'; readonly message: string};
	requestHeaders(request: ForwardedRequest): string[];
	readResponse(status: number, headers: IncomingHttpHeaders): ResponseMetadata;
	/** Headers that are returned to the caller. */
	responseHeaders(rawHeaders: RawHeaders): string[];
	/** How long callers of a route wait for a first byte or event before they disconnect. */
	patienceMilliseconds(route: Route): number;
	/** Headers of a response that the gateway makes itself. */
	gatewayResponseHeaders(facts: RequestMetadata | undefined): string[];
};

/** A page of a feed: its items, and the position after them. */
export type FeedPage<Item> = {readonly items: readonly Item[]; readonly next: LogPosition};

/** Result of reading changes. */
export type FeedReadResult<Item>
	= | {readonly type: 'page'; readonly page: FeedPage<Item>}
	/** The history from that position is no longer retained. */
		| {readonly type: 'gone'}
	/** The store was restored from a backup since that position: its era, the generation number of the store's log, has risen. */
		| {readonly type: 'new-era'; readonly era: number}
	/** The read was aborted by the reader. */
		| {readonly type: 'given-up'};

/** A part of the store that is read as a snapshot and then as changes. */
export type Feed<Item> = {
	readonly name: string;
	/** The newest value of each key, and the position from which changes continue. */
	readSnapshot(): Promise<FeedPage<Item>>;
	/** Changes from a position on; waits for the first one until the time is over or `signal` aborts (a long poll). */
	readChanges(from: LogPosition, waitMilliseconds: number, signal?: AbortSignal): Promise<FeedReadResult<Item>>;
	/** Calls the listener at the first response of any call that comes from a newer era. */
	onEra(listener: (era: number) => void): void;
};
