import {reactionsInBacklog} from './engine-cost.js';

/**
 * Failure: an endpoint falls below the bound, and each of many instances that have requests for it sends
 * one before it hears of the others. Symptom: first events come after five times the predicted time,
 * and the urgent wait behind them. Chance lets in so many times what is read in that time.
 */
const chanceFactor = 2.5;

/** What decides how many requests of all instances should take one place in one reaction. */
export type Contention = {
	/** Requests of other instances that are taken to want the same place. */
	readonly contenders: number;
	/** How often each of them is looked at. */
	readonly searchIntervalMilliseconds: number;
	/** How long the endpoint will read this one. */
	readonly prefillMilliseconds: number;
	readonly propagationMilliseconds: number;
};

/** The chance with which a request that found a place takes it now. */
export function sendProbability({contenders, searchIntervalMilliseconds: lookMilliseconds, prefillMilliseconds: readingMilliseconds, propagationMilliseconds}: Contention): number {
	const readInReaction = propagationMilliseconds * (1 + reactionsInBacklog) / Math.max(readingMilliseconds, 1);
	return Math.min(1, chanceFactor * readInReaction * lookMilliseconds / propagationMilliseconds / Math.max(contenders, Number.EPSILON));
}
