/**
 * At-most-once by key, as a fold over the records of the log.
 *
 * Load pattern: a caller that lost its answer sends a kitchen ticket again, often through another
 * entry and at the same instant. Without this fold both run. The first record for a key in log order
 * wins, so two claimants, a repeated append and a lost answer all come to the same winner.
 */
export {claimPartitions, isInWindow, keyExpired, keySkewMilliseconds, keyWindowMilliseconds, parseClaimKey, streamOfPartition, type ClaimKey, type ParsedKey} from './key.js';
export {claimBatchSchema, type ClaimBatch, type ClaimItem} from './records.js';
export {createClaims, foldClaims, holderOf, skipTo, type Claims, type Holder} from './fold.js';
export {createAnswers, findAnswer, keepAnswer, largestAnswersBytes, type KeptAnswer, type KeptAnswers} from './answers.js';
export type {LogEntry} from './log-entry.js';
