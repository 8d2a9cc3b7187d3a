import {type Violation} from './invariants.js';

/**
 * Settings of one side's queue. Each comment names the trade-off; the defaults are for an engine with
 * decoding steps of a few milliseconds.
 */
export type SchedulerSettings = {
	/** Number of slots before anything has been measured. */
	readonly initialSlots: number;
	/** Lower limit of the number of slots; at least one slot is kept, so that the recovery of a slow endpoint is noticed. */
	readonly minimumSlots: number;
	readonly maximumSlots: number;
	/** Queue capacity that all tiers share; when it is exhausted, requests of lower tiers are evicted for higher ones. */
	readonly queueLimit: number;
	/** Queue positions that each lower tier has in addition to the shared capacity, so that it can wait for its floor share at all. */
	readonly reservedQueuePositions: number;
	/** How long an offer keeps its slot: some round trips to the entry, and no more than a short wait for other requests. */
	readonly offerTimeoutMilliseconds: number;
	/** Target time between tokens for classes that specify none. */
	readonly betweenTokensMilliseconds: number;
	/** Window over which the time between tokens is averaged before the number of slots changes. */
	readonly slotWindowMilliseconds: number;
	/** Slots are added below this fraction of the target, so that growth stops before the target is missed. */
	readonly growBelow: number;
	/** Slots are removed above this fraction of the target: if the mean just meets the target, half of the requests miss it. */
	readonly shrinkAbove: number;
	/** Fraction of the slots whose requests must be producing tokens before more slots are added. */
	readonly minimumProducingShare: number;
	/** The number of slots is multiplied by this after the target was missed. */
	readonly shrinkFactor: number;
	/** Fraction of the endpoint's memory above which no slot is added, and the one above which slots are removed. */
	readonly memoryHigh: number;
	readonly memoryCritical: number;
	/** Fraction of the slot time that each tier may take from higher tiers, highest tier first. */
	readonly floorShares: readonly number[];
	/** Cost of a prompt token relative to a response token. */
	readonly promptTokenCost: number;
	/** By how many weighted tokens a request that is already late comes after those that can be in time. */
	readonly latePenaltyTokens: number;
	/** How many times one request may be preempted in all. */
	readonly maximumPreemptions: number;
	/** True if a workspace below its share of slots may preempt a request of a workspace of the same tier that is above its share. */
	readonly preemptsForShare: boolean;
	/** Called for every invariant that does not hold; the program counts and logs it, a test throws. */
	readonly onViolation: (violation: Violation) => void;
};

/** Inputs of a decision besides the state. `now` is in milliseconds. */
export type Context = {readonly now: number; readonly settings: SchedulerSettings};

/** Completes partial settings with the defaults. */
export function createSettings(overrides: Partial<SchedulerSettings> = {}): SchedulerSettings {
	return {...defaults, ...overrides};
}

const defaults: SchedulerSettings = {
	initialSlots: 8,
	minimumSlots: 1,
	maximumSlots: 64,
	queueLimit: 128,
	reservedQueuePositions: 4,
	offerTimeoutMilliseconds: 250,
	betweenTokensMilliseconds: 50,
	slotWindowMilliseconds: 100,
	growBelow: 0.85,
	shrinkAbove: 0.95,
	minimumProducingShare: 0.8,
	shrinkFactor: 0.85,
	memoryHigh: 0.9,
	memoryCritical: 0.97,
	floorShares: [0, 0.05, 0.05],
	promptTokenCost: 0.1,
	latePenaltyTokens: 100,
	maximumPreemptions: 2,
	preemptsForShare: true,
	onViolation(violation) {
		throw new Error(`Invariant violated: ${violation.rule}: ${violation.detail}`);
	},
};
