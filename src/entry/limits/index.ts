/** Fleet-wide limits at an entry: shares from the keepers, and keeping for others. */
export {Limiter, type LimiterOptions} from './limiter.js';
