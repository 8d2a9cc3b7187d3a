import {type Ledger, type Occupied, type Waiting} from './ledger.js';
import {type SchedulerSettings} from './settings.js';

/**
 * Whose slot a request takes that would else miss its target: one of the lowest tier below it, and of
 * those the one with the least context, which costs the least to read again when it resumes.
 *
 * Load pattern: a burst of the top tier into slots that long answers of lower tiers hold. Without
 * preemption the burst waits for as long as those answers take.
 *
 * Never upward, never within a tier, never what must not run twice, never a tier's floor share, which
 * would starve the tier. A request is preempted a bounded number of times, so that two tiers can't
 * throw one answer to and fro and spend the endpoint on reading prompts again.
 */
export function victimFor(ledger: Ledger, waiting: Waiting, settings: SchedulerSettings): Occupied | undefined {
	let victim: Occupied | undefined;
	for (const candidate of ledger.occupied.values()) {
		if (mayBePreempted(candidate, waiting, settings) && (victim === undefined || goesFirst(candidate, victim))) {
			victim = candidate;
		}
	}

	return victim;
}

/** True if `occupied` may lose its slot to `waiting`. */
export function mayBePreempted({phase, floor, summary}: Occupied, waiting: Waiting, settings: SchedulerSettings): boolean {
	return phase === 'running' && !floor && summary.idempotent && summary.tier > waiting.summary.tier
		&& (summary.preemptions ?? 0) < settings.maximumPreemptions;
}

/** How many slots come free by preemptions that are under way. */
export function stopping(ledger: Ledger): number {
	return [...ledger.occupied.values()].filter(({phase}) => phase === 'stopping').length;
}

function goesFirst(one: Occupied, other: Occupied): boolean {
	if (one.summary.tier !== other.summary.tier) {
		return one.summary.tier > other.summary.tier;
	}

	return one.summary.promptTokens + one.tokens < other.summary.promptTokens + other.tokens;
}
