/** Whom to send where, who waits, who is refused: decisions for opaque requests, without I/O. */
export * from './tuning.js';
export type * from './demand.js';
export * from './load.js';
export * from './part-memory.js';
export * from './placement.js';
export * from './contention.js';
export * from './endpoint-health.js';
export * from './retry-share.js';
export * from './waiting-line.js';
export * from './speed.js';
export * from './forecast.js';
export * from './load-rows.js';
export * from './peer-lines.js';
export * from './line-looks.js';
export * from './not-ready.js';
export * from './patience.js';
