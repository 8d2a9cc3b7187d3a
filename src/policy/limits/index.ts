/** Fleet-wide limits of a class, enforced through leased shares: the pure decisions of the limiter of each entry and of the allocator. */
export type {Demand, Lease, LimitKind, Limits} from './types.js';
export {
	allocatorSettings, createAllocator, deliveryMarginMilliseconds, grantLease, type AllocatorSettings, type AllocatorState,
} from './allocator.js';
export {
	admit, applyLease, createLimiter, createReport, evenShare, finish, lacksLease, reportIntervalMilliseconds, spendTokens, type FleetPosition, type LimiterDecision, type LimiterState,
} from './limiter.js';
