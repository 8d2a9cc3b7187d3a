/** The process behind the load balancer: accepts callers' requests and returns the responses of endpoints. */
export {Entry, type CatalogueSource, type EntryOptions} from './entry.js';
export type {Caller} from './admission.js';
export type {CallEnd} from './model-call.js';
export {EntryTelemetry} from './entry-telemetry.js';
