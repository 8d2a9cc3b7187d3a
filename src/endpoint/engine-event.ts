import {type Failure} from '../model/index.js';

/** What an engine's answer consists of, each event checked. `data` is the JSON text as the engine wrote it. */
export type EngineEvent
	= | {readonly type: 'token'; readonly index: number; readonly data: string}
		| {readonly type: 'usage'; readonly data: string}
	/** The engine said that its answer is whole. */
		| {readonly type: 'done'}
	/** Nothing follows; what came before is good. */
		| {readonly type: 'failed'; readonly failure: Failure};
