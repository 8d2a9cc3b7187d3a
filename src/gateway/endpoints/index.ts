/** Connections to endpoints, and what endpoints state about themselves. */
export * from './connection-pool.js';
export * from './connection-pools.js';
export * from './prompt-cache-reader.js';
export * from './service-samples.js';
export * from './statement-registry.js';
