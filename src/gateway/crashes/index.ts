/** Which requests, and which parts of their prompts, crash the endpoints that run them. */
export * from './crash-archive.js';
export * from './crash-ledger.js';
export * from './crash-monitor.js';
export * from './crash-records.js';
export {isEmptyNews} from './forwarded-news.js';
export * from './quarantine-status.js';
export * from './registration-watch.js';
export * from './repeatable-request.js';
