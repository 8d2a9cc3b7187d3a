/** What the adapter of a platform provides. */
export type * from './feed.js';
export type * from './request-codec.js';
