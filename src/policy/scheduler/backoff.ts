/**
 * The backoff that an endpoint asks for when it refuses a request. Load pattern: an endpoint is short of capacity for some seconds while
 * requests wait for it. Without this each slot that a refusal frees goes to the next request, so that the whole queue is refused within
 * milliseconds and the endpoint has to answer all of it.
 */
import {maxBackoffMilliseconds} from '../statements/index.js';
import {remove, withoutActions} from './reservations.js';
import {refuse, RefusalReason} from './refusal.js';
import {type TieredState} from './tiered-state.js';
import {type SchedulerStep} from './types.js';

/**
 * Begins a backoff, or prolongs the one in force. Offers are withdrawn, and requests that can't get a slot in time any more are refused at
 * once, so that their entries can try other sides. The others keep their places in the queue.
 */
export function backOff(state: TieredState, milliseconds: number, now: number): SchedulerStep<TieredState> {
	const backoffUntil = Math.max(state.backoffUntil, now + Math.min(milliseconds, maxBackoffMilliseconds));
	if (backoffUntil <= now) {
		return withoutActions(state);
	}

	const {waiting, holders} = state.reservations;
	const offered = [...holders.values()].filter(({phase}) => phase === 'offered');
	const late = [...waiting.values()].filter(({expiresAt}) => expiresAt < backoffUntil);
	let {reservations} = state;
	for (const {id} of [...offered, ...late]) {
		reservations = remove(reservations, id);
	}

	const actions = [...offered, ...late].map(({id}) => refuse(id, RefusalReason.backingOff, backoffUntil - now));
	return {state: {...state, reservations, backoffUntil}, actions};
}
