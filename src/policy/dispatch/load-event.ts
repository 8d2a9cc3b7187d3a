import {type QueueReport} from './peer-queues.js';
import {type ClassStatement} from './told-classes.js';
import {type PromptPart} from './prefix-cache.js';

/** A request that an endpoint runs or is about to run, whichever instance sent it. */
export type Run = {
	/** Unique across instances. */
	readonly id: string;
	readonly owner: string;
	readonly endpoint: string;
	readonly service: string;
	readonly prefillTokens: number;
	/** Tokens that the run is expected to generate; 0 where that is not known. */
	readonly outputTokens: number;
	/** Urgency of its route, by which engines order and preempt, 0 for the most urgent; undefined where its instance has not told it. */
	readonly urgency?: number | undefined;
	/** True if the pause limit of its route is the strictest of the service. */
	readonly isLatencyCritical: boolean;
	readonly parts: readonly PromptPart[];
};

/** What the end of a run shows of its endpoint: it has sent a response, or nothing for too long. */
export const EndpointSign = {response: 'response', silence: 'silence'} as const;
export type EndpointSign = (typeof EndpointSign)[keyof typeof EndpointSign];

/** Events that change the tracked load. */
export type LoadEvent
	= | {readonly type: 'placed'; readonly run: Run}
		| {readonly type: 'first-event'; readonly id: string}
	/** `sign` tells what the run has shown of its endpoint, if anything. */
		| {readonly type: 'ended'; readonly id: string; readonly sign?: EndpointSign | undefined}
		| {readonly type: 'owner-lost'; readonly owner: string}
		| {readonly type: 'endpoint-restarted'; readonly endpoint: string}
	/** Requests that wait at another instance. */
		| QueueReport
	/** Classes of engines that another instance has learned. */
		| {readonly type: 'classes'; readonly statement: ClassStatement}
	/** Prompt parts that the endpoint itself reports as cached. */
		| {readonly type: 'kept'; readonly endpoint: string; readonly parts: readonly PromptPart[]};
