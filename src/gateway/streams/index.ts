/** Which build began each stream. */
export * from './build-history.js';
export * from './stream-registry.js';
