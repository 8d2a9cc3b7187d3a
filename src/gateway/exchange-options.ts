import {type AlarmEvent} from '../concurrency/index.js';
import {type RoutingTable, type Route, type Workspace} from '../routing/index.js';
import {type Outcome} from './attempt-state.js';
import {type Caller} from './caller.js';
import {type ConnectionPools} from './connection-pools.js';
import {type Decision} from './decision.js';
import {type DecisionLog} from './decision-log.js';
import {type Dispatcher} from './dispatcher.js';
import {type RawHeaders, type RequestCodec, type RequestMetadata} from './types.js';

/** One request, what it is judged by, and the parts that serve it. */
export type ExchangeOptions = {
	readonly facts: RequestMetadata;
	readonly method: string;
	readonly path: string;
	readonly rawHeaders: RawHeaders;
	readonly body: Uint8Array | undefined;
	readonly table: RoutingTable;
	readonly route: Route;
	readonly service: string;
	readonly workspace: Workspace | undefined;
	readonly caller: Caller;
	readonly codec: RequestCodec;
	readonly dispatcher: Dispatcher;
	readonly channels: ConnectionPools;
	readonly log: DecisionLog;
	/** When its first byte was here, on the monotonic clock. */
	readonly arrivedAt: number;
};

/** What an exchange waits for. Events of an attempt carry its number, so that a stale one shows. */
export type ExchangeEvent
	= | AlarmEvent
		| {readonly type: 'left'}
		| {readonly type: 'drained'}
		| {readonly type: 'decided'; readonly decision: Decision}
	/** What bytes have led to; those that go on are passed in the turn in which they came. */
		| {readonly type: 'outcome'; readonly number: number; readonly outcome: Outcome};
