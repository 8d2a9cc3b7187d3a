/** The rules that a queue asserts about its own decisions, in production too. */
export const Rule = {
	/** Nothing is refused or evicted for want of room while a lower tier holds shared room. */
	higherTierFirst: 'higher-tier-first',
	/** No more requests hold slots than there are, but for those that ran before slots were taken. */
	slotsBounded: 'slots-bounded',
	/** Preemption never goes upward, nor within a workspace's own tier, and spares whatever must not run twice. */
	preemptionDownward: 'preemption-downward',
	/** A waiting lower tier gets its floor share within the bound. */
	floorWithinBound: 'floor-within-bound',
	/** Waiting workspaces of a tier stay within a bounded number of tokens of each other. */
	fairWithinBound: 'fair-within-bound',
	/** A side that leaves, or whose endpoint is down, offers nothing. */
	closedOffersNothing: 'closed-offers-nothing',
} as const;
export type Rule = (typeof Rule)[keyof typeof Rule];

/** A rule that did not hold, and with which figures. */
export type Violation = {readonly rule: Rule; readonly detail: string};

/** Reports a rule that does not hold; the detail is worked out only then. */
export function assertRule(holds: boolean, rule: Rule, detail: () => string, report: (violation: Violation) => void): void {
	if (!holds) {
		report({rule, detail: detail()});
	}
}
