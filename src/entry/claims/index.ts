/** Claims of idempotency keys: at-most-once for requests that may not be repeated. */
export {ClaimGuard, type ClaimStop} from './claim-guard.js';
export {eventsOf, keepEvents, type EventAnswer} from './event-answer.js';
export {ClaimManager, type ClaimKeeperSettings, type ClaimOutcome, type ClaimRequest} from './keeper.js';
