/** What becomes of connections to an endpoint that has restarted. */
export * from './earlier-incarnation.js';
