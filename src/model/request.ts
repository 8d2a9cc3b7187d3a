import {
	type ClassName, type RequestId, type TargetName, type Tier, type WorkspaceName,
} from './identifiers.js';

/** What the queue, placement and limits know of a request; it holds no prompt. Times are milliseconds. */
export type RequestSummary = {
	readonly id: RequestId;
	readonly workspace: WorkspaceName;
	/** The workspace's weight among its rivals; 1 is usual. */
	readonly weight: number;
	readonly className: ClassName;
	readonly tier: Tier;
	/** The model or the plain service that is to run it. */
	readonly target: TargetName;
	/** False for what may run once at most. */
	readonly idempotent: boolean;
	/** How long after arrival the first token is due. */
	readonly firstTokenMilliseconds: number;
	/** The time between tokens that the class can bear; missing: the queue's own setting. */
	readonly betweenTokensMilliseconds?: number;
	/** How long after arrival the request may still be waiting in a queue. */
	readonly queueMilliseconds: number;
	/** The length of the prompt in tokens, estimated from its bytes. */
	readonly promptTokens: number;
	/** Workspace and body hash: what stays the same when the caller sends it again. */
	readonly fingerprint: string;
	/** A hash of the prompt's leading blocks, for prefix affinity. */
	readonly prefix: string;
	/** How often it has been preempted; missing: never. It resumes then, and its tokens so far are in `promptTokens`. */
	readonly preemptions?: number;
	/** False at a side that is asked besides another: it preempts only at the last moment, so that two don't for one request. */
	readonly asksFirst?: boolean;
};
