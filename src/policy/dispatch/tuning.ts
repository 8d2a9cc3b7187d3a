/**
 * Weights of placement; costs are milliseconds of a caller's wait. Each mechanism can be switched off by one of them.
 */
export type Tuning = {
	/** Whether engines fetch cached prefixes from each other. */
	readonly fetches: boolean;
	/** Cost of fetching a token in relation to prefilling it, in addition to the time it takes. */
	readonly fetchShare: number;
	/** Whether more urgent requests may be sent at longer backlogs; otherwise all may be sent at the longest. */
	readonly ordersBacklogs: boolean;
	/** Whether less urgent requests yield to those that wait at other instances. */
	readonly heedsLines: boolean;
	/** Whether requests wait for room in the memory of an engine. */
	readonly heedsMemory: boolean;
	/** Cost of an engine reserved for latency-critical streams to other requests whose prefill is long. */
	readonly roomMilliseconds: number;
	/**
	 * Share of the slots of an engine that latency-critical streams fill before another engine is reserved for them.
	 */
	readonly tightFill: number;
	/** Whether engines of one service differ in speed; if undefined, what they show decides. */
	readonly learnsEngines: boolean | undefined;
	/** Cost of an engine that is not reserved for latency-critical streams to one of them. */
	readonly outsideMilliseconds: number;
	/** Whether engines that are short of memory are chosen also by what a request displaces there. */
	readonly weighsKept: boolean;
	/** Whether a prefix that many requests share is kept by several engines; only where engines are short of memory. */
	readonly spreadsPrefixes: boolean;
};

/**
 * `roomMilliseconds`, a second, outweighs everything but a service at full load; `outsideMilliseconds`, sixty
 * milliseconds, outweighs a usual backlog.
 */
export const defaultTuning: Tuning = {
	fetches: true,
	fetchShare: 0.5,
	ordersBacklogs: true,
	heedsLines: true,
	heedsMemory: true,
	roomMilliseconds: 1000,
	tightFill: 0.75,
	learnsEngines: undefined,
	outsideMilliseconds: 60,
	weighsKept: true,
	spreadsPrefixes: true,
};
