/** The process behind the balancer: callers' requests in, answers out. */
export {Entry, type CatalogueSource, type EntryOptions} from './entry.js';
export type {Caller} from './admission.js';
export type {CallEnd} from './model-call.js';
export {EntryTelemetry} from './entry-telemetry.js';
