/** A token bucket: `level` may be spent at once and is refilled at a rate. It may become negative. Times are milliseconds. */
export type Bucket = {readonly level: number; readonly updatedAt: number};

/**
 * A bucket holds half a second's rate, and at least three requests: with many entries the rate of each
 * is a fraction of a request a second, and a capacity of one request would refuse many requests by chance
 * although the class is under its limit. A full second's rate would let an idle class run at twice its rate in the first second.
 */
const burstSeconds = 0.5;
const minimumCapacity = 3;
const millisecondsPerSecond = 1000;

/** A full bucket: it can pay for one request or for its burst at once. */
export function createBucket(rate: number, now: number): Bucket {
	return {level: capacityOf(rate), updatedAt: now};
}

/** The bucket at a later time, at a rate per second that may have changed since. */
export function refill(bucket: Bucket, rate: number, now: number): Bucket {
	const refilled = rate * Math.max(0, now - bucket.updatedAt) / millisecondsPerSecond;
	return {level: Math.min(bucket.level + refilled, capacityOf(rate)), updatedAt: now};
}

/** The bucket after `amount` was spent; its level may become negative. */
export function spend(bucket: Bucket, amount: number): Bucket {
	return {...bucket, level: bucket.level - amount};
}

/** How long until the bucket holds `amount`, in milliseconds. */
export function millisecondsUntil(bucket: Bucket, amount: number, rate: number): number {
	const missing = amount - bucket.level;
	return missing <= 0 ? 0 : missing / Math.max(rate, Number.EPSILON) * millisecondsPerSecond;
}

function capacityOf(rate: number): number {
	return Math.max(minimumCapacity, rate * burstSeconds);
}
