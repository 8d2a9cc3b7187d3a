import {
	type ClassName, type RequestId, type TargetName, type Tier, type WorkspaceName,
} from './identifiers.js';

/** The properties of a request on which queue, placement and limits depend; it contains no prompt. Times are milliseconds. */
export type RequestSummary = {
	readonly id: RequestId;
	readonly workspace: WorkspaceName;
	/** The workspace's weight in fair sharing; usually 1. */
	readonly weight: number;
	readonly className: ClassName;
	readonly tier: Tier;
	/** The model or the plain service that has to run it. */
	readonly target: TargetName;
	/** False if the request may run at most once. */
	readonly idempotent: boolean;
	/** The time after arrival at which the first token is due. */
	readonly firstTokenMilliseconds: number;
	/** The longest time between tokens that the class tolerates; if absent, the setting of the side's queue applies. */
	readonly betweenTokensMilliseconds?: number;
	/** The time after arrival up to which the request may wait in a queue. */
	readonly queueMilliseconds: number;
	/** The length of the prompt in tokens, estimated from its bytes. */
	readonly promptTokens: number;
	/** A hash of workspace and body that stays the same when the caller sends the request again. */
	readonly fingerprint: string;
	/** A hash of the prompt's leading blocks, for prefix affinity. */
	readonly prefix: string;
	/** The number of its preemptions; 0 if absent. A preempted request resumes, and `promptTokens` includes its tokens so far. */
	readonly preemptions?: number;
	/**
	 * False if another side was sent the reservation of this request first: this side then preempts only at the last possible
	 * time, so that two sides don't preempt for one request.
	 */
	readonly asksFirst?: boolean;
};
