/**
 * Load pattern: all instances lose power while the store is down, so that none has a routing table. Callers come back
 * once, after the time they are told; if the outage lasts longer than that, all of them are refused again. An outage
 * that has lasted for a while is likely to last as long again, and a late response is worth more than a second refusal.
 * A usual start reads the table within the lower bound. Callers honour a third of the time they have, so that more than
 * the upper bound is never waited.
 */
const bounds = {low: 400, high: 5000};
/** Factor on the elapsed time: three in five callers of an outage then come back after its end. */
const elapsedFactor = 1.5;

/**
 * Time in milliseconds after which a caller should come back to an instance without a routing table, by how long it has
 * had none.
 */
export function retryAfterWithoutTable(elapsedMilliseconds: number): number {
	return Math.min(bounds.high, Math.max(bounds.low, elapsedMilliseconds * elapsedFactor));
}
