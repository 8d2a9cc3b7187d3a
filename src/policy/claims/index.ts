/**
 * At-most-once execution by idempotency key, as a fold over the records of the log.
 *
 * Load pattern: a caller that lost its response sends a kitchen ticket again, often through another
 * entry and at the same time. Without this fold both requests run. The first record for a key in log order
 * wins, so two claimants, a repeated append and a lost response all lead to the same winner.
 */
export {claimPartitions, createKeyExpiredFailure, isInWindow, keySkewMilliseconds, keyWindowMilliseconds, parseClaimKey, streamOfPartition, type ClaimKey, type ParsedKey} from './key.js';
export {claimBatchSchema, type ClaimBatch, type ClaimItem} from './records.js';
export {createClaims, foldClaims, holderOf, skipToOffset, type Claims, type Holder} from './fold.js';
export {cacheResponse, createResponseCache, findResponse, maxResponseCacheBytes, type CachedResponse, type ResponseCache} from './response-cache.js';
export type {LogEntry} from './log-entry.js';
