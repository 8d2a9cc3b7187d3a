/** The schedule of an instance that stops. */
export * from './stop-schedule.js';
