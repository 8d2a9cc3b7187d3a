/**
 * The signals of a program over its whole life. Imported before all other modules: without a listener a signal ends the process, with every request
 * in progress, also while its modules are loading, in a graceful shutdown, or while its parts are disposed of. The listeners are never removed, since
 * signals come in series and overlap; a graceful shutdown ends by itself, and SIGKILL or SIGQUIT end a process at once.
 */
import process from 'node:process';

/** Signals that request a graceful shutdown. */
export type StopSignal = 'SIGTERM' | 'SIGINT';
/** A signal that a program takes. */
export type TakenSignal = StopSignal | 'SIGHUP';
/** A request for a graceful shutdown: when it can have been sent at the earliest, and when it was read, in milliseconds of the monotonic clock. */
export type StopRequest = {readonly signal: StopSignal; readonly earliestAt: number; readonly readAt: number};

/** Interval at which a timer tells when the event loop has turned. */
const turnSampleMilliseconds = 50;
/** A timer in time has run twice within this time. */
const inTimeMilliseconds = 3 * turnSampleMilliseconds;

const listeners = new Set<(signal: TakenSignal) => void>();
let firstStop: StopRequest | undefined;
/** When the timer ran last, and the time before. */
let turnAt = performance.now();
let previousTurnAt = turnAt;

setInterval(() => {
	previousTurnAt = turnAt;
	turnAt = performance.now();
}, turnSampleMilliseconds).unref();

/**
 * A late event loop reads a signal long after it was sent, and the platform counts the time until it kills the process from its sending. A turn runs
 * the timers first: what the turn before had not read was sent after the timer's run before the last one.
 */
function earliestSending(now: number): number {
	return now - previousTurnAt > inTimeMilliseconds ? previousTurnAt : now;
}

function take(signal: TakenSignal): void {
	if (signal !== 'SIGHUP') {
		const now = performance.now();
		firstStop ??= {signal, earliestAt: earliestSending(now), readAt: now};
	}

	for (const listener of listeners) {
		listener(signal);
	}
}

for (const signal of ['SIGTERM', 'SIGINT', 'SIGHUP'] as const) {
	process.on(signal, take);
}

/** The first signal that requested a graceful shutdown, since the process has started; undefined if none has. */
export function firstStopRequest(): StopRequest | undefined {
	return firstStop;
}

/** Calls the listener at each signal, until it is disposed. */
export function onSignal(listener: (signal: TakenSignal) => void): Disposable {
	listeners.add(listener);
	return {
		[Symbol.dispose]() {
			listeners.delete(listener);
		},
	};
}
