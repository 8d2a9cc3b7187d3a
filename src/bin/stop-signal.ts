import {LogLimit, type PartLogger} from '../telemetry/index.js';
import {firstStopSignal, onSignal, type StopSignal} from './early-signals.js';

const logMilliseconds = 1000;

/** Resolves on the first SIGTERM or SIGINT, by which the platform or an operator requests a graceful shutdown; at once if it came before. */
export async function stopSignal(): Promise<StopSignal> {
	return firstStopSignal() ?? new Promise(resolve => {
		const registration = onSignal(signal => {
			if (signal !== 'SIGHUP') {
				registration[Symbol.dispose]();
				resolve(signal);
			}
		});
	});
}

/** Logs signals that change nothing: any during a graceful shutdown, which ends by itself, and SIGHUP in a program whose settings are read once. */
export function logIgnoredSignals(log: PartLogger, reloads: 'reloads' | 'reads-settings-once'): Disposable {
	const limit = LogLimit.create({intervalMilliseconds: logMilliseconds, maxKeys: 3});
	const startedAt = performance.now();
	return onSignal(signal => {
		const isStopping = firstStopSignal() !== undefined;
		const isIgnored = signal === 'SIGHUP' ? reloads === 'reads-settings-once' || isStopping : isStopping;
		if (isIgnored && limit.allows(signal)) {
			log.info('Signal taken, nothing changes.', {signal, isStopping, milliseconds: Math.round(performance.now() - startedAt)});
		}
	});
}
