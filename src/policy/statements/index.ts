/** What endpoints state about themselves in their responses, and what follows for requests to them. */
export * from './statement.js';
export * from './rate-limit.js';
export {askIntervalMilliseconds, leaseMilliseconds} from './share-lending.js';
export * from './endpoint-statements.js';
