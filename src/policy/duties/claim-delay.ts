/**
 * Load pattern: a holder is lost, and hundreds of instances may claim at the same moment. All but one of the claims would fail, and the
 * duties could go to an instance whose event loop is late under load.
 */
import {hash32} from '../hashing/index.js';

/** An instance without a whole core claims up to this much later. */
const smallInstanceMilliseconds = 1000;
/** The claims of equal instances are spread over this time. */
const spreadMilliseconds = 500;

/** Milliseconds that an instance waits before a claim; `cores` is how many cores it gets, or which part of one. */
export function claimDelay(instance: string, cores: number): number {
	return (smallInstanceMilliseconds * Math.max(0, 1 - cores)) + (spreadMilliseconds * hash32(instance) / 0x1_00_00_00_00);
}
