import {type Failure} from '../model/index.js';

/** The result of a model call; `tokens` counts the token events passed to the caller. */
export type CallEnd
	= | {readonly type: 'whole'; readonly tokens: number; readonly firstTokenMilliseconds: number | undefined; readonly attempts: number}
		| {readonly type: 'failed'; readonly failure: Failure; readonly tokens: number; readonly attempts: number}
		| {readonly type: 'caller-left'; readonly tokens: number; readonly attempts: number};
