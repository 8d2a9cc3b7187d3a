/** The check of a routing table before it is published: what is wrong by itself, and what differs from the version in force. */
export {checkSuccession, checkTable} from './check.js';
export {compareTables} from './difference.js';
export {fingerprintOf} from './keys.js';
export {messageOf} from './messages.js';
export {renderReport} from './render.js';
export type * from './comparison.js';
export * from './findings.js';
export type * from './places.js';
export type * from './reader.js';
export type * from './report.js';
