/**
 * What running requests hold of the memory of all engines, and what follows for cached parts and the demand for prefixes. Kept only
 * where placement weighs memory: each run that an instance hears of costs it processor time here.
 */
import {type MemoryNeed, type Release} from './engine-memory.js';
import {GenerationTimes} from './generation-times.js';
import {type Run} from './load-event.js';
import {type EndpointState} from './load-state.js';
import {PrefixDemand} from './prefix-demand.js';
import {tokensOf} from './prompt-part.js';

export type HeldMemoryOptions = {
	readonly endpoints: ReadonlyMap<string, EndpointState>;
	/** Time until the pending prefill of an endpoint is done. */
	readonly backlogMilliseconds: (endpoint: string, state: EndpointState, now: number) => number;
};

/** Memory that the runs of each engine hold and will hold, as far as it is counted. */
export class HeldMemory {
	static create(options: HeldMemoryOptions): HeldMemory {
		return new HeldMemory(options);
	}

	/** How long engines of each service generate, and requests stay there. */
	readonly generationTimes = GenerationTimes.create();
	readonly prefixDemand = PrefixDemand.create();
	/** Whether cached parts follow what running requests leave of an engine's memory; otherwise they fill a fixed share of it. */
	followsHeld = true;
	/** Whether it is counted what runs hold of their engine's memory. */
	isCounted = true;
	readonly #options: HeldMemoryOptions;

	private constructor(options: HeldMemoryOptions) {
		this.#options = options;
	}

	/** Counts a run that was placed. */
	hold(state: EndpointState, run: Run, now: number): void {
		if (this.isCounted) {
			this.prefixDemand.record(run, {now, isMemoryShort: state.cache.followsMemory});
			state.memory.add(run, now);
			state.reportedAt = now;
			this.tellCache(state);
		}
	}

	/** Counts a run no more that has ended. */
	release(state: EndpointState, run: Run, now: number): void {
		if (!this.isCounted) {
			return;
		}

		const held = state.memory.remove(run.id);
		if (held?.firstEventAt !== undefined) {
			this.generationTimes.record(run.service, {outputTokens: run.outputTokens, milliseconds: now - held.firstEventAt, residenceMilliseconds: now - held.placedAt});
		}

		state.reportedAt = now;
		this.tellCache(state);
		state.cache.release(run.parts);
	}

	/** Tells the cache what running requests leave of the engine's memory. */
	tellCache({cache, memory, memoryTokens}: EndpointState): void {
		if (this.followsHeld && memoryTokens > 0) {
			cache.setHeldTokens(memory.heldTokens);
		}
	}

	/** Tokens that a request would hold at an engine beyond what its runs hold already. */
	neededTokens(endpoint: string, need: MemoryNeed): number {
		return this.#options.endpoints.get(endpoint)?.memory.neededTokens(need) ?? need.outputTokens + tokensOf(need.parts);
	}

	/** Tokens that runs of less urgent routes hold alone, which the engine would preempt for a request of this urgency. */
	lessUrgentTokens(endpoint: string, urgency: number): number {
		return this.#options.endpoints.get(endpoint)?.memory.lessUrgentTokens(urgency) ?? 0;
	}

	/** Memory of an engine that becomes free as its runs end, in the order of their expected ends. */
	releases(endpoint: string, now: number): readonly Release[] {
		const state = this.#options.endpoints.get(endpoint);
		return state === undefined
			? []
			: state.memory.releases(now, {
				backlogMilliseconds: this.#options.backlogMilliseconds(endpoint, state, now),
				generationMilliseconds: outputTokens => this.generationTimes.milliseconds(state.service, outputTokens),
			});
	}

	/** Tokens of prompts and expected output of all runs of an engine, shared parts counted with each. */
	requestedTokens(endpoint: string): number {
		return this.#options.endpoints.get(endpoint)?.memory.requestedTokens ?? 0;
	}

	/** Tokens of the prompt and the expected output of an engine's run, on average; 0 where none runs. */
	meanRunTokens(endpoint: string): number {
		const runs = this.#options.endpoints.get(endpoint)?.runs.size ?? 0;
		return runs === 0 ? 0 : this.requestedTokens(endpoint) / runs;
	}

	/** Time since the last report of a run at the endpoint; `Infinity` if there was none. */
	reportAgeMilliseconds(endpoint: string, now: number): number {
		return now - (this.#options.endpoints.get(endpoint)?.reportedAt ?? -Infinity);
	}
}
