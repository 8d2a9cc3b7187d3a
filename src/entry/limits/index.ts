/** Fleet-wide limits at an entry: admission by shares leased from the allocators, and allocation for other entries. */
export {Limiter, type LimiterOptions} from './limiter.js';
