/** Placement: at which sides an entry reserves a slot for a request. */
export type {Choice, Placement, PlacementEvent, SideView} from './types.js';
export {leastInFlight, powerOfTwo, randomPlacement, roundRobin} from './baselines.js';
export type {Fleet} from './fleet.js';
export {
	chooseSubset, createSubsetPlacement, subsetSettings, subsetPlacement,
	type SubsetSettings, type SubsetState,
} from './subset.js';
