/**
 * Load pattern: a fault makes many requests fail at once, at all instances, and the retries of all of
 * them together must stay within one allowance a service: a ratio of its requests in a window, and a
 * fixed slack. Each instance spends the ratio on its own requests and an equal part of the slack, so
 * that the sum holds without a word between them.
 */
export type RetryAllowance = {
	/** Retries for each request. */
	readonly ratio: number;
	/** Retries in a window beside the ratio, for all instances together. */
	readonly slack: number;
	readonly windowMilliseconds: number;
};

/** The part that is spent: what other instances count differently at a window's edge stays unspent. */
const spentShare = 0.6;
/** Buckets in a window; a window slides by one bucket. */
const bucketCount = 10;

type Bucket = {readonly index: number; requests: number; retries: number};

export class RetryShare {
	static create(allowance: RetryAllowance): RetryShare {
		return new RetryShare(allowance);
	}

	#allowance: RetryAllowance;
	readonly #buckets = new Map<string, Bucket[]>();

	private constructor(allowance: RetryAllowance) {
		this.#allowance = allowance;
	}

	setAllowance(allowance: RetryAllowance): void {
		this.#allowance = allowance;
	}

	countRequest(service: string, now: number): void {
		this.#bucket(service, now).requests += 1;
	}

	/** Takes one retry if the allowance has it, for one of so many live instances. */
	takeRetry(service: string, instances: number, now: number): boolean {
		const bucket = this.#bucket(service, now);
		const {ratio, slack} = this.#allowance;
		const buckets = this.#buckets.get(service) ?? [];
		const requests = buckets.reduce((sum, one) => sum + one.requests, 0);
		const retries = buckets.reduce((sum, one) => sum + one.retries, 0);
		const allowed = spentShare * ((requests * ratio) + (slack / Math.max(1, instances)));
		if (retries + 1 > allowed) {
			return false;
		}

		bucket.retries += 1;
		return true;
	}

	#bucket(service: string, now: number): Bucket {
		const index = Math.floor(now / (this.#allowance.windowMilliseconds / bucketCount));
		const kept = (this.#buckets.get(service) ?? []).filter(bucket => bucket.index > index - bucketCount);
		this.#buckets.set(service, kept);
		const last = kept.at(-1);
		if (last?.index === index) {
			return last;
		}

		const bucket = {index, requests: 0, retries: 0};
		kept.push(bucket);
		return bucket;
	}
}
