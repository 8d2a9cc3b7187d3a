/** Claims of idempotency keys: at-most-once for requests that may not be repeated. */
export {ClaimKeeper, type ClaimKeeperSettings, type ClaimOutcome, type ClaimRequest} from './keeper.js';
