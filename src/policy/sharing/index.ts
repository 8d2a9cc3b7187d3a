/** Which peers an instance connects to, and how often it polls the store. */
export * from './neighbours.js';
export * from './polling.js';
export * from './view.js';
