/** Memory that all requests of an instance share. */
export * from './memory-pool.js';
