/** Claims of idempotency keys: at-most-once execution for requests that may not be repeated. */
export {ClaimGuard, type ClaimStop} from './claim-guard.js';
export {decodeEvents, encodeEvents, type EventResponse} from './event-response.js';
export {ClaimManager, type ClaimManagerSettings, type ClaimOutcome, type ClaimRequest} from './claim-manager.js';
