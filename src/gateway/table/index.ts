/** The newest routing table and endpoints. */
export * from './routing-state.js';
