/** The value types that all parts share: identifiers, tiers, verdicts, failures, request summaries, addresses and log positions. */
export * from './identifiers.js';
export * from './verdict.js';
export * from './failure.js';
export type * from './request.js';
export * from './address.js';
export * from './http-headers.js';
export * from './log-position.js';
