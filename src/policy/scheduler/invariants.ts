/** Invariants that a scheduler asserts about its own decisions, in production too. */
export const Rule = {
	/** No request is refused or evicted because the queue is full while a lower tier uses shared queue capacity. */
	higherTierFirst: 'higher-tier-first',
	/** No more requests hold slots than there are slots, except those that were running when slots were removed. */
	slotsBounded: 'slots-bounded',
	/** A request is never preempted for a lower tier or for its own workspace in its own tier, nor if it must not run twice. */
	preemptionDownward: 'preemption-downward',
	/** A lower tier with waiting requests gets its floor share within the bound. */
	floorWithinBound: 'floor-within-bound',
	/** The counters of a tier's waiting workspaces differ by a bounded number of tokens. */
	fairWithinBound: 'fair-within-bound',
	/** A side that is draining, or whose endpoint is down or has asked for a backoff, makes no offers. */
	closedOffersNothing: 'closed-offers-nothing',
} as const;
export type Rule = (typeof Rule)[keyof typeof Rule];

/** An invariant that did not hold, and the values that show it. */
export type Violation = {readonly rule: Rule; readonly detail: string};

/** Reports an invariant that does not hold; `detail` is computed only then. */
export function assertRule(holds: boolean, rule: Rule, detail: () => string, report: (violation: Violation) => void): void {
	if (!holds) {
		report({rule, detail: detail()});
	}
}
