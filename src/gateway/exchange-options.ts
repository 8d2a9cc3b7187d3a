import {type RoutingTable, type Route, type Workspace} from '../routing/index.js';
import {type Caller} from './caller.js';
import {type ChannelBook} from './channel-book.js';
import {type DecisionLog} from './decision-log.js';
import {type Dispatcher} from './dispatcher.js';
import {type RawHeaders, type RequestCodec, type RequestFacts} from './types.js';

/** One request, what it is judged by, and the parts that serve it. */
export type ExchangeOptions = {
	readonly facts: RequestFacts;
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
	readonly channels: ChannelBook;
	readonly log: DecisionLog;
	/** When its first byte was here, on the monotonic clock. */
	readonly arrivedAt: number;
};
