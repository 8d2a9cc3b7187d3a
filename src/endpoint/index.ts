/** Clients of model engines and plain services. What they yield is checked, and each failure carries a verdict. */
export {EngineClient, type EngineClientSettings, type EngineRun} from './engine-client.js';
export {EngineControl, type EngineLoad, type EngineOrder, type OrderResult} from './engine-control.js';
export type {EngineEvent} from './engine-event.js';
export {readRetryAfter} from './retry-after.js';
export {
	ServiceClient, type ServiceResponse, type ServiceCall, type ServiceClientSettings,
} from './service-client.js';
