/** Places, queues and refuses requests; policy/dispatch decides. */
export * from './decision.js';
export * from './dispatcher.js';
export * from './queue-meter.js';
export {observePaces} from './pace-metrics.js';
