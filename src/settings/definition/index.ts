/** What a setting is, and the error that lists invalid ones. */
export * from './definition.js';
