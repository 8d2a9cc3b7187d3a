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
import {countRetryWindow, emptyRetryWindow, type RetryWindow, type RetryWindowEvent, stepRetryWindow} from './retry-window.js';

export type RetryAllowance = {
	/** Retries for each request. */
	readonly ratio: number;
	/** Retries in a window in addition to the ratio, for all instances together. */
	readonly slack: number;
	readonly windowMilliseconds: number;
};

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

/**
 * Share of the allowance that is spent; the rest is a margin for requests and retries at the edge of a window, which
 * other instances may count in another window.
 */
const usableShare = 0.6;

/**
 * Part of a share that is left to more urgent requests by those of the least urgency; those between leave less, in proportion. In an
 * outage most failed requests are drafts. Without this, the retries go to whoever fails first, and an urgent request that is worth
 * several of them is given up.
 */
const leftToMoreUrgent = 0.4;

/** A failed request that asks for a retry. */
export type RetryCandidate = {
	readonly service: string;
	/** Position of its urgency among those of the service: 0 for the most urgent, 1 for the least. */
	readonly urgencyPosition: number;
};

export type RetryShareOptions = {
	readonly allowance: RetryAllowance;
	/** Start of this instance, on the clock of the other times. */
	readonly startedAt: number;
};

/** One instance's share of the retries of each service. */
export class RetryShare {
	static create(options: RetryShareOptions): RetryShare {
		return new RetryShare(options);
	}

	#allowance: RetryAllowance;
	#startedAt: number;
	readonly #windows = new Map<string, RetryWindow>();

	private constructor({allowance, startedAt}: RetryShareOptions) {
		this.#allowance = allowance;
		this.#startedAt = startedAt;
	}

	/** Changes the allowance. What was counted in windows of another length can't be compared, so that this is like a start. */
	setAllowance(allowance: RetryAllowance, now: number): void {
		if (allowance.windowMilliseconds !== this.#allowance.windowMilliseconds) {
			this.#windows.clear();
			this.#startedAt = now;
		}

		this.#allowance = allowance;
	}

	countRequest(service: string, now: number): void {
		this.#step(service, {type: 'request'}, now);
	}

	/** Reserves one retry if this instance's share of the allowance has it; `recordSent` or `release` must follow. */
	reserve({service, urgencyPosition}: RetryCandidate, sharing: SlackSharing, now: number): RetryGrant {
		const {ratio, windowMilliseconds} = this.#allowance;
		const {requests, retries: spent} = countRetryWindow(this.#windows.get(service) ?? emptyRetryWindow, now, windowMilliseconds);
		const ownSlack = this.#ownSlack(sharing, now);
		const allowed = usableShare * ((requests * ratio) + ownSlack);
		const isGranted = spent + 1 <= allowed * (1 - (leftToMoreUrgent * urgencyPosition));
		if (isGranted) {
			this.#step(service, {type: 'reserve'}, now);
		}

		return {isGranted, spent, requests, allowed, sharing, ownSlack};
	}

	/** Records that a reserved retry is sent. */
	recordSent(service: string, now: number): void {
		this.#step(service, {type: 'send'}, now);
	}

	/** Gives a reserved retry back that is not sent. */
	release(service: string, now: number): void {
		this.#step(service, {type: 'release'}, now);
	}

	#ownSlack(sharing: SlackSharing, now: number): number {
		const {slack, windowMilliseconds} = this.#allowance;
		return sharing.type === 'unknown' || now - this.#startedAt < windowMilliseconds ? 0 : slack / Math.max(1, sharing.instances);
	}

	#step(service: string, event: RetryWindowEvent, now: number): void {
		const {windowMilliseconds} = this.#allowance;
		this.#windows.set(service, stepRetryWindow(this.#windows.get(service) ?? emptyRetryWindow, event, {now, windowMilliseconds}));
	}
}
