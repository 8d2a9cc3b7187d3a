import {type EndpointId, type InstanceId, type TargetName, type ZoneName} from '../model/index.js';
import {type CatalogueMessage, type QuarantineLedger} from '../platform/index.js';
import {type Scheduler} from '../policy/scheduler/index.js';
import {type PartLogger} from '../telemetry/index.js';
import {type Message, type Security} from '../wire/index.js';
import {type Backend} from './request-executor-options.js';
import {type SideTelemetry} from './side-telemetry.js';

/** Identity and address of a side, its endpoint and the policy of its queue. */
export type SideOptions<State> = {
	readonly instance: InstanceId;
	readonly endpoint: EndpointId;
	readonly targets: readonly TargetName[];
	readonly zone: ZoneName;
	readonly host: string;
	readonly port: number;
	readonly security: Security;
	readonly backend: Backend;
	readonly scheduler: Scheduler<State>;
	readonly logger: PartLogger;
	/** Metrics and the decision journal; if omitted, the side creates its own. */
	readonly telemetry?: SideTelemetry;
	readonly catalogueOffset: () => number;
	/** Receives `hello`, `heartbeat`, `pull` and `records` of each entry, by which the catalogue is replicated. */
	readonly onPeerMessage?: (message: CatalogueMessage, reply: (message: Message) => void) => void;
	/** The records of requests that crash endpoints, and the health check of this endpoint. */
	readonly quarantine?: {readonly ledger: QuarantineLedger; readonly isHealthy: () => Promise<boolean>};
};
