/** Which requests of a connection are served, and which response closes it. */
export * from './connection-state.js';
