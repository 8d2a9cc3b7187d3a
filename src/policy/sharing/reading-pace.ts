/**
 * Load pattern: each instance that asks the store by itself makes calls in proportion to their number, which are
 * priced and limited, though any one of them learns what all want to know. Those that are linked read at different
 * moments and tell each other: the more there are, the less often each one reads, so that someone reads about as often as one
 * instance alone would, and everyone hears of it within a few messages.
 */

/** A pause between two readings: how many readings there were before it, and a draw from 0 to 1 that stays the same while it lasts. */
export type PollPosition = {readonly polls: number; readonly draw: number};

/** What decides how often the endpoints are read. */
export type EndpointReading = {
	/** Instances that read too and tell, this one not included. */
	readonly others: number;
	/** An endpoint that leaves goes on serving for so long. */
	readonly drainMilliseconds: number;
};

/** Parts of the time that a leaving endpoint goes on serving: its leaving has to be known well within it. */
const pauseShares = {alone: 0.45, amongOthers: 0.7, eachOther: 0.175, most: 3};
/** The store keeps its history for twenty seconds: who reads more rarely has to read everything each time. */
const longestPauseMilliseconds = 12_000;
/** A reading of the endpoints that is no older than the longest pause and a slow answer is of now. */
export const recentPollMilliseconds = longestPauseMilliseconds + 2000;

/** From so many others on. */
const othersThatTell = 2;
/**
 * Failure: instances that started together read in the same moments. Symptom: an endpoint's leaving is unknown to all of them for up to a
 * whole pause, and it gets requests after it has stopped serving. The first pauses are any part of a whole one, so that each goes
 * on at its own moments; later ones differ by a fifth, so that no two keep step for long.
 */
const leastPart = {first: 0, later: 0.8};
/** With so many the first pauses last until the others are known, and one or two whole ones longer. */
const firstReadings = 6;

/** How long an instance waits until it reads the endpoints again, in milliseconds. */
export function endpointPollInterval(reading: EndpointReading, {polls: readings, draw}: PollPosition): number {
	const least = readings <= firstReadings ? leastPart.first : leastPart.later;
	return wholePause(reading) * (least + ((1 - least) * draw));
}

function wholePause({others, drainMilliseconds}: EndpointReading): number {
	return others < othersThatTell
		? pauseShares.alone * drainMilliseconds
		: Math.min(longestPauseMilliseconds, drainMilliseconds * Math.min(pauseShares.most, Math.max(pauseShares.amongOthers, others * pauseShares.eachOther)));
}

/**
 * How long a reading of the routing table may wait for a change, which ends it at once. Failure: the store goes silent
 * under the readings of all instances while a change is accepted. Symptom: callers get 404 for its routes until the
 * first wait is over, since no peer knows better. Waits that end at different moments find the silence within
 * `each`, however many instances there are.
 */
const routingWaits = {least: 2500, each: 900, most: 20_000};

/** A reading of changes that is about to be sent. */
export type LongPoll = {
	/** Instances that read too and tell. */
	readonly others: number;
	/** Readings since the last change or failure. */
	readonly polls: number;
	/** Whether the store has left a call without an answer since it last gave one. */
	readonly isStoreUnresponsive: boolean;
};

/**
 * The wait of one among so many instances that tell each other, in whole milliseconds, for a draw from 0 to 1.
 *
 * Failure: a reading with a long wait is sent into a silent store. Symptom: it hangs there for its whole wait after the store's return, and
 * with it what was accepted meanwhile. In doubt a reading asks for what is there, which is known to be lost within a second.
 * A change ends all waits at one moment: the next is any part of a whole one, so that they end at different moments again.
 */
export function routingLongPollWait({others, polls: readings, isStoreUnresponsive: isDoubted}: LongPoll, draw: number): number {
	if (isDoubted) {
		return 0;
	}

	const whole = Math.min(routingWaits.most, Math.max(routingWaits.least, others * routingWaits.each));
	const least = readings === 0 ? leastPart.first : leastPart.later;
	return Math.round(whole * (least + ((1 - least) * draw)));
}

/** Instances that start together have announced themselves within the first readings; later they come and go rarely. */
const instancePauses = {first: 600, factor: 4, longest: 20_000};

/** How long until the announcements of instances are read again, in milliseconds. */
export function instancePollInterval({polls: readings}: PollPosition): number {
	return Math.min(instancePauses.longest, instancePauses.first * (instancePauses.factor ** (readings - 1)));
}

/**
 * Failure: the store refuses some instances for seconds, and each of their readings is tried again and again. Symptom: refused calls count and
 * cost like others. Whoever has others that tell it what they read waits as long as after any reading; whoever has read nothing yet can't.
 *
 * Failure: the store refuses or hears nobody, and all instances have come to try it ever more rarely. Symptom: what it accepts at its return is
 * unknown for seconds. Pauses are parts of the time in which a change is to be in force: one instance alone tries often enough by
 * itself, and of many one tries within a fraction of that time, whatever their number.
 */
const retryPauses = {first: 100, aloneShare: 0.25, eachOtherShare: 0.06, longest: 6000};

export type FailedReading = {
	/** In a row. */
	readonly failures: number;
	/** Instances that read too and tell. */
	readonly others: number;
	readonly hasRead: boolean;
	/** The pause after a reading that succeeds. */
	readonly pollIntervalMilliseconds: number;
	/** What is read is to be known everywhere within this. */
	readonly applyMilliseconds: number;
};

/** How long until a failed reading is tried again, in milliseconds, for a draw from 0 to 1. */
export function pollRetryDelay({failures, others, hasRead, pollIntervalMilliseconds: usualMilliseconds, applyMilliseconds}: FailedReading, draw: number): number {
	const isTold = hasRead && others >= othersThatTell;
	const alone = applyMilliseconds * retryPauses.aloneShare;
	const longest = isTold ? Math.min(retryPauses.longest, Math.max(alone, others * applyMilliseconds * retryPauses.eachOtherShare)) : alone;
	const pause = Math.min(longest, retryPauses.first * (2 ** (failures - 1)));
	const spread = pause * ((1 + draw) / 2);
	return isTold ? Math.max(spread, usualMilliseconds) : spread;
}
