import csp, {type Channel} from 'js-csp';
import {type Body} from './process.js';

/** Makes a channel that holds at most `capacity` values before its writers wait. */
export function channel<Value>(capacity: number): Channel<Value> {
	return csp.chan<Value>(capacity);
}

/** Waits for the next value; `undefined` says that the channel is closed and empty. */
export function * receive<Value>(source: Channel<Value>): Body<Value | undefined> {
	const value = (yield csp.take(source)) as Value | typeof csp.CLOSED;
	return value === csp.CLOSED ? undefined : value;
}

/** Waits until the channel takes the value; false says that the channel was closed. */
export function * send<Value>(target: Channel<Value>, value: Value): Body<boolean> {
	return (yield csp.put(target, value)) as boolean;
}

/** Hands over the value only if that needs no waiting; false says the channel is full or closed. */
export function tryDeliver<Value>(target: Channel<Value>, value: Value): boolean {
	return !target.closed && csp.offer(target, value);
}

/** Takes a value only if one is there. */
export function tryReceive<Value>(source: Channel<Value>): Value | undefined {
	const value = csp.poll(source);
	return value === csp.NO_VALUE || (value as unknown) === csp.CLOSED ? undefined : value;
}

/** Suspends the process for a time in milliseconds. */
export function * sleep(milliseconds: number): Body<void> {
	yield csp.take(csp.timeout(milliseconds));
}

type Settled<Value> = {ok: true; value: Value} | {ok: false; error: unknown};

/** Waits for a promise; a rejection is thrown inside the process. */
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

/** What a wait over two channels met first. */
export type Selected<Value>
	= | {type: 'value'; value: Value}
		| {type: 'closed'}
		| {type: 'timeout'};

/** Waits for the next value, but no longer than `milliseconds`. */
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
 * Hands over a value even if the channel is full: false says that it waits, and `onRoom` is called
 * when it was taken. The caller must stop producing until then, as a paused socket does.
 */
export function deliver<Value>(target: Channel<Value>, value: Value, onRoom: () => void): boolean {
	if (target.closed || tryDeliver(target, value)) {
		return true;
	}

	csp.putAsync(target, value, onRoom);
	return false;
}
