/** The process behind the load balancer: accepts callers' requests and returns the responses of endpoints. */
export {Entry, type EntryOptions} from './entry.js';
export type {CatalogueSource} from './catalogue-source.js';
export type {Caller} from './admission.js';
export type {CallEnd} from './call-end.js';
export {EntryTelemetry} from './entry-telemetry.js';
