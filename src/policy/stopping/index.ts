/** What an instance that stops still begins. */
export * from './last-start.js';
export * from './run-times.js';
export * from './stop-times.js';
