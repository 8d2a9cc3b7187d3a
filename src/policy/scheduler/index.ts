/** Schedulers for the queue of one side: the tiered one, and first come, first served as the baseline. */
export type * from './types.js';
export {createFifoScheduler, type FifoState} from './fifo.js';
export {createTieredScheduler} from './tiered.js';
export {type TieredState} from './tiered-state.js';
export {createSettings, type SchedulerSettings} from './settings.js';
export {Rule, type Violation} from './invariants.js';
export {floorWaitBound} from './floor.js';
