/**
 * How long requests of each route take, from their first sending to the end of the response. Load pattern: an instance stops while short orders and
 * long streams arrive; what it still begins must end before the process does, and how long a request will take is only known from those before it.
 */

/** A smoothed mean and a smoothed deviation from it, in milliseconds. */
type RunTime = {readonly mean: number; readonly deviation: number};

/** Weights of a new value, and deviations above the mean that a request may take, as for the timeout of a retransmission in RFC 6298. */
const weights = {mean: 1 / 8, deviation: 1 / 4};
const deviations = 4;
/** Routes come and go with changes of the routing table. */
const maxRoutes = 1000;

/** Run times by route; the route that was longest without a request comes first. */
export type RunTimes = Map<string, RunTime>;

/** Adds to the given run times that of a request that has ended. */
export function recordRunTime(times: RunTimes, route: string, milliseconds: number): void {
	const before = times.get(route);
	times.delete(route);
	times.set(route, nextOf(before, milliseconds));
	if (times.size > maxRoutes) {
		times.delete(times.keys().next().value!);
	}
}

/** How long a request of a route takes, with a margin; undefined if none has ended. */
export function longestRunTime(times: RunTimes, route: string): number | undefined {
	const known = times.get(route);
	return known && known.mean + (deviations * known.deviation);
}

function nextOf(before: RunTime | undefined, milliseconds: number): RunTime {
	return before === undefined
		? {mean: milliseconds, deviation: milliseconds / 2}
		: {
			mean: before.mean + (weights.mean * (milliseconds - before.mean)),
			deviation: before.deviation + (weights.deviation * (Math.abs(milliseconds - before.mean) - before.deviation)),
		};
}
