/** A class's fleet-wide limits from its catalogue entry; an absent one means no limit. */
export type Limits = {
	readonly requestsPerSecond?: number;
	readonly tokensPerSecond?: number;
	readonly concurrency?: number;
};

/** Which limit was reached. */
export type LimitKind = 'requests' | 'tokens' | 'concurrency';

/** How much of each limit an entry would use now if it were not limited. */
export type Demand = {
	readonly requestsPerSecond: number;
	readonly tokensPerSecond: number;
	readonly concurrency: number;
	/** Requests in progress: these occupy concurrency, whatever the demand. */
	readonly running: number;
};

/** An entry's share of a class's limits, valid for `milliseconds` from its receipt. */
export type Lease = {
	readonly requestsPerSecond: number;
	readonly tokensPerSecond: number;
	readonly concurrency: number;
	readonly milliseconds: number;
};
