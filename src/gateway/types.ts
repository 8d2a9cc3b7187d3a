import {type IncomingHttpHeaders} from 'node:http';
import {type LogPosition} from '../model/index.js';
import {type PromptPart} from '../policy/dispatch/index.js';
import {type Route, type Workspace} from '../routing/index.js';

/** Header names and values in turn, as Node's `rawHeaders`. */
export type RawHeaders = readonly string[];

/** What a caller says about its request. */
export type RequestMetadata = {
	/** The caller's id of this one sending. */
	readonly id: string;
	/** How long the caller waits, from its sending. */
	readonly deadlineMilliseconds: number | undefined;
	readonly key: string | undefined;
	/** The prompt's parts in order; empty for what is no prompt. */
	readonly parts: readonly PromptPart[];
	/** Tokens that the answer is expected to have. */
	readonly outputTokens: number;
};

/** A request on its way to an endpoint. */
export type ForwardedRequest = {
	readonly rawHeaders: RawHeaders;
	readonly bodyBytes: number | undefined;
	readonly endpoint: string;
	readonly workspace: Workspace | undefined;
	/** What is left of the caller's time and the route's. */
	readonly remainingMilliseconds: number;
	/** The last event that the caller has, when a stream goes on elsewhere. */
	readonly resumeAfter: string | undefined;
	/** The address of an engine that keeps more of the prompt, from which the endpoint is to take it. */
	readonly fetchFrom: string | undefined;
	/**
	 * Its urgency is the request's rank at an engine, which puts back the least urgent first. Failure: an engine is told a place among the
	 * pairs of workspace and route of one routing table. Symptom: tickets of most workspaces are put back for drafts of one that goes
	 * first, and after a change of workspaces for drafts that began before it. A route's number means the same for all and in every table.
	 */
	readonly route: Route;
};

/** What an endpoint says about its answer. */
export type ResponseMetadata = {
	readonly requestId: string | undefined;
	/** The endpoint states that it did not run the request. */
	readonly isNotRun: boolean;
	/** Another endpoint has the address now. */
	readonly isMisdirected: boolean;
	/** False for a success that can't be the endpoint's own whole answer. */
	readonly isGenuine: boolean;
	/** Statuses that promise the caller that its request has not run. */
	readonly promisesNotRun: boolean;
	readonly retryAfterMilliseconds: number | undefined;
};

/** What the adapter of a platform translates for each request. */
export type RequestCodec = {
	/** The facts, or what is wrong with the headers. */
	readRequest(headers: IncomingHttpHeaders): {readonly type: 'facts'; readonly facts: RequestMetadata} | {readonly type: 'wrong'; readonly message: string};
	requestHeaders(forwarding: ForwardedRequest): string[];
	readResponse(status: number, headers: IncomingHttpHeaders): ResponseMetadata;
	/** The headers that go back to the caller. */
	responseHeaders(rawHeaders: RawHeaders): string[];
	/** How long callers of a route wait for a first byte or event before they leave. */
	patienceMilliseconds(route: Route): number;
	/** The headers of an answer of our own. */
	gatewayResponseHeaders(facts: RequestMetadata | undefined): string[];
};

/** A page of a feed: what is new, and where to go on. */
export type FeedPage<Item> = {readonly items: readonly Item[]; readonly next: LogPosition};

/** What a reading of changes has found. */
export type FeedReading<Item>
	= | {readonly type: 'page'; readonly page: FeedPage<Item>}
	/** That part of the history is not kept any more. */
		| {readonly type: 'gone'}
	/** The store has come back from a copy since the place that was asked for. */
		| {readonly type: 'new-era'; readonly era: number}
	/** Whoever asked gave the reading up. */
		| {readonly type: 'given-up'};

/** Part of the store that is read as newest values and then as changes. */
export type Feed<Item> = {
	readonly name: string;
	/** Every key's newest value, and the place from which changes go on. */
	readSnapshot(): Promise<FeedPage<Item>>;
	/** Changes from a place on; waits for the first one, unless it is given up. */
	readChanges(from: LogPosition, waitMilliseconds: number, signal?: AbortSignal): Promise<FeedReading<Item>>;
	/** Calls at the first answer of any call that comes from a newer era. */
	onEra(listener: (era: number) => void): void;
};
