import {type StreamMessage} from '../wire/index.js';
import {type SideLink} from './side-link.js';

/** What a request in progress hears, all on its one inbox, in the order it happened. */
export type RequestEvent
	= | {readonly type: 'frame'; readonly link: SideLink; readonly message: StreamMessage}
		| {readonly type: 'link-lost'; readonly link: SideLink}
		| {readonly type: 'caller-left'}
		| {readonly type: 'alarm'}
	/** The request's key is another's, or could not be claimed: it must not run. */
		| {readonly type: 'claim-stopped'};

/** Events that may wait in an inbox: more than one credit window and the few control frames of an attempt. */
export const inboxCapacity = 1000;
