import {type PartLogger} from '../telemetry/index.js';
import {type RequestCodec} from './adapter/index.js';
import {type CrashLedger} from './crashes/index.js';
import {type UsageCounter} from './duties/index.js';
import {type ConnectionPools} from './endpoints/index.js';
import {type EventLoopMonitor} from './event-loop-monitor.js';
import {type LoopLateness} from './loop-lateness.js';
import {type Dispatcher} from './placement/index.js';
import {type DecisionLog} from './requests/index.js';
import {type StreamRegistry} from './streams/index.js';
import {type RoutingState} from './table/index.js';

/** Address and limits of a gateway's HTTP server, and the parts that serve its requests. */
export type GatewayOptions = {
	readonly host: string;
	readonly port: number;
	/** Limit for the bodies of all requests, in bytes. */
	readonly maxBodyMemoryBytes: number;
	/** Limit for what is held of the answers of all requests, in bytes; one that holds little is not counted against it. */
	readonly maxResponseMemoryBytes: number;
	readonly routingState: RoutingState;
	readonly dispatcher: Dispatcher;
	readonly connectionPools: ConnectionPools;
	readonly codec: RequestCodec;
	readonly crashes: CrashLedger;
	readonly streams: StreamRegistry;
	readonly log: DecisionLog;
	readonly eventLoopMonitor: EventLoopMonitor;
	readonly lateness: LoopLateness;
	readonly logger: PartLogger;
	/** Counts requests that begin to run; absent where nothing is counted. */
	readonly usage?: UsageCounter | undefined;
};
