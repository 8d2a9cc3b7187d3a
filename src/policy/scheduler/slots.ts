import {type Context, type SchedulerSettings} from './settings.js';

/**
 * How many requests the endpoint runs at once, by additive increase and multiplicative decrease on the
 * time between tokens against what the running classes can bear.
 *
 * Load pattern: engines of unlike size, a slow endpoint, prompts of unlike length. With a fixed number
 * a small engine misses every target and a large one idles. The engine's own report lags by seconds, so
 * it corrects only what we can't see from here, the memory; the rest is what we sent and received.
 */
export type Slots = {
	/** With a fraction, so that growth may be slower than one slot a window. */
	readonly limit: number;
	/** Over the window: time between tokens summed, and the number of tokens. */
	readonly milliseconds: number;
	readonly tokens: number;
	/** The tightest target of a class that ran lately, and when one did last. */
	readonly targetMilliseconds: number;
	readonly targetSeenAt: number;
	readonly windowStart: number;
	/** True if the slots were all taken at some time in the window: only then does more help. */
	readonly filled: boolean;
	readonly memoryUsed: number;
	/** Smoothed time between tokens. */
	readonly tokenMilliseconds: number;
};

/** The state before anything was measured. */
export function initialSlots(settings: SchedulerSettings): Slots {
	return {
		limit: settings.initialSlots, milliseconds: 0, tokens: 0, targetMilliseconds: settings.betweenTokensMilliseconds, targetSeenAt: 0, windowStart: 0, filled: false, memoryUsed: 0, tokenMilliseconds: 0,
	};
}

/** Whole slots. */
export function slotCount(slots: Slots): number {
	return Math.floor(slots.limit);
}

/** Counts tokens in; `milliseconds` passed since the ones before. */
export function observeTokens(slots: Slots, tokens: number, milliseconds: number): Slots {
	if (tokens === 0) {
		return slots;
	}

	const each = milliseconds / tokens;
	const weight = Math.min(1, tokens * learningRate);
	return {
		...slots,
		milliseconds: slots.milliseconds + milliseconds,
		tokens: slots.tokens + tokens,
		tokenMilliseconds: slots.tokenMilliseconds === 0 ? each : slots.tokenMilliseconds + ((each - slots.tokenMilliseconds) * weight),
	};
}

const learningRate = 0.02;

/** How many requests hold slots, how many of them show tokens, how many should and don't, and the tightest target among them. */
export type Held = {
	readonly occupied: number;
	readonly producing: number;
	readonly stalled: number;
	readonly tightestMilliseconds: number;
};

/**
 * Closes the window if it is over, and changes the slots by what it showed. `stalled` of the requests
 * that hold slots have been given to the endpoint and show no token, long after others went on.
 */
export function adapt(slots: Slots, held: Held, {now, settings}: Context): Slots {
	const filled = slots.filled || held.occupied >= slotCount(slots);
	if (now - slots.windowStart < settings.slotWindowMilliseconds) {
		return filled === slots.filled ? slots : {...slots, filled};
	}

	const aimed = {...slots, ...tightest(slots, held, now), filled};
	const next = nextLimit(aimed, held, settings);
	const limit = Math.min(settings.maximumSlots, Math.max(settings.minimumSlots, next));
	return {
		...aimed, limit, milliseconds: 0, tokens: 0, windowStart: now, filled: held.occupied >= Math.floor(limit),
	};
}

/** How many steps a request that was given to the endpoint may show nothing before it counts as stalled. */
export const stalledAfterSteps = 30;

function nextLimit({limit, milliseconds, tokens, targetMilliseconds, memoryUsed, filled}: Slots, {occupied, producing, stalled}: Held, settings: SchedulerSettings): number {
	// Shrinks from what is in use, since unused slots did not cause the delay.
	const used = Math.min(limit, Math.max(occupied, 1));
	if (memoryUsed >= settings.memoryCritical) {
		return used * settings.shrinkFactor;
	}

	if (stalled > 0) {
		// The endpoint keeps them in a queue of its own, which knows neither workspaces nor deadlines.
		return used - stalled;
	}

	if (tokens === 0) {
		return limit;
	}

	const ratio = milliseconds / tokens / targetMilliseconds;
	if (ratio > settings.shrinkAbove) {
		return used * settings.shrinkFactor;
	}

	// The endpoint has not felt the slots added last while their requests show no token yet.
	const isFelt = producing >= settings.feltShare * limit;
	return filled && isFelt && memoryUsed < settings.memoryHigh ? limit + growth(limit, ratio, settings) : limit;
}

/**
 * All that runs shares each step, so the tightest class sets the pace, also for some seconds after its
 * last request: the next one would else find the endpoint crowded by classes that can bear more.
 */
function tightest({targetMilliseconds, targetSeenAt}: Slots, {occupied, tightestMilliseconds}: Held, now: number): Pick<Slots, 'targetMilliseconds' | 'targetSeenAt'> {
	const isForgotten = now - targetSeenAt > targetMemoryMilliseconds;
	if (occupied > 0 && (isForgotten || tightestMilliseconds <= targetMilliseconds)) {
		return {targetMilliseconds: tightestMilliseconds, targetSeenAt: now};
	}

	return {targetMilliseconds, targetSeenAt};
}

const targetMemoryMilliseconds = 10_000;

/** One slot near the target; far below it more, so that a burst does not wait out dozens of windows. */
function growth(limit: number, ratio: number, {growBelow}: SchedulerSettings): number {
	return ratio >= growBelow ? 0 : Math.max(1, limit * 0.5 * (1 - (ratio / growBelow)));
}
