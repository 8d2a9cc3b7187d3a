import {type Context, type SchedulerSettings} from './settings.js';

/**
 * The number of requests that the endpoint runs at once: additive increase and multiplicative decrease
 * (AIMD), driven by the time between tokens relative to the target of the running classes.
 *
 * It adapts to engines of different sizes, to a slow endpoint and to prompts of different lengths. With a
 * fixed number a small engine misses every target and a large one is underused. The engine's own report lags
 * by seconds, so it is used only for memory, which can't be observed from here; everything else follows from
 * what this side sent and received.
 */
export type Slots = {
	/** Fractional, so that growth can be slower than one slot a window. */
	readonly limit: number;
	/** Over the window: sum of the times between tokens, and number of tokens. */
	readonly windowMilliseconds: number;
	readonly windowTokens: number;
	/** The tightest target of a class that ran recently, and when such a class last ran. */
	readonly targetMilliseconds: number;
	readonly targetSeenAt: number;
	readonly windowStart: number;
	/** True if all slots were taken at some time in the window; only then does adding slots help. */
	readonly wasFull: boolean;
	readonly memoryUsed: number;
	/** Moving average of the time between tokens. */
	readonly tokenMilliseconds: number;
};

/** The state before anything was measured. */
export function createSlots(settings: SchedulerSettings): Slots {
	return {
		limit: settings.initialSlots, windowMilliseconds: 0, windowTokens: 0, targetMilliseconds: settings.betweenTokensMilliseconds, targetSeenAt: 0,
		windowStart: 0, wasFull: false, memoryUsed: 0, tokenMilliseconds: 0,
	};
}

/** The number of slots, as an integer. */
export function slotCount(slots: Slots): number {
	return Math.floor(slots.limit);
}

/** Counts produced tokens; `milliseconds` is the time since the previous ones. */
export function observeTokens(slots: Slots, tokens: number, milliseconds: number): Slots {
	if (tokens === 0) {
		return slots;
	}

	const millisecondsPerToken = milliseconds / tokens;
	const weight = Math.min(1, tokens * smoothingFactor);
	return {
		...slots,
		windowMilliseconds: slots.windowMilliseconds + milliseconds,
		windowTokens: slots.windowTokens + tokens,
		tokenMilliseconds: slots.tokenMilliseconds === 0 ? millisecondsPerToken : slots.tokenMilliseconds + ((millisecondsPerToken - slots.tokenMilliseconds) * weight),
	};
}

const smoothingFactor = 0.02;

/** How many requests hold slots, how many of them produce tokens, how many are stalled, and the tightest target among them. */
export type SlotUsage = {
	readonly occupied: number;
	readonly producing: number;
	readonly stalled: number;
	readonly tightestMilliseconds: number;
};

/**
 * Adapts the number of slots to the measurements of the window if it is over, and starts the next one.
 * `usage.stalled` counts requests that were sent to the endpoint and have produced no token for so long
 * that others produced many.
 */
export function adaptSlots(slots: Slots, usage: SlotUsage, {now, settings}: Context): Slots {
	const wasFull = slots.wasFull || usage.occupied >= slotCount(slots);
	if (now - slots.windowStart < settings.slotWindowMilliseconds) {
		return wasFull === slots.wasFull ? slots : {...slots, wasFull};
	}

	const retargeted = {...slots, ...updateTarget(slots, usage, now), wasFull};
	const next = nextLimit(retargeted, usage, settings);
	const limit = Math.min(settings.maximumSlots, Math.max(settings.minimumSlots, next));
	return {
		...retargeted, limit, windowMilliseconds: 0, windowTokens: 0, windowStart: now, wasFull: usage.occupied >= Math.floor(limit),
	};
}

/** Number of decoding steps without a first token after which a started request counts as stalled. */
export const stalledAfterSteps = 30;

function nextLimit({limit, windowMilliseconds, windowTokens, targetMilliseconds, memoryUsed, wasFull}: Slots, {occupied, producing, stalled}: SlotUsage, settings: SchedulerSettings): number {
	// Shrinks from the slots in use, since unused slots did not cause the delay.
	const inUse = Math.min(limit, Math.max(occupied, 1));
	if (memoryUsed >= settings.memoryCritical) {
		return inUse * settings.shrinkFactor;
	}

	if (stalled > 0) {
		// The endpoint holds the stalled requests in its own queue, which has neither workspaces nor deadlines.
		return inUse - stalled;
	}

	if (windowTokens === 0) {
		return limit;
	}

	const ratio = windowMilliseconds / windowTokens / targetMilliseconds;
	if (ratio > settings.shrinkAbove) {
		return inUse * settings.shrinkFactor;
	}

	// While the requests in the most recently added slots produce no tokens, those slots have no effect on the measured time yet.
	const areSlotsProducing = producing >= settings.minimumProducingShare * limit;
	return wasFull && areSlotsProducing && memoryUsed < settings.memoryHigh ? limit + slotGrowth(limit, ratio, settings) : limit;
}

/**
 * All running requests share each decoding step, so the class with the tightest target sets the limit, and
 * does so for some seconds after its last request: otherwise its next request finds the endpoint crowded by
 * classes with looser targets.
 */
function updateTarget({targetMilliseconds, targetSeenAt}: Slots, {occupied, tightestMilliseconds}: SlotUsage, now: number): Pick<Slots, 'targetMilliseconds' | 'targetSeenAt'> {
	const isExpired = now - targetSeenAt > targetLifetimeMilliseconds;
	if (occupied > 0 && (isExpired || tightestMilliseconds <= targetMilliseconds)) {
		return {targetMilliseconds: tightestMilliseconds, targetSeenAt: now};
	}

	return {targetMilliseconds, targetSeenAt};
}

const targetLifetimeMilliseconds = 10_000;

/** Slots to add: one near the target, more far below it, so that a burst does not wait for dozens of windows. */
function slotGrowth(limit: number, ratio: number, {growBelow}: SchedulerSettings): number {
	return ratio >= growBelow ? 0 : Math.max(1, limit * 0.5 * (1 - (ratio / growBelow)));
}
