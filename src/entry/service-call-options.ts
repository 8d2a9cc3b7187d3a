import {type PipelinedResponse} from '../connections/index.js';
import {type RequestSummary} from '../model/index.js';
import {type QuarantineLedger} from '../platform/index.js';
import {type ClaimManager, type ClaimRequest} from './claims/index.js';
import {type EntryTelemetry} from './entry-telemetry.js';
import {type Fleet} from './fleet.js';
import {type RetryController} from './retry-controller.js';
import {type ServiceBody} from './service-body.js';
import {type StopSchedule} from './stop-schedule.js';

/** What one call of a plain service needs. */
export type ServiceCallOptions = {
	readonly telemetry: EntryTelemetry;
	readonly fleet: Fleet;
	readonly summary: RequestSummary;
	readonly method: string;
	readonly path: string;
	readonly headers: Readonly<Record<string, string>>;
	readonly body: ServiceBody;
	readonly response: PipelinedResponse;
	readonly arrivedAt: number;
	readonly retries: RetryController;
	readonly stop: StopSchedule;
	/** Records of requests that crash endpoints. */
	readonly quarantine?: QuarantineLedger;
	/** Set for a call that may run at most once under its idempotency key. */
	readonly claim?: {readonly manager: ClaimManager; readonly request: ClaimRequest};
};
