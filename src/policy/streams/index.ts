/** Which build began a stream, and where it may go on. */
export * from './origins.js';
export * from './take-up.js';
export * from './served-builds.js';
export * from './next-endpoint.js';
