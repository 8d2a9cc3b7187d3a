/**
 * Streams that have begun and have lost their endpoint while no other one is known. Load pattern: endpoints are replaced one after the other, and one ends
 * just before the registration of its replacement arrives. If the stream ended at once, its caller would get a part, although the rest could follow before the caller
 * has missed anything: callers wait two seconds and more for the next event. A request without a response is refused instead, so that its caller comes back.
 */

/** A new registration reaches all instances within 0.7 s; a caller that is held longer may leave anyway. */
const registrationMilliseconds = 1000;
const searchMilliseconds = 50;
/** An instance that looks again later than this has read nothing in between: what came meanwhile lies in the kernel, and the time does not count. */
const longestStepMilliseconds = 2 * searchMilliseconds;

/** How long a stream has waited for an endpoint to register, and when it looked last. */
export type EndpointWait = {readonly milliseconds: number; readonly lookedAt: number};

/** The wait after one more look. */
export function stepEndpointWait({milliseconds, lookedAt}: EndpointWait, now: number): EndpointWait {
	return {milliseconds: milliseconds + Math.min(now - lookedAt, longestStepMilliseconds), lookedAt: now};
}

export type EndpointlessStream = {
	/** Whether its caller has a part of it. */
	readonly hasBegun: boolean;
	/** Whether its service has a registered endpoint, which the stream was at: then none is being replaced. */
	readonly hasReady: boolean;
	readonly waitedMilliseconds: number;
};

/** When such a stream looks for an endpoint again, in milliseconds; undefined if it ends. */
export function nextSearchMilliseconds({hasBegun, hasReady, waitedMilliseconds}: EndpointlessStream): number | undefined {
	return hasBegun && !hasReady && waitedMilliseconds < registrationMilliseconds ? searchMilliseconds : undefined;
}
