/**
 * How long requests of each route take, from their first sending to the end of the response. Load pattern: an instance stops while short orders and
 * long streams arrive; what it still begins must end before the process does, and how long a request will take is only known from those before it.
 */

/** A smoothed mean and a smoothed deviation from it, in milliseconds. */
type RunTime = {readonly mean: number; readonly deviation: number};

/** Weights of a new value, and deviations above the mean that a request may take, as for the timeout of a retransmission in RFC 6298. */
const weights = {mean: 1 / 8, deviation: 1 / 4};
const deviations = 4;
/** The first run tells little of how long others take: the deviation starts at this share of the route's timeout, and follows the runs from there. */
const firstDeviationShare = 1 / 8;
/** Routes come and go with changes of the routing table. */
const maxRoutes = 1000;

/** Run times by route; the route that was longest without a request comes first. */
export type RunTimes = Map<string, RunTime>;

/** Adds to the given run times that of a request that has ended. */
export function recordRunTime(times: RunTimes, {name, timeoutMilliseconds}: {readonly name: string; readonly timeoutMilliseconds: number}, milliseconds: number): void {
	const before = times.get(name);
	times.delete(name);
	times.set(name, before === undefined ? firstOf(milliseconds, timeoutMilliseconds) : nextOf(before, milliseconds));
	if (times.size > maxRoutes) {
		times.delete(times.keys().next().value!);
	}
}

/** How long a request of a route takes, with a margin; undefined if none has ended. */
export function longestRunTime(times: RunTimes, route: string): number | undefined {
	const known = times.get(route);
	return known && known.mean + (deviations * known.deviation);
}

function firstOf(milliseconds: number, timeoutMilliseconds: number): RunTime {
	return {mean: milliseconds, deviation: Math.max(milliseconds / 2, timeoutMilliseconds * firstDeviationShare)};
}

function nextOf(before: RunTime, milliseconds: number): RunTime {
	return {
		mean: before.mean + (weights.mean * (milliseconds - before.mean)),
		deviation: before.deviation + (weights.deviation * (Math.abs(milliseconds - before.mean) - before.deviation)),
	};
}
