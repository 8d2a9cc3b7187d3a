import {type InstanceId, type ZoneName} from '../../model/index.js';
import {type LoadEvent, type RetryAllowance, type SlackSharing, type Tuning} from '../../policy/dispatch/index.js';
import {type PartLogger} from '../../telemetry/index.js';
import {type RoutingState} from '../table/index.js';
import {type EndpointIncarnation, type RateLimitReport} from '../endpoints/index.js';

/** What the dispatcher decides by, and receivers of what other instances need. */
export type DispatcherOptions = {
	/** Identifies this start of the instance; the ids of its runs contain it. */
	readonly incarnation: InstanceId;
	readonly zone: ZoneName;
	readonly routingState: RoutingState;
	readonly logger: PartLogger;
	readonly allowance: RetryAllowance;
	readonly slackSharing: () => SlackSharing;
	readonly random: () => number;
	readonly tuning: Tuning;
	/** Called with load events of this instance that other instances need. */
	readonly onLoad: (event: LoadEvent) => void;
	/** Name of this instance, and of the others that may send to the same endpoints. */
	readonly instance: string;
	readonly instances: () => readonly string[];
	/** Called with what is to be sent to the other instances about the rate limit of an endpoint. */
	readonly onRateLimitReport: (report: RateLimitReport) => void;
	/** Called with the endpoints whose shares of the other instances are wanted. */
	readonly onSharesWanted: (endpoints: readonly EndpointIncarnation[], now: number) => void;
};
