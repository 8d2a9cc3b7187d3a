/**
 * Load pattern: an endpoint answers, yet each of its tokens takes several times as long as at its
 * peers (a hot accelerator, a noisy neighbour). Without this module it keeps its share of requests,
 * and every one of them misses its target, while a count of requests in flight sees nothing wrong.
 *
 * The measure is time between tokens against the median of the peers that serve the same targets, so
 * that a load which slows all of them ejects none. Endpoints are set aside with hysteresis, the
 * slowest first, and never more than a bounded part of the peers: if most look slow, the cause is
 * not an endpoint. An ejected endpoint gets a trickle, one request at a time, so that its recovery
 * is seen.
 */
import {type EndpointId} from '../../model/index.js';

/** Twice the peers' median is set aside: unequal batches differ by less in the bench. */
export const ejectRatio = 2;
/** It comes back only well under that, so that it does not flap. */
export const returnRatio = 1.4;
/** At most one in three peers is set aside: the other two can carry its load up to 67% of capacity. */
export const ejectedShare = 1 / 3;
/** Tokens that must have been seen before an endpoint is judged. */
export const judgedTokens = 24;
/** Tokens over which an old figure fades to a third: a few steps of a batch, so that no single one decides. */
const memoryTokens = 48;
/** The same for an endpoint set aside: one trickled answer, even a short one, shows a recovery. */
const ejectedMemoryTokens = 10;
/** A trickled request at most this often. */
export const probeIntervalMilliseconds = 500;

/** A pace counts for so long: four trickled requests. */
const freshMilliseconds = 2000;

type Pace = {readonly tokenMilliseconds: number; readonly tokens: number; readonly at: number; readonly ejected: boolean};

/** Time between tokens per endpoint, and who is set aside. */
export type Stragglers = {readonly paces: ReadonlyMap<EndpointId, Pace>};

export type StragglerEvent
	= | {readonly type: 'progressed'; readonly endpoint: EndpointId; readonly tokens: number; readonly milliseconds: number}
		| {readonly type: 'lost'; readonly endpoint: EndpointId}
	/** Judges endpoints that serve the same targets against each other. */
		| {readonly type: 'judge'; readonly peers: readonly EndpointId[]};

export function createStragglers(): Stragglers {
	return {paces: new Map()};
}

export function stepStragglers(state: Stragglers, event: StragglerEvent, now: number): Stragglers {
	switch (event.type) {
		case 'progressed': {
			return event.tokens > 0 && Number.isFinite(event.milliseconds) ? observe(state, event, now) : state;
		}

		case 'lost': {
			const paces = new Map(state.paces);
			paces.delete(event.endpoint);
			return {paces};
		}

		case 'judge': {
			return judge(state, event.peers);
		}
	}
}

function observe(state: Stragglers, event: {endpoint: EndpointId; tokens: number; milliseconds: number}, now: number): Stragglers {
	const measured = event.milliseconds / event.tokens;
	const before = state.paces.get(event.endpoint) ?? {tokenMilliseconds: measured, tokens: 0, at: now, ejected: false};
	const kept = Math.exp(-event.tokens / (before.ejected ? ejectedMemoryTokens : memoryTokens));
	const tokenMilliseconds = (before.tokenMilliseconds * kept) + (measured * (1 - kept));
	const pace = {tokenMilliseconds, tokens: before.tokens + event.tokens, at: now, ejected: before.ejected};
	return {paces: new Map(state.paces).set(event.endpoint, pace)};
}

function judge(state: Stragglers, peers: readonly EndpointId[]): Stragglers {
	const known = peers.flatMap(endpoint => {
		const pace = state.paces.get(endpoint);
		return pace && pace.tokens >= judgedTokens ? [{endpoint, pace}] : [];
	});
	const middle = median(known.map(({pace}) => pace.tokenMilliseconds));
	const allowed = Math.floor(peers.length * ejectedShare);
	const slowest = known.toSorted((left, right) => right.pace.tokenMilliseconds - left.pace.tokenMilliseconds);
	const slow = slowest.filter(({pace}) => pace.tokenMilliseconds > middle * (pace.ejected ? returnRatio : ejectRatio));
	const ejected = new Set(slow.slice(0, allowed).map(({endpoint}) => endpoint));
	const paces = new Map(state.paces);
	for (const endpoint of peers) {
		const pace = paces.get(endpoint);
		if (pace && pace.ejected !== ejected.has(endpoint)) {
			paces.set(endpoint, {...pace, ejected: !pace.ejected});
		}
	}

	return {paces};
}

/** The lower median, so that with two peers the slower one can be told apart. */
function median(values: readonly number[]): number {
	const sorted = values.toSorted((left, right) => left - right);
	return sorted[Math.floor((sorted.length - 1) / 2)] ?? Infinity;
}

export function isEjected(state: Stragglers, endpoint: EndpointId): boolean {
	return state.paces.get(endpoint)?.ejected ?? false;
}

/**
 * What this entry measured there lately, if anything. An old figure says nothing: an endpoint that
 * was slow and isn't used for it would never be seen to have recovered.
 */
export function measuredTokenMilliseconds(state: Stragglers, endpoint: EndpointId, now: number): number | undefined {
	const pace = state.paces.get(endpoint);
	return pace && now - pace.at < freshMilliseconds ? pace.tokenMilliseconds : undefined;
}

/** True if the ejected endpoint is due a trickled request: nothing of ours runs there, and the last was long ago. */
export function isProbeDue(side: {readonly inFlight: number; readonly lastReservedAt: number}, now: number): boolean {
	return side.inFlight === 0 && now - side.lastReservedAt >= probeIntervalMilliseconds;
}
