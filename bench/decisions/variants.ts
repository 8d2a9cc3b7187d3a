import {
	createSubsetPlacement, leastInFlight, type Placement, powerOfTwo, randomPlacement, roundRobin, subsetSettings, subsetPlacement,
} from '../../src/policy/placement/index.js';
import {
	createFifoScheduler, type Scheduler, type SchedulerSettings, createTieredScheduler,
} from '../../src/policy/scheduler/index.js';
import {fullBatch} from './plan.js';

/** A combination of policies to measure. */
export type Variant = {
	readonly name: string;
	readonly scheduler: (settings: Partial<SchedulerSettings>) => Scheduler<any>;
	readonly placement: Placement<any>;
};

/** The number of slots that meets the tightest target: the best fixed number for these engines. */
const fixedSlots = (settings: Partial<SchedulerSettings>): Scheduler<any> => createFifoScheduler({...settings, initialSlots: fullBatch});

/** The variants to compare, the product first. */
export const variants: readonly Variant[] = [
	{name: 'present', scheduler: createTieredScheduler, placement: subsetPlacement},
	{name: 'early-binding', scheduler: createTieredScheduler, placement: createSubsetPlacement({...subsetSettings, reservations: 1})},
	{name: 'random', scheduler: fixedSlots, placement: randomPlacement},
	{name: 'round-robin', scheduler: fixedSlots, placement: roundRobin},
	{name: 'least-in-flight', scheduler: fixedSlots, placement: leastInFlight},
	{name: 'power-of-two', scheduler: fixedSlots, placement: powerOfTwo},
];
