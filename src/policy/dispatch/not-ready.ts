/**
 * Load pattern: all instances lose power while the store is down, so that none has a routing table. Each caller comes
 * back once, after the retry delay that it was given; if the outage lasts longer than that, all callers are refused
 * again. An outage that has lasted for a while is likely to last as long again, and a late response is worth more than
 * a second refusal. An instance that starts normally reads the table within the lower bound. A caller waits for no more
 * than a third of the time it has, so that it would never wait for longer than the upper bound.
 */
const retryAfterBounds = {low: 400, high: 5000};
/** Factor on the elapsed time; with it, three in five callers refused in an outage come back after its end. */
const elapsedFactor = 1.5;

/**
 * Time in milliseconds after which a caller should come back to an instance without a routing table, by how long it has
 * had none.
 */
export function retryAfterWithoutTable(elapsedMilliseconds: number): number {
	return Math.min(retryAfterBounds.high, Math.max(retryAfterBounds.low, elapsedMilliseconds * elapsedFactor));
}
