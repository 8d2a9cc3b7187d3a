import {FailureKind} from '../../model/index.js';
import {type SchedulerAction} from './types.js';

/**
 * Why a reservation is refused. Each becomes a response that says "not run" and when to retry. `hopeless`: it
 * is expected to reach its queue timeout before it gets a slot; `lapsed`: its offer was not answered in time; `backingOff`: the endpoint
 * has asked for a backoff that ends after the queue timeout, or that began after the offer.
 */
export const RefusalReason = {
	full: 'full', expired: 'expired', hopeless: 'hopeless', lapsed: 'lapsed', leaving: 'leaving', down: 'down', backingOff: 'backing-off', unknown: 'unknown',
} as const;
export type RefusalReason = (typeof RefusalReason)[keyof typeof RefusalReason];

/** Creates a refusal. Its retry delay is at least `minimumRetryMilliseconds`, so that a refused caller does not retry in a tight loop. */
export function refuse(id: string, reason: RefusalReason, retryAfterMilliseconds: number): SchedulerAction {
	const {kind, message} = responses[reason];
	return {type: 'refuse', id, kind, message, retryAfterMilliseconds: Math.ceil(Math.max(minimumRetryMilliseconds, retryAfterMilliseconds))};
}

const minimumRetryMilliseconds = 50;

const responses: Readonly<Record<RefusalReason, {kind: FailureKind; message: string}>> = {
	[RefusalReason.full]: {kind: FailureKind.queueFull, message: 'The queue is full.'},
	[RefusalReason.expired]: {kind: FailureKind.queueTimeout, message: 'The request reached the queue timeout of its class.'},
	[RefusalReason.hopeless]: {kind: FailureKind.queueTimeout, message: 'The request would exceed the queue timeout of its class.'},
	[RefusalReason.lapsed]: {kind: FailureKind.queueTimeout, message: 'The offered slot was not used in time.'},
	[RefusalReason.leaving]: {kind: FailureKind.stopping, message: 'The endpoint is draining.'},
	[RefusalReason.down]: {kind: FailureKind.noEndpoint, message: 'The endpoint does not respond.'},
	[RefusalReason.backingOff]: {kind: FailureKind.queueTimeout, message: 'The endpoint has asked for a backoff.'},
	[RefusalReason.unknown]: {kind: FailureKind.queueTimeout, message: 'The request no longer holds a slot.'},
};
