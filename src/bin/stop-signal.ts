import {LogLimit, type PartLogger} from '../telemetry/index.js';
import {firstStopRequest, onSignal, type StopRequest} from './early-signals.js';

const logMilliseconds = 1000;

/** Resolves on the first SIGTERM or SIGINT, by which the platform or an operator requests a graceful shutdown; at once if it came before. */
export async function stopRequest(): Promise<StopRequest> {
	return firstStopRequest() ?? new Promise(resolve => {
		const registration = onSignal(() => {
			const request = firstStopRequest();
			if (request !== undefined) {
				registration[Symbol.dispose]();
				resolve(request);
			}
		});
	});
}

/** What a program logs of a request to stop: the signal, and how late it was read at most. */
export function describeStop({signal, earliestAt, readAt}: StopRequest): {readonly signal: string; readonly lateMilliseconds: number} {
	return {signal, lateMilliseconds: Math.round(readAt - earliestAt)};
}

/** Logs signals that change nothing: any during a graceful shutdown, which ends by itself, and SIGHUP in a program whose settings are read once. */
export function logIgnoredSignals(log: PartLogger, reloads: 'reloads' | 'reads-settings-once'): Disposable {
	const limit = LogLimit.create({intervalMilliseconds: logMilliseconds, maxKeys: 3});
	const startedAt = performance.now();
	return onSignal(signal => {
		const isStopping = firstStopRequest() !== undefined;
		const isIgnored = signal === 'SIGHUP' ? reloads === 'reads-settings-once' || isStopping : isStopping;
		if (isIgnored && limit.allows(signal)) {
			log.info('Signal taken, nothing changes.', {signal, isStopping, milliseconds: Math.round(performance.now() - startedAt)});
		}
	});
}
