/** Which peers an instance connects to, how many instances there may be, and how often it polls the store. */
export * from './neighbours.js';
export * from './polling.js';
export * from './possible-instances.js';
export * from './view.js';
