import csp, {type Channel} from 'js-csp';
import {type Body} from './process.js';

/** Creates a channel that buffers at most `capacity` values; further writers wait. */
export function channel<Value>(capacity: number): Channel<Value> {
	return csp.chan<Value>(capacity);
}

/** Waits for the next value; returns `undefined` if the channel is closed and empty. */
export function * receive<Value>(source: Channel<Value>): Body<Value | undefined> {
	const value = (yield csp.take(source)) as Value | typeof csp.CLOSED;
	return value === csp.CLOSED ? undefined : value;
}

/** Waits until the channel accepts the value; returns false if the channel was closed. */
export function * send<Value>(target: Channel<Value>, value: Value): Body<boolean> {
	return (yield csp.put(target, value)) as boolean;
}

/** Puts the value into the channel without waiting; returns false if the channel is full or closed. */
export function tryDeliver<Value>(target: Channel<Value>, value: Value): boolean {
	return !target.closed && csp.offer(target, value);
}

/** Takes a value without waiting; returns `undefined` if none is buffered. */
export function tryReceive<Value>(source: Channel<Value>): Value | undefined {
	const value = csp.poll(source);
	return value === csp.NO_VALUE || (value as unknown) === csp.CLOSED ? undefined : value;
}

/** Suspends the process for `milliseconds`. */
export function * sleep(milliseconds: number): Body<void> {
	yield csp.take(csp.timeout(milliseconds));
}

type Settled<Value> = {ok: true; value: Value} | {ok: false; error: unknown};

/** Waits for a promise; a rejection is rethrown inside the process. */
export function * wait<Value>(promise: Promise<Value>): Body<Value> {
	const settled = csp.chan<Settled<Value>>(1);
	promise.then(
		value => {
			csp.putAsync(settled, {ok: true, value});
		},
		(error: unknown) => {
			csp.putAsync(settled, {ok: false, error});
		},
	);
	const result = (yield csp.take(settled)) as Settled<Value>;
	if (!result.ok) {
		throw result.error;
	}

	return result.value;
}

/** The result of a wait with a timeout: a value, the end of the channel or the timeout, whichever came first. */
export type Selected<Value>
	= | {type: 'value'; value: Value}
		| {type: 'closed'}
		| {type: 'timeout'};

/** Waits for the next value, for at most `milliseconds`. */
export function * receiveWithin<Value>(source: Channel<Value>, milliseconds: number): Body<Selected<Value>> {
	const ready = tryReceive(source);
	if (ready !== undefined) {
		return {type: 'value', value: ready};
	}

	const timer = csp.timeout(milliseconds);
	const result = (yield csp.alts([source, timer], {priority: true})) as {channel: unknown; value: Value | typeof csp.CLOSED};
	if (result.channel === timer) {
		return {type: 'timeout'};
	}

	return result.value === csp.CLOSED ? {type: 'closed'} : {type: 'value', value: result.value};
}

/**
 * Puts a value into the channel even if the channel is full. Returns false if the put is pending; `onAccepted`
 * is then called once the channel has accepted the value. The caller must stop producing until then, for
 * example by pausing its socket. A value for a closed channel is dropped.
 */
export function deliver<Value>(target: Channel<Value>, value: Value, onAccepted: () => void): boolean {
	if (target.closed || tryDeliver(target, value)) {
		return true;
	}

	csp.putAsync(target, value, onAccepted);
	return false;
}
