import {type Violation} from './invariants.js';

/**
 * The figures of one side's queue. Each says what it trades; the defaults are for an engine whose
 * step takes a few milliseconds, and the bench is where another figure earns its place.
 */
export type SchedulerSettings = {
	/** How many requests run at once before anything has been measured. */
	readonly initialSlots: number;
	/** One slot always stays, so that the recovery of a slow endpoint is seen. */
	readonly minimumSlots: number;
	readonly maximumSlots: number;
	/** Places in the queue that all tiers share, lower tiers making room for higher ones. */
	readonly queueLimit: number;
	/** Places beyond the shared ones for each lower tier, so that it can wait for its floor share at all. */
	readonly floorPlaces: number;
	/** How long an offer keeps its slot: some round trips to the entry, and no more than a short wait for others. */
	readonly holdMilliseconds: number;
	/** The time between tokens of classes that state none. */
	readonly betweenTokensMilliseconds: number;
	/** Over how long a time between tokens is averaged before the slots change. */
	readonly slotWindowMilliseconds: number;
	/** Slots are added below this part of the target, so that growth stops before the target is missed. */
	readonly growBelow: number;
	/** Slots are taken above this part of the target: a mean that is just met is missed by half of the requests. */
	readonly shrinkAbove: number;
	/** Part of the slots that must show tokens before more are added. */
	readonly feltShare: number;
	/** What remains of the slots after the target was missed. */
	readonly shrinkFactor: number;
	/** Memory above which no slot is added, and above which slots are taken. */
	readonly memoryHigh: number;
	readonly memoryCritical: number;
	/** Part of the slot time that each tier may take from higher ones, highest tier first. */
	readonly floorShares: readonly number[];
	/** What a token of the prompt counts against one of the answer. */
	readonly promptTokenCost: number;
	/** How many weighted tokens of fair share a request that is late already stands behind those that can be in time. */
	readonly latePenaltyTokens: number;
	/** How often one request may be preempted in its life. */
	readonly maximumPreemptions: number;
	/** True if a workspace below its share of slots may take one from a rival of its tier above it. */
	readonly preemptsForShare: boolean;
	/** Told of every broken rule; the program counts and logs it, a test throws. */
	readonly onViolation: (violation: Violation) => void;
};

/** What a decision goes by besides the state: the time, and the settings. */
export type Context = {readonly now: number; readonly settings: SchedulerSettings};

/** Fills in what is not given. */
export function createSettings(given: Partial<SchedulerSettings> = {}): SchedulerSettings {
	return {...defaults, ...given};
}

const defaults: SchedulerSettings = {
	initialSlots: 8,
	minimumSlots: 1,
	maximumSlots: 64,
	queueLimit: 128,
	floorPlaces: 4,
	holdMilliseconds: 250,
	betweenTokensMilliseconds: 50,
	slotWindowMilliseconds: 100,
	growBelow: 0.85,
	shrinkAbove: 0.95,
	feltShare: 0.8,
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
