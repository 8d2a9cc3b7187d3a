/** What the store says: routing table, endpoints, instances, crashes. */
export * from './feed-follower.js';
export * from './store-feeds.js';
