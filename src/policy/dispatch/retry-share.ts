/**
 * Load pattern: a fault makes many requests fail at once, at all instances, and the retries of all of them together
 * must stay within one allowance for each service: a ratio of its requests in a window, and a fixed slack. Each
 * instance spends the ratio on its own requests and an equal share of the slack, so that the sum holds without
 * communication. The slack is divided among all instances that may be serving, whether they see each other or not: instances that
 * are cut off from each other would otherwise each take all of it.
 *
 * An instance that starts has no share of the slack until it has run for a window. The one before it under its name may have spent the
 * share, nobody else has counted it, and instances that start again and again would have a new share each time. The
 * ratio needs no such wait: it is earned by the requests since the start.
 */
export type RetryAllowance = {
	/** Retries for each request. */
	readonly ratio: number;
	/** Retries in a window in addition to the ratio, for all instances together. */
	readonly slack: number;
	readonly windowMilliseconds: number;
};

/**
 * Share of the allowance that is spent; the rest is a margin for requests and retries at the edge of a window, which
 * other instances may count in another window.
 */
const usableShare = 0.6;
/** Buckets in a window; the window slides by one bucket. */
const bucketCount = 10;

/** The instances that share the slack: unknown before this one has read which there are. */
export type SlackSharing = {readonly type: 'unknown'} | {readonly type: 'known'; readonly instances: number};

/** Whether a retry may be made, with what the decision was based on. */
export type RetryGrant = {
	readonly isGranted: boolean;
	/** Retries and requests of this instance in the window, before this one. */
	readonly spent: number;
	readonly requests: number;
	/** Retries that this instance may make in the window. */
	readonly allowed: number;
	/** The instances that share the slack, and this one's share of it. */
	readonly sharing: SlackSharing;
	readonly ownSlack: number;
};

type Bucket = {readonly index: number; requests: number; retries: number};

export type RetryShareOptions = {
	readonly allowance: RetryAllowance;
	/** Start of this instance, on the clock of the other times. */
	readonly startedAt: number;
};

export class RetryShare {
	static create(options: RetryShareOptions): RetryShare {
		return new RetryShare(options);
	}

	#allowance: RetryAllowance;
	readonly #startedAt: number;
	readonly #buckets = new Map<string, Bucket[]>();

	private constructor({allowance, startedAt}: RetryShareOptions) {
		this.#allowance = allowance;
		this.#startedAt = startedAt;
	}

	setAllowance(allowance: RetryAllowance): void {
		this.#allowance = allowance;
	}

	countRequest(service: string, now: number): void {
		this.#bucket(service, now).requests += 1;
	}

	/** Takes one retry if this instance's share of the allowance has it. */
	takeRetry(service: string, sharing: SlackSharing, now: number): RetryGrant {
		const bucket = this.#bucket(service, now);
		const {ratio} = this.#allowance;
		const ownSlack = this.#ownSlack(sharing, now);
		const buckets = this.#buckets.get(service) ?? [];
		const requests = buckets.reduce((sum, one) => sum + one.requests, 0);
		const spent = buckets.reduce((sum, one) => sum + one.retries, 0);
		const allowed = usableShare * ((requests * ratio) + ownSlack);
		const isGranted = spent + 1 <= allowed;
		bucket.retries += isGranted ? 1 : 0;
		return {isGranted, spent, requests, allowed, sharing, ownSlack};
	}

	#ownSlack(sharing: SlackSharing, now: number): number {
		const {slack, windowMilliseconds} = this.#allowance;
		return sharing.type === 'unknown' || now - this.#startedAt < windowMilliseconds ? 0 : slack / Math.max(1, sharing.instances);
	}

	#bucket(service: string, now: number): Bucket {
		const index = Math.floor(now / (this.#allowance.windowMilliseconds / bucketCount));
		const recent = (this.#buckets.get(service) ?? []).filter(bucket => bucket.index > index - bucketCount);
		this.#buckets.set(service, recent);
		const last = recent.at(-1);
		if (last?.index === index) {
			return last;
		}

		const bucket = {index, requests: 0, retries: 0};
		recent.push(bucket);
		return bucket;
	}
}
