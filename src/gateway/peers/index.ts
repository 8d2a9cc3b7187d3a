/** Links to the other gateways. */
export * from './peer-messages.js';
export * from './peer-roster.js';
export * from './peers.js';
