import {type EngineClient, type ServiceClient} from '../endpoint/index.js';
import {type EndpointId, type InstanceId} from '../model/index.js';
import {type QuarantineLedger} from '../platform/index.js';
import {type Outcome, type Scheduler} from '../policy/scheduler/index.js';
import {type SideTelemetry} from './side-telemetry.js';

/** What a request executor needs: the endpoint's client, the policy of its queue, and what follows from its observations. */
export type RequestExecutorOptions<State> = {
	readonly backend: Backend;
	readonly scheduler: Scheduler<State>;
	/** Metrics and the decision journal; if omitted, the executor creates its own. */
	readonly telemetry?: SideTelemetry;
	readonly instance: InstanceId;
	readonly endpoint: EndpointId;
	readonly quarantine?: {readonly ledger: QuarantineLedger; readonly isHealthy: () => Promise<boolean>};
	/** Called when a run shows that the endpoint is down, before its entry is notified. */
	readonly onEndpointDown: () => void;
	/** Called when the endpoint has refused a run and asked for a backoff, which the scheduler then observes. */
	readonly onBackoff?: (milliseconds: number) => void;
};

/** The client for the endpoint, by kind of endpoint. */
export type Backend
	= | {readonly type: 'engine'; readonly client: EngineClient}
		| {readonly type: 'service'; readonly client: ServiceClient};

/** Runs by outcome, refused reservations and produced tokens of one side. */
export type RunCounts = Record<Outcome | 'refused' | 'tokens', number>;
