/**
 * The times of a stop, from when it was asked for. Load pattern: an event loop in a long turn reads its signal late, while the platform counts the time
 * until it kills the process from the sending. Counted from the reading, the stop began long streams that its end cut off, and the kill came
 * before that end, without an answer or a line in the log. When the signal was sent is known between two moments only: the stop ends late enough for
 * the one and early enough for the other. Where it cannot, it begins nothing that its end might cut off, and what runs goes on into the last share of
 * the time, in which callers reckon with a cut whoever makes it: an earlier end would break off what a kill may not even reach.
 */
import {type StopTimes} from './last-start.js';

/** When a stop was asked for, at the earliest, and when that was read. Milliseconds of the monotonic clock. */
export type StopRequestTime = {readonly earliestAt: number; readonly readAt: number};

/** What has not ended so long before the platform kills the process is answered, so that its answer and its line are written before. */
const endMarginMilliseconds = 800;
/** The margin that is left where the signal may have been sent long before it was read. */
const leastMarginMilliseconds = 400;
/** Callers reckon with it that what still runs in this last share of the time is cut off, if it was sent in the first seconds. */
const lastShare = 1 / 6;

/** The times of a stop of `graceMilliseconds`, in which the port is open, and long streams are begun, for the first `listenMilliseconds`. */
export function stopTimesOf({earliestAt, readAt}: StopRequestTime, {graceMilliseconds, listenMilliseconds}: {readonly graceMilliseconds: number; readonly listenMilliseconds: number}): StopTimes {
	const certainUntil = Math.min(readAt + graceMilliseconds - endMarginMilliseconds, earliestAt + graceMilliseconds - leastMarginMilliseconds);
	const lastShareAt = readAt + (graceMilliseconds * (1 - lastShare));
	const isCertain = readAt - earliestAt <= Math.max(0, (graceMilliseconds * lastShare) - leastMarginMilliseconds);
	return isCertain ? {endsAt: certainUntil, lastStreamAt: earliestAt + listenMilliseconds} : {endsAt: Math.max(certainUntil, lastShareAt), certainUntil, lastStreamAt: -Infinity};
}
