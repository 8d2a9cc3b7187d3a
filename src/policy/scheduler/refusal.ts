import {FailureKind} from '../../model/index.js';
import {type SchedulerAction} from './types.js';

/** Why a reservation is refused; each becomes an answer that says "not run" and when to come back. */
export const RefusalReason = {
	full: 'full', expired: 'expired', hopeless: 'hopeless', lapsed: 'lapsed', leaving: 'leaving', down: 'down', unknown: 'unknown',
} as const;
export type RefusalReason = (typeof RefusalReason)[keyof typeof RefusalReason];

/** Makes the refusal. Never sooner than `leastRetryMilliseconds`, so that a refused caller does not spin. */
export function refuse(id: string, reason: RefusalReason, retryAfterMilliseconds: number): SchedulerAction {
	const {kind, message} = answers[reason];
	return {type: 'refuse', id, kind, message, retryAfterMilliseconds: Math.ceil(Math.max(leastRetryMilliseconds, retryAfterMilliseconds))};
}

const leastRetryMilliseconds = 50;

const answers: Readonly<Record<RefusalReason, {kind: FailureKind; message: string}>> = {
	[RefusalReason.full]: {kind: FailureKind.queueFull, message: 'The queue is full.'},
	[RefusalReason.expired]: {kind: FailureKind.queueTimeout, message: 'The request waited as long as its class may.'},
	[RefusalReason.hopeless]: {kind: FailureKind.queueTimeout, message: 'The request would wait longer than its class may.'},
	[RefusalReason.lapsed]: {kind: FailureKind.queueTimeout, message: 'The slot that was offered was not taken in time.'},
	[RefusalReason.leaving]: {kind: FailureKind.stopping, message: 'The endpoint is leaving.'},
	[RefusalReason.down]: {kind: FailureKind.noEndpoint, message: 'The endpoint does not answer.'},
	[RefusalReason.unknown]: {kind: FailureKind.queueTimeout, message: 'No slot is held for this request any more.'},
};
