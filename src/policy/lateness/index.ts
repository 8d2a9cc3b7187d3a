/** What an instance that is late in its own event loop does first, and what it gives to others. */
export * from './accept-turns.js';
export * from './intake.js';
export * from './intake-queue.js';
export * from './intake-rates.js';
export * from './loop-lag.js';
export * from './time-limits.js';
