/** Fleet-wide limits of a class by leased shares; pure decisions of entries and of the keeper. */
export type {Demand, Lease, LimitKind, Limits} from './types.js';
export {
	createAllocator, keeperSettings, grantLease, travelMilliseconds, type KeeperSettings, type AllocatorState,
} from './keeper.js';
export {
	admit, createLimiter, evenShare, finish, lacksLease, reportIntervalMilliseconds, spendTokens, applyLease, createReport, type LimiterDecision, type LimiterState, type FleetPosition,
} from './local.js';
