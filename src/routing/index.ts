/** The routing table that the operator published and the directory of registered endpoints: values without I/O. */
export * from './routing-table.js';
export * from './endpoint-directory.js';
export * from './registrations.js';
export * from './request-targets.js';
export * from './schemas.js';
export * from './urgency-ranks.js';
