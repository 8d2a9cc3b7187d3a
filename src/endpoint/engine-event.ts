import {type Failure} from '../model/index.js';

/** One checked event of an engine's response. `data` is the JSON text as the engine sent it. */
export type EngineEvent
	= | {readonly type: 'token'; readonly index: number; readonly data: string}
		| {readonly type: 'usage'; readonly data: string}
	/** The engine sent `[DONE]`: the response is complete. */
		| {readonly type: 'done'}
	/** The last event of a failed response; the events before it are valid. */
		| {readonly type: 'failed'; readonly failure: Failure};
