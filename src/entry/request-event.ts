import {type StreamMessage} from '../wire/index.js';
import {type SideLink} from './side-link.js';

/** The events of a request in progress, which arrive in its single inbox in order. */
export type RequestEvent
	= | {readonly type: 'frame'; readonly link: SideLink; readonly message: StreamMessage}
		| {readonly type: 'link-lost'; readonly link: SideLink}
		| {readonly type: 'caller-left'}
	/** The request's timer fired. The event is stale if the timer was set again since; `hasFired` is then false. */
		| {readonly type: 'alarm'}
	/** The idempotency key belongs to another request or could not be claimed: the request must not run. */
		| {readonly type: 'claim-stopped'};

/** Capacity of an inbox in events: more than one credit window plus the few control frames of an attempt. */
export const inboxCapacity = 1000;
