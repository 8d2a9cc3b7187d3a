/** Placement, queueing and refusal of opaque requests: decisions without I/O. */
export * from './tuning.js';
export type * from './demand.js';
export * from './load.js';
export * from './load-event.js';
export * from './prefix-cache.js';
export type * from './kept-value.js';
export * from './placement.js';
export * from './contention.js';
export * from './endpoint-health.js';
export * from './retry-share.js';
export * from './waiting-queue.js';
export * from './speed.js';
export * from './forecast.js';
export * from './load-rows.js';
export * from './peer-queues.js';
export * from './scan-results.js';
export * from './not-ready.js';
export * from './failover.js';
