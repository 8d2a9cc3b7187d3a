import {type IncomingHttpHeaders} from 'node:http';
import {type PromptPart} from '../../policy/dispatch/index.js';
import {type ResponseStatements} from '../../policy/statements/index.js';
import {type Route, type Workspace} from '../../routing/index.js';

/** Header names and values in turn, as Node's `rawHeaders`. */
export type RawHeaders = readonly string[];

/** Information from the headers of a request. */
export type RequestMetadata = {
	/** Id that the caller gave to this request; a caller's retry has another one. */
	readonly id: string;
	/** Time until the caller gives up, counted from when it sent the request. */
	readonly deadlineMilliseconds: number | undefined;
	readonly key: string | undefined;
	/** Prompt parts in order; empty if the request has no prompt. */
	readonly parts: readonly PromptPart[];
	/** Ids of the prompt parts that other requests may share: all but the last, as far as they are readable. */
	readonly sharedParts: readonly string[];
	/** Expected number of tokens in the response. */
	readonly outputTokens: number;
	/** The stream that the caller takes up: the request that brought its first event, if the caller names one; undefined for a new stream. */
	readonly resumption: {readonly request: string | undefined} | undefined;
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
	 * The route's urgency is sent to the engine as the request's priority; an engine preempts the least urgent requests first. The
	 * urgency means the same for all workspaces and in every routing table. A rank (see `UrgencyRanks`) must not be sent instead:
	 * requests of most workspaces would be preempted for less urgent ones of the workspace with the highest precedence, and after a
	 * change of the workspaces for less urgent ones that began before the change.
	 */
	readonly route: Route;
};

/** Information from the status and headers of a response. */
export type ResponseMetadata = {
	readonly requestId: string | undefined;
	/** The endpoint states that it did not run the request. */
	readonly isNotRun: boolean;
	/** True if another endpoint has taken over the address and the response is from that one. */
	readonly isMisdirected: boolean;
	/** False for a success response that can't be the endpoint's own complete response. */
	readonly isGenuine: boolean;
	/** True if the status tells the caller that its request has not run, but the endpoint does not state this (see `isNotRun`). */
	readonly promisesNotRun: boolean;
	/** What the endpoint states about itself; of no use if the response is misdirected. */
	readonly stated: ResponseStatements;
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
