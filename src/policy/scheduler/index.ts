/** Queues of one side: the real one, and first come first served as the line that it must beat. */
export type * from './types.js';
export {createFifoScheduler, type FirstComeState} from './first-come.js';
export {createTieredScheduler} from './tiered.js';
export {type TieredState} from './tiered-state.js';
export {createSettings, type SchedulerSettings} from './settings.js';
export {Rule, type Violation} from './invariants.js';
export {floorWaitBound} from './floor.js';
