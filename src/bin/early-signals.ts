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

const listeners = new Set<(signal: TakenSignal) => void>();
let firstStop: StopSignal | undefined;

function take(signal: TakenSignal): void {
	if (signal !== 'SIGHUP') {
		firstStop ??= signal;
	}

	for (const listener of listeners) {
		listener(signal);
	}
}

for (const signal of ['SIGTERM', 'SIGINT', 'SIGHUP'] as const) {
	process.on(signal, take);
}

/** The first signal that requested a graceful shutdown, since the process has started; undefined if none has. */
export function firstStopSignal(): StopSignal | undefined {
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
