import {backlogPropagations} from './engine-cost.js';

/**
 * Limits how many requests of all instances together are sent to an available endpoint within one propagation delay, in
 * multiples of the number that the endpoint prefills in that time; a random draw selects them. Without the limit, once
 * the backlog of an endpoint falls below its bound, every instance with a waiting request sends one before it receives
 * the load reports of the others; first events then come after five times the predicted time, and urgent requests wait
 * behind them.
 */
const sendFactor = 2.5;

/**
 * What determines how many requests of all instances are sent to one available endpoint within one propagation delay.
 */
export type Contention = {
	/** Requests at other instances that are assumed to compete for the same endpoint. */
	readonly contenders: number;
	/** Time between two placement searches for one of these requests. */
	readonly searchIntervalMilliseconds: number;
	/** Time that the endpoint will take to prefill this request. */
	readonly prefillMilliseconds: number;
	readonly propagationMilliseconds: number;
};

/** Probability with which a request that has found an available endpoint is sent there now. */
export function sendProbability({contenders, searchIntervalMilliseconds, prefillMilliseconds, propagationMilliseconds}: Contention): number {
	const prefilledInPropagation = propagationMilliseconds * (1 + backlogPropagations) / Math.max(prefillMilliseconds, 1);
	return Math.min(1, sendFactor * prefilledInPropagation * searchIntervalMilliseconds / propagationMilliseconds / Math.max(contenders, Number.EPSILON));
}
