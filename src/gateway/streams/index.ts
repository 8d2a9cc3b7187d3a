/** Which build began each stream. */
export * from './build-memory.js';
export * from './stream-registry.js';
