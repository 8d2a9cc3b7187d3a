/** Whom an instance talks to, and how often it asks the store. */
export * from './neighbours.js';
export * from './reading-pace.js';
export * from './view.js';
