/**
 * At-most-once by key, as a fold over the records of the log.
 *
 * Load pattern: a caller that lost its answer sends a kitchen ticket again, often through another
 * entry and at the same instant. Without this fold both run. The first record for a key in log order
 * wins, so two claimants, a repeated append and a lost answer all come to the same winner.
 */
export {claimPartitions, isInWindow, createKeyExpiredFailure, keySkewMilliseconds, keyWindowMilliseconds, parseClaimKey, streamOfPartition, type ClaimKey, type ParsedKey} from './key.js';
export {claimBatchSchema, type ClaimBatch, type ClaimItem} from './records.js';
export {createClaims, foldClaims, holderOf, skipToOffset, type Claims, type Holder} from './fold.js';
export {createResponseCache, findResponse, cacheResponse, largestAnswersBytes, type CachedResponse, type ResponseCache} from './answers.js';
export type {LogEntry} from './log-entry.js';
