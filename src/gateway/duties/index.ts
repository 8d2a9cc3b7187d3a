/** Usage counts, and the duties of which one instance at a time takes care. */
export {Duties, type DutiesOptions} from './duties.js';
export type * from './duty-types.js';
export {UsageCounter, type OpenRun} from './usage-counter.js';
export {RequestUsage} from './request-usage.js';
export {TimeKeeper} from './time-keeper.js';
