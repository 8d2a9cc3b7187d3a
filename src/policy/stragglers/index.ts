/**
 * Load pattern: an endpoint responds, but each of its tokens takes several times as long as at its
 * peers (an overheated accelerator, a noisy neighbour). Without this module it keeps its share of requests,
 * and every one of them misses its latency target, while the count of requests in flight shows nothing unusual.
 *
 * This is outlier detection on the time between tokens, compared with the median of the peers that serve the same targets, so
 * that a load which slows all of them ejects none. Endpoints are ejected and restored with hysteresis, the
 * slowest first, and never more than a bounded part of the peers: if most of them appear slow, the cause is
 * not an endpoint. An ejected endpoint gets probe requests, one at a time, so that its recovery
 * is detected.
 */
import {type EndpointId} from '../../model/index.js';

/** An endpoint at more than twice the peers' median is ejected: unequal batch sizes cause smaller differences. */
export const ejectRatio = 2;
/** It is restored only well below that ratio, so that it does not flap. */
export const restoreRatio = 1.4;
/** At most one in three peers is ejected: the other two can carry its load up to 67% of capacity. */
export const maxEjectedShare = 1 / 3;
/** Number of tokens that must have been observed before an endpoint is evaluated. */
export const minimumTokens = 24;
/** Number of tokens over which the weight of older measurements decays to a third: a few steps of a batch, so that no single step decides. */
const averagingTokens = 48;
/** The same for an ejected endpoint: a single probe response, even a short one, shows its recovery. */
const ejectedAveragingTokens = 10;
/** Minimum time between probe requests to an ejected endpoint. */
export const probeIntervalMilliseconds = 500;

/** The age up to which a measurement counts: the time of four probe requests. */
const maxSampleAgeMilliseconds = 2000;

type TokenLatency = {readonly tokenMilliseconds: number; readonly tokens: number; readonly at: number; readonly ejected: boolean};

/** The average time between tokens of each endpoint, and which endpoints are ejected. */
export type Stragglers = {readonly latencies: ReadonlyMap<EndpointId, TokenLatency>};

/** Tokens that an endpoint produced, the loss of an endpoint, or an evaluation of peers. */
export type StragglerEvent
	= | {readonly type: 'progressed'; readonly endpoint: EndpointId; readonly tokens: number; readonly milliseconds: number}
		| {readonly type: 'lost'; readonly endpoint: EndpointId}
	/** Compares endpoints that serve the same targets with each other, and ejects or restores them. */
		| {readonly type: 'judge'; readonly peers: readonly EndpointId[]};

export function createStragglers(): Stragglers {
	return {latencies: new Map()};
}

/** The state after an event at `now`, in milliseconds. */
export function stepStragglers(state: Stragglers, event: StragglerEvent, now: number): Stragglers {
	switch (event.type) {
		case 'progressed': {
			return event.tokens > 0 && Number.isFinite(event.milliseconds) ? observe(state, event, now) : state;
		}

		case 'lost': {
			const latencies = new Map(state.latencies);
			latencies.delete(event.endpoint);
			return {latencies};
		}

		case 'judge': {
			return evaluatePeers(state, event.peers);
		}
	}
}

function observe(state: Stragglers, event: {endpoint: EndpointId; tokens: number; milliseconds: number}, now: number): Stragglers {
	const measured = event.milliseconds / event.tokens;
	const previous = state.latencies.get(event.endpoint) ?? {tokenMilliseconds: measured, tokens: 0, at: now, ejected: false};
	const decay = Math.exp(-event.tokens / (previous.ejected ? ejectedAveragingTokens : averagingTokens));
	const tokenMilliseconds = (previous.tokenMilliseconds * decay) + (measured * (1 - decay));
	const latency = {tokenMilliseconds, tokens: previous.tokens + event.tokens, at: now, ejected: previous.ejected};
	return {latencies: new Map(state.latencies).set(event.endpoint, latency)};
}

function evaluatePeers(state: Stragglers, peers: readonly EndpointId[]): Stragglers {
	const known = peers.flatMap(endpoint => {
		const latency = state.latencies.get(endpoint);
		return latency && latency.tokens >= minimumTokens ? [{endpoint, latency}] : [];
	});
	const medianMilliseconds = median(known.map(({latency}) => latency.tokenMilliseconds));
	const maxEjected = Math.floor(peers.length * maxEjectedShare);
	const slowest = known.toSorted((left, right) => right.latency.tokenMilliseconds - left.latency.tokenMilliseconds);
	const slow = slowest.filter(({latency}) => latency.tokenMilliseconds > medianMilliseconds * (latency.ejected ? restoreRatio : ejectRatio));
	const ejected = new Set(slow.slice(0, maxEjected).map(({endpoint}) => endpoint));
	const latencies = new Map(state.latencies);
	for (const endpoint of peers) {
		const latency = latencies.get(endpoint);
		if (latency && latency.ejected !== ejected.has(endpoint)) {
			latencies.set(endpoint, {...latency, ejected: !latency.ejected});
		}
	}

	return {latencies};
}

/** The lower median, so that the slower one of two peers can be detected. */
function median(values: readonly number[]): number {
	const sorted = values.toSorted((left, right) => left - right);
	return sorted[Math.floor((sorted.length - 1) / 2)] ?? Infinity;
}

/** True if the endpoint is ejected and may only get probe requests. */
export function isEjected(state: Stragglers, endpoint: EndpointId): boolean {
	return state.latencies.get(endpoint)?.ejected ?? false;
}

/**
 * The time between tokens that this entry measured at the endpoint recently, if any. Old measurements are ignored: an endpoint that
 * was slow and is avoided for this reason would otherwise never be seen to have recovered.
 */
export function measuredTokenMilliseconds(state: Stragglers, endpoint: EndpointId, now: number): number | undefined {
	const latency = state.latencies.get(endpoint);
	return latency && now - latency.at < maxSampleAgeMilliseconds ? latency.tokenMilliseconds : undefined;
}

/** True if a probe request to the ejected endpoint is due: no request of this entry runs there, and the last one was long enough ago. */
export function isProbeDue(side: {readonly inFlight: number; readonly lastReservedAt: number}, now: number): boolean {
	return side.inFlight === 0 && now - side.lastReservedAt >= probeIntervalMilliseconds;
}
