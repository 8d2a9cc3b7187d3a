/** A token bucket: what may be spent at once, refilled at a rate. It may go into debt. */
export type Bucket = {readonly level: number; readonly at: number};

/**
 * A bucket holds half a second's rate, and at least three requests: with many entries each one's
 * rate is a fraction of a request a second, and with room for one request chance alone refuses many
 * under the limit. The whole of a second would let an idle class run twice its rate in the first one.
 */
const burstSeconds = 0.5;
const leastCapacity = 3;
const millisecondsPerSecond = 1000;

/** A bucket that can pay for one request or for its burst at once. */
export function createBucket(rate: number, now: number): Bucket {
	return {level: capacityOf(rate), at: now};
}

/** The bucket at a later moment, at a rate that may have changed since. */
export function refill(bucket: Bucket, rate: number, now: number): Bucket {
	const earned = rate * Math.max(0, now - bucket.at) / millisecondsPerSecond;
	return {level: Math.min(bucket.level + earned, capacityOf(rate)), at: now};
}

export function spend(bucket: Bucket, amount: number): Bucket {
	return {...bucket, level: bucket.level - amount};
}

/** How long until the bucket holds `amount`. */
export function millisecondsUntil(bucket: Bucket, amount: number, rate: number): number {
	const missing = amount - bucket.level;
	return missing <= 0 ? 0 : missing / Math.max(rate, Number.EPSILON) * millisecondsPerSecond;
}

function capacityOf(rate: number): number {
	return Math.max(leastCapacity, rate * burstSeconds);
}
