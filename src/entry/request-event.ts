import {type StreamMessage} from '../wire/index.js';
import {type SideIdentity} from './side-identity.js';

/** The link that an event comes from: an open `SideLink`, which its receiver compares with those it uses. */
export type EventLink = {readonly identity: SideIdentity | undefined};

/** The events of a request in progress, which arrive in its single inbox in order. */
export type RequestEvent
	= | {readonly type: 'frame'; readonly link: EventLink; readonly message: StreamMessage}
		| {readonly type: 'link-lost'; readonly link: EventLink}
		| {readonly type: 'caller-left'}
	/** The request's timer fired. The event is stale if the timer was set again since; `hasFired` is then false. */
		| {readonly type: 'alarm'}
	/** The idempotency key belongs to another request or could not be claimed: the request must not run. */
		| {readonly type: 'claim-stopped'};

/** Capacity of an inbox in events: more than one credit window plus the few control frames of an attempt. */
export const inboxCapacity = 1000;
