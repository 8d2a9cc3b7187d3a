import {type AlarmEvent} from '../../concurrency/index.js';
import {type ConnectionPools} from '../endpoints/index.js';
import {type CrashLedger, type RepeatableRequest} from '../crashes/index.js';
import {type MemoryPool} from '../memory/index.js';
import {type Decision} from '../placement/index.js';
import {type UsageCounter} from '../duties/index.js';
import {type StopSchedule} from '../stopping/index.js';
import {type StreamRegistry} from '../streams/index.js';
import {type RawHeaders, type RequestCodec} from '../adapter/index.js';
import {type DecisionLog, type LoggedRequest} from './decision-log.js';
import {type Caller} from './caller.js';
import {type Outcome} from './attempt-state.js';

/** One request, its routing context, and the components that serve it. */
export type ExchangeOptions = LoggedRequest & {
	readonly rawHeaders: RawHeaders;
	readonly caller: Caller;
	readonly codec: RequestCodec;
	readonly connectionPools: ConnectionPools;
	/** Which requests crash endpoints; `request` identifies this one when it is sent again. */
	readonly crashes: CrashLedger;
	readonly request: RepeatableRequest;
	/** Which builds began streams. */
	readonly streams: StreamRegistry;
	/** What all requests of this instance hold of answers. */
	readonly responseMemory: MemoryPool;
	readonly log: DecisionLog;
	/** Counts requests that begin to run; absent where nothing is counted. */
	readonly usage?: UsageCounter | undefined;
	/** When its headers were read; it can have arrived up to a turn of the event loop before. */
	readonly readAt: number;
	/** By when an instance that stops has answered the request. */
	readonly stop: StopSchedule;
	/** How late this process's event loop is; 0 while it is in time, or if it is not measured. */
	readonly lateness: {readonly isMeasured: boolean; readonly milliseconds: number; readonly longestMilliseconds: number};
};

/** Events that an exchange waits for. Events of an attempt carry its number, so that stale ones are recognised. */
export type ExchangeEvent
	= | AlarmEvent
		| {readonly type: 'left'}
		| {readonly type: 'drained'}
		| {readonly type: 'decided'; readonly decision: Decision}
	/** The search for the next endpoint of a silent attempt was decided. */
		| {readonly type: 'successor'}
	/** The instance has begun to stop, which changes when the request is ended. */
		| {readonly type: 'stopping'}
	/** An error while an attempt's event was handled; it ends the request. */
		| {readonly type: 'error'; readonly error: unknown}
	/** How the received bytes ended an attempt. Bytes that don't end it are forwarded in the event loop turn in which they arrive. */
		| {readonly type: 'outcome'; readonly number: number; readonly outcome: Outcome};
