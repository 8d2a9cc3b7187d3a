/** One request from its arrival to the final response. */
export * from './caller.js';
export * from './decision-log.js';
export * from './event-splitter.js';
export * from './exchange.js';
export * from './placement-request.js';
export {deadlineOf} from './request-end.js';
