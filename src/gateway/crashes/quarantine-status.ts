import {crashThresholdOf, type NamedCrash, quarantineMilliseconds} from '../../policy/quarantine/index.js';
import {type CrashWeight} from './crash-records.js';

/** A request is refused, and for how long: it, or a part of its prompt, has crashed endpoints, or may have while some of these crashes are not certain. */
export type QuarantineStatus = {readonly type: 'quarantined' | 'suspected'; readonly fingerprint: string; readonly crashes: number; readonly runs: number; readonly remainingMilliseconds: number};

/** When a request may come back that is refused for crashes that are not certain, or runs elsewhere: most are certain, refuted or outweighed within this time. */
const suspectedRetryMilliseconds = 2000;
/** With so many crashes, and no run, what has failed is not sent on. */
const suspectCrashes = 3;

/** The status of a request or a part by what counts against it; undefined if it may be sent. */
export function quarantineStatusOf(fingerprint: string, {certain, possible, runs, crashes}: CrashWeight, now: number): QuarantineStatus | undefined {
	const threshold = crashThresholdOf(fingerprint);
	if (certain >= threshold) {
		const remainingMilliseconds = runs > 0 ? suspectedRetryMilliseconds : remainingOf(crashes, {threshold, now});
		return {type: 'quarantined', fingerprint, crashes: crashes.length, runs, remainingMilliseconds};
	}

	return possible < threshold ? undefined : {type: 'suspected', fingerprint, crashes: possible, runs, remainingMilliseconds: suspectedRetryMilliseconds};
}

/**
 * Whether what has failed must not be sent to another endpoint. Stricter than for a new request: what is suspected, without having run once, most
 * likely caused this failure too, and its caller may try again once more is known.
 */
export function isSuspectAfterFailure({possible, runs}: CrashWeight): boolean {
	return runs === 0 && possible >= suspectCrashes;
}

/** Until fewer crashes than quarantine a request count, in milliseconds. */
function remainingOf(crashes: readonly NamedCrash[], {threshold, now}: {threshold: number; now: number}): number {
	const times = crashes.map(({time}) => time).toSorted((left, right) => right - left);
	return times[threshold - 1]! + quarantineMilliseconds - now;
}
