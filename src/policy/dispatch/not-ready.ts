/**
 * Load pattern: all instances lose power while the store is down, and nobody knows a routing table. Callers come
 * back once, after as long as they are told: told less than the outage lasts, all of them are refused again.
 * An outage that has lasted for a while is likely to last as long again, and an answer that comes late is worth more
 * than a second refusal; a usual start reads the table within the lower bound. Callers honour a third of the time they have, so that more than the upper bound is never waited.
 */
const bounds = {low: 400, high: 5000};
/** Times what has passed: three in five callers of an outage then come back after its end. */
const elapsedFactor = 1.5;

/** When a caller should come back to an instance that has had no routing table for so long, in milliseconds. */
export function retryAfterWithoutTable(elapsedMilliseconds: number): number {
	return Math.min(bounds.high, Math.max(bounds.low, elapsedMilliseconds * elapsedFactor));
}
