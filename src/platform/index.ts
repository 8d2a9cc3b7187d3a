/** Clients of the platform's log, membership list and weight store, and the interfaces that they implement. */
export type * from './types.js';
export {PlatformError, type PlatformFailure} from './error.js';
export type {HttpClientSettings} from './http-caller.js';
export {HttpLogClient} from './log-client.js';
export {HttpMembershipClient, memberSchema} from './membership-client.js';
export {HttpWeightStoreClient} from './weight-store-client.js';
export {CatalogueFollower} from './catalogue-follower.js';
export {defaultFollowerTimes, type AuditEntry, type FollowerOptions, type FollowerTimes, type RecordsResponse} from './catalogue-follower-options.js';
export {readCatalogue, type FoldedStream, type AppliedRecord} from './catalogue-stream.js';
export {HttpCaller} from './http-caller.js';
export {QuarantineLedger, quarantineStream, type QuarantineLedgerSettings} from './quarantine-ledger.js';
export {handleCatalogueMessage, type CatalogueMessage} from './catalogue-peer.js';
export {limitReceivedBytes} from './byte-limit.js';
export {watchAnswer, type AnswerWatch} from './answer-watch.js';
export {watchConnection} from './connection-watch.js';
export {abortOnSignal, abortRequest} from './abort-request.js';
