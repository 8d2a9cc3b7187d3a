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
	/** Sum over the window of each token's time as a part of its class's target, and their number. */
	readonly ratioSum: number;
	readonly tokens: number;
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
		limit: settings.initialSlots, ratioSum: 0, tokens: 0, windowStart: 0, filled: false, memoryUsed: 0, tokenMilliseconds: 0,
	};
}

/** Whole slots. */
export function slotCount(slots: Slots): number {
	return Math.floor(slots.limit);
}

/** Counts tokens in; `milliseconds` passed since the ones before. */
export function observeTokens(slots: Slots, tokens: number, milliseconds: number, targetMilliseconds: number): Slots {
	if (tokens === 0) {
		return slots;
	}

	const each = milliseconds / tokens;
	const weight = Math.min(1, tokens * learningRate);
	return {
		...slots,
		ratioSum: slots.ratioSum + (milliseconds / targetMilliseconds),
		tokens: slots.tokens + tokens,
		tokenMilliseconds: slots.tokenMilliseconds === 0 ? each : slots.tokenMilliseconds + ((each - slots.tokenMilliseconds) * weight),
	};
}

const learningRate = 0.02;

/** Closes the window if it is over, and changes the slots by what it showed. */
export function adapt(slots: Slots, occupied: number, {now, settings}: Context): Slots {
	const filled = slots.filled || occupied >= slotCount(slots);
	if (now - slots.windowStart < settings.slotWindowMilliseconds) {
		return filled === slots.filled ? slots : {...slots, filled};
	}

	const fresh = {...slots, ratioSum: 0, tokens: 0, windowStart: now, filled: occupied >= slotCount(slots)};
	const limit = Math.min(settings.maximumSlots, Math.max(settings.minimumSlots, nextLimit(slots, filled, occupied, settings)));
	return {...fresh, limit};
}

function nextLimit({limit, ratioSum, tokens, memoryUsed}: Slots, filled: boolean, occupied: number, settings: SchedulerSettings): number {
	if (memoryUsed >= settings.memoryCritical) {
		return Math.min(limit, Math.max(occupied, 1)) * settings.shrinkFactor;
	}

	if (tokens === 0) {
		return limit;
	}

	const ratio = ratioSum / tokens;
	if (ratio > 1) {
		// Shrinks from what is in use, since unused slots did not cause the delay.
		return Math.min(limit, Math.max(occupied, 1)) * settings.shrinkFactor;
	}

	return ratio < settings.growBelow && filled && memoryUsed < settings.memoryHigh ? limit + 1 : limit;
}
