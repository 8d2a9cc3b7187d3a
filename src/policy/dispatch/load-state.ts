import {type KeptBelief, type KeptCheck} from './kept-check.js';
import {PrefixCache} from './prefix-cache.js';
import {EngineMemory} from './engine-memory.js';
import {type Run} from './load-event.js';

/** The prefill time share is averaged over about the duration of a latency-critical stream. */
export const timeShareWindowMilliseconds = 1500;

/** A run, and what this instance knows of its progress. */
export type TrackedRun = Run & {
	readonly placedAt: number;
	isPrefilled: boolean;
	/** What was believed of the shared parts of its prompt, if its first event can show whether that was right. */
	readonly belief: KeptBelief | undefined;
};

/**
 * A span of continuous prefill that is not over yet; invalid as a sample if a run ended in it before its first event.
 */
export type OpenSpan = {readonly startedAt: number; readonly isFromIdle: boolean; prefilledTokens: number; prefilledRuns: number; isInvalid: boolean};

/** What is tracked of one endpoint. */
export type EndpointState = {
	readonly runs: Map<string, TrackedRun>;
	/** Runs without a first event, oldest first: the prefill that the engine still has to do. */
	readonly pending: Map<string, TrackedRun>;
	pendingTokens: number;
	/** When prefill of the oldest pending run began, as far as is known. */
	prefillStartedAt: number;
	/** When the last run left `pending`; the endpoint is idle since then if none is pending. */
	idleSince: number;
	/** The current span of continuous prefill, and what was prefilled in it. */
	span: OpenSpan;
	readonly cache: PrefixCache;
	/** What the runs hold of the engine's memory. */
	readonly memory: EngineMemory;
	/** Tokens that fit into the engine's memory; 0 where it is not known. */
	memoryTokens: number;
	/** When a run was last reported to be placed, to respond or to end here. */
	reportedAt: number;
	service: string;
	timeShare: number;
	timeShareAt: number;
	latencyCriticalRuns: number;
};

/** The state of an endpoint of which nothing is known yet. */
export function createEndpointState(keptCheck: KeptCheck): EndpointState {
	return {
		runs: new Map(), pending: new Map(), pendingTokens: 0, prefillStartedAt: 0, idleSince: 0, span: createSpan(0, true), cache: PrefixCache.create(Infinity, keptCheck),
		memory: EngineMemory.create(), memoryTokens: 0, reportedAt: -Infinity,
		service: '', timeShare: 0, timeShareAt: 0, latencyCriticalRuns: 0,
	};
}

/** A span that begins now. */
export function createSpan(startedAt: number, isFromIdle: boolean): OpenSpan {
	return {startedAt, isFromIdle, prefilledTokens: 0, prefilledRuns: 0, isInvalid: false};
}

/**
 * Notes that the prompt of a run is prefilled, or that the run is over: prefill of the next run began at that moment.
 */
export function finishPrefill(state: EndpointState, run: TrackedRun, {now, prefilledAt}: {now: number; prefilledAt: number}): void {
	run.isPrefilled = true;
	state.pending.delete(run.id);
	state.pendingTokens -= run.prefillTokens;
	state.prefillStartedAt = Math.max(state.prefillStartedAt, prefilledAt);
	state.idleSince = now;
}

/** A run that was placed; all its fields are named, so that runs of all instances have one shape. */
export function trackedRunOf({id, owner, endpoint, service, prefillTokens, outputTokens, urgency, isLatencyCritical, parts}: Run, belief: KeptBelief | undefined, placedAt: number): TrackedRun {
	return {id, owner, endpoint, service, prefillTokens, outputTokens, urgency, isLatencyCritical, parts, placedAt, isPrefilled: false, belief};
}

/** Share of recent time that the endpoint spent on prefill. */
export function decayedTimeShare({timeShare, timeShareAt}: EndpointState, now: number): number {
	return timeShare * Math.exp(-(now - timeShareAt) / timeShareWindowMilliseconds);
}
