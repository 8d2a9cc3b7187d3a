/** A class's fleet-wide limits, as its catalogue entry has them; a missing one does not limit. */
export type Limits = {
	readonly requestsPerSecond?: number;
	readonly tokensPerSecond?: number;
	readonly concurrency?: number;
};

/** Which limit was met. */
export type LimitKind = 'requests' | 'tokens' | 'concurrency';

/** How much of each limit an entry would use now if nothing held it back. */
export type Demand = {
	readonly requestsPerSecond: number;
	readonly tokensPerSecond: number;
	readonly concurrency: number;
	/** Requests in progress: these are held, whatever the demand. */
	readonly running: number;
};

/** An entry's share of a class's limits, for a time from its receipt. */
export type Lease = {
	readonly requestsPerSecond: number;
	readonly tokensPerSecond: number;
	readonly concurrency: number;
	readonly milliseconds: number;
};
