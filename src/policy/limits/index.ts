/** Fleet-wide limits of a class by leased shares; pure decisions of entries and of the keeper. */
export type {Demand, Lease, LimitKind, Limits} from './types.js';
export {
	createKeeper, keeperSettings, leaseShare, travelMilliseconds, type KeeperSettings, type KeeperState,
} from './keeper.js';
export {
	admit, createLocal, evenShare, finish, lacksLease, reportInterval, spendTokens, takeLease, takeReport, type LocalDecision, type LocalState, type Standing,
} from './local.js';
