import {type PromptPart, tokensOf} from './prefix-cache.js';
import {HeldMemory} from './held-memory.js';
import {type LoadEvent, type Run} from './load-event.js';
import {beliefOf, KeptCheck} from './kept-check.js';
import {createEndpointState, createSpan, decayedTimeShare, type EndpointState, finishPrefill, timeShareWindowMilliseconds, type TrackedRun, trackedRunOf} from './load-state.js';
import {PeerQueues} from './peer-queues.js';
import {EnginePaces, type StreamWindow} from './engine-paces.js';
import {createPrefillSpeed, learnPrefillSpeed, type PrefillSpeed, prefillMilliseconds} from './speed.js';

/** Load of one endpoint as placement uses it. */
export type EndpointLoad = {
	readonly running: number;
	readonly latencyCriticalRuns: number;
	/** Time from now until the pending prefill of the endpoint is done. */
	readonly backlogMilliseconds: number;
	/** Time for which the endpoint has had no pending prefill; zero while it has some. */
	readonly idleMilliseconds: number;
	/** Share of recent time that the endpoint spent on prefill, 0 to 1. */
	readonly prefillTimeShare: number;
	/** Memory that running requests hold or will hold, in tokens; 0 where the memory of the engine is not known. */
	readonly heldTokens: number;
};

/** A run whose end was never reported is dropped after this time: no response lasts longer than its time limit. */
const runTimeoutMilliseconds = 120_000;
/** Service time of a plain service before the first sample, and the weight of one new sample. */
const initialServiceTimeMilliseconds = 20;
const serviceTimeWeight = 0.05;

/**
 * Under load an engine prefills without a break, so that a span would not end: it is taken as a sample after this many
 * prompts, and the next one begins.
 */
const maxSpanRuns = 8;

/**
 * Tracks the load of endpoints: own runs and those that other instances report. Load pattern: several instances send to
 * the same endpoints, and a load report of the endpoint itself is old when it arrives. Each instance reports to the
 * others what it placed and what ended, so that all predict from the same runs. Without that, a burst through four
 * instances goes to the same idle endpoint.
 */
export class LoadTracker {
	static create(): LoadTracker {
		return new LoadTracker();
	}

	/** How fast each engine is, and whether those of a service differ. */
	readonly paces = EnginePaces.create();
	/** Queues of the other instances. */
	readonly peerQueues = PeerQueues.create();
	/** What running requests hold of the engines' memory. */
	readonly held: HeldMemory;
	readonly #endpoints = new Map<string, EndpointState>();
	readonly #runs = new Map<string, TrackedRun>();
	readonly #keptCheck = KeptCheck.create();
	readonly #speeds = new Map<string, PrefillSpeed>();
	readonly #serviceTimes = new Map<string, number>();

	private constructor() {
		this.held = HeldMemory.create({endpoints: this.#endpoints, backlogMilliseconds: (endpoint, state, now) => this.#backlogMilliseconds(endpoint, state, now)});
	}

	step(event: LoadEvent, now: number): void {
		switch (event.type) {
			case 'placed': {
				this.#recordPlaced(event.run, now);
				return;
			}

			case 'first-event': {
				this.#recordFirstEvent(event.id, now);
				return;
			}

			case 'ended': {
				this.#recordEnded(event.id, now);
				return;
			}

			case 'owner-lost': {
				this.#drop(run => run.owner === event.owner, now);
				this.peerQueues.forget(event.owner);
				return;
			}

			case 'waiting': {
				this.peerQueues.update(event, now);
				return;
			}

			case 'endpoint-restarted': {
				this.#drop(run => run.endpoint === event.endpoint, now);
				this.#endpoints.delete(event.endpoint);
				this.paces.forget(event.endpoint);
				return;
			}

			case 'kept': {
				this.#endpoint(event.endpoint).cache.replace(event.parts);
				return;
			}

			case 'classes': {
				this.paces.recordTold(event.statement, now);
			}
		}
	}

	/** Where a run that has not ended is, and when this instance learned of it. */
	run(id: string): {readonly endpoint: string; readonly placedAt: number} | undefined {
		return this.#runs.get(id);
	}

	load(endpoint: string, now: number): EndpointLoad {
		const state = this.#endpoints.get(endpoint);
		if (state === undefined) {
			return {running: 0, latencyCriticalRuns: 0, backlogMilliseconds: 0, idleMilliseconds: Infinity, prefillTimeShare: 0, heldTokens: 0};
		}

		return {
			running: state.runs.size,
			latencyCriticalRuns: state.latencyCriticalRuns,
			backlogMilliseconds: this.#backlogMilliseconds(endpoint, state, now),
			idleMilliseconds: state.pending.size > 0 ? 0 : now - state.idleSince,
			prefillTimeShare: decayedTimeShare(state, now),
			heldTokens: state.memoryTokens === 0 ? 0 : state.memory.heldTokens,
		};
	}

	/** Tokens of a prompt that the endpoint would have to prefill. */
	uncachedTokens(endpoint: string, parts: readonly PromptPart[]): number {
		return this.#endpoints.get(endpoint)?.cache.uncachedTokens(parts) ?? tokensOf(parts);
	}

	/** Tokens of a prompt that others can't fetch from this endpoint, since it has not prefilled them yet. */
	unavailableTokens(endpoint: string, parts: readonly PromptPart[]): number {
		return this.#endpoints.get(endpoint)?.cache.unavailableTokens(parts) ?? tokensOf(parts);
	}

	/** Shared tokens that would yield to this many new ones; zero where memory is not known to be short. */
	displacedTokens(endpoint: string, tokens: number): number {
		return this.#endpoints.get(endpoint)?.cache.displacedTokens(tokens) ?? 0;
	}

	prefillSpeed(service: string): PrefillSpeed {
		const known = this.#speeds.get(service);
		if (known !== undefined) {
			return known;
		}

		const speed = createPrefillSpeed();
		this.#speeds.set(service, speed);
		return speed;
	}

	/** The speed of one engine: its service's, corrected by what the engine has shown where engines are uneven. */
	engineSpeed(endpoint: string, service: string, now: number): PrefillSpeed {
		const speed = this.prefillSpeed(service);
		return this.paces.isUneven(service) ? this.paces.prefillSpeed(endpoint, service, {speed, now}) : speed;
	}

	/** Learns from events that an own run has received. */
	recordEvents(id: string, {events, milliseconds}: Pick<StreamWindow, 'events' | 'milliseconds'>, now: number): void {
		const run = this.paces.isLearning ? this.#runs.get(id) : undefined;
		const state = run === undefined ? undefined : this.#endpoints.get(run.endpoint);
		if (run !== undefined && state !== undefined) {
			this.paces.recordEvents(run.endpoint, run.service, {events, milliseconds, running: state.runs.size, prefillTimeShare: decayedTimeShare(state, now), now});
		}
	}

	/** Average service time of a request at a plain service. */
	serviceTimeMilliseconds(service: string): number {
		return this.#serviceTimes.get(service) ?? initialServiceTimeMilliseconds;
	}

	recordServiceTime(service: string, milliseconds: number): void {
		this.#serviceTimes.set(service, this.serviceTimeMilliseconds(service) + ((milliseconds - this.serviceTimeMilliseconds(service)) * serviceTimeWeight));
	}

	/** Drops runs without a report of their end for longer than any response lasts. */
	prune(now: number): void {
		this.paces.prune(now);
		this.#drop(run => now - run.placedAt > runTimeoutMilliseconds, now);
	}

	/** Sets the memory of an endpoint's engine, in tokens; 0 for an endpoint without one. */
	setCacheCapacity(endpoint: string, memoryTokens: number): void {
		const state = this.#endpoint(endpoint);
		state.memoryTokens = memoryTokens;
		state.cache.setCapacity(memoryTokens);
		this.held.tellCache(state);
	}

	/** Sets what running requests hold of an endpoint's memory, in tokens. */
	setHeldTokens(endpoint: string, tokens: number): void {
		this.#endpoint(endpoint).cache.setHeldTokens(tokens);
	}

	/**
	 * The state of an endpoint; a new one has an unlimited cache until the memory of its engine is known. Another
	 * instance may report a run, or an engine what it has cached, before this instance knows that memory; with a cache
	 * of no size the engine would from then on be taken to cache nothing.
	 */
	#endpoint(endpoint: string): EndpointState {
		const state = this.#endpoints.get(endpoint) ?? createEndpointState(this.#keptCheck);
		this.#endpoints.set(endpoint, state);
		return state;
	}

	#recordPlaced(run: Run, now: number): void {
		if (this.#runs.has(run.id)) {
			// Reported twice, over two connections of one pair of instances.
			return;
		}

		const state = this.#endpoint(run.endpoint);
		const speed = this.engineSpeed(run.endpoint, run.service, now);
		const ownPrefillMilliseconds = prefillMilliseconds(speed, run.prefillTokens);
		if (state.pending.size === 0) {
			state.prefillStartedAt = now;
			state.span = createSpan(now, true);
		}

		state.service = run.service;
		state.timeShare = decayedTimeShare(state, now) + (ownPrefillMilliseconds / timeShareWindowMilliseconds);
		state.timeShareAt = now;
		state.latencyCriticalRuns += run.isLatencyCritical ? 1 : 0;
		const tracked = trackedRunOf(run, this.held.isCounted ? beliefOf(state, run) : undefined, now);
		state.cache.use(run.parts);
		state.runs.set(run.id, tracked);
		state.pending.set(run.id, tracked);
		state.pendingTokens += run.prefillTokens;
		this.#runs.set(run.id, tracked);
		this.held.hold(state, run, now);
	}

	#recordFirstEvent(id: string, now: number): void {
		const run = this.#runs.get(id);
		const state = run === undefined ? undefined : this.#endpoints.get(run.endpoint);
		if (run === undefined || state === undefined || run.isPrefilled) {
			return;
		}

		const service = this.prefillSpeed(run.service);
		const engine = this.engineSpeed(run.endpoint, run.service, now);
		if (this.paces.isLearning) {
			this.paces.recordReading(run.endpoint, run.service, {
				predictedMilliseconds: service.baseMilliseconds + prefillMilliseconds(service, run.prefillTokens), takenMilliseconds: now - Math.max(run.placedAt, state.prefillStartedAt),
				running: state.runs.size, now,
			});
		}

		this.#keptCheck.recordFirstEvent(state, run, {speed: engine, now});
		finishPrefill(state, run, {now, prefilledAt: now - engine.baseMilliseconds});
		state.memory.recordFirstEvent(id, now);
		state.reportedAt = now;
		state.cache.markPrefilled(run.parts);
		state.span.prefilledTokens += run.prefillTokens;
		state.span.prefilledRuns += 1;
		if (state.pending.size > 0 && state.span.prefilledRuns < maxSpanRuns) {
			return;
		}

		const {startedAt, isFromIdle, prefilledTokens, isInvalid} = state.span;
		if (!isInvalid) {
			const span = {tokens: prefilledTokens, milliseconds: now - startedAt, isFromIdle};
			this.#speeds.set(run.service, learnPrefillSpeed(service, span));
		}

		state.span = createSpan(now, false);
	}

	#recordEnded(id: string, now: number): void {
		const run = this.#runs.get(id);
		const state = run === undefined ? undefined : this.#endpoints.get(run.endpoint);
		if (run === undefined || state === undefined) {
			return;
		}

		this.#runs.delete(id);
		state.runs.delete(id);
		this.held.release(state, run, now);
		state.latencyCriticalRuns -= run.isLatencyCritical ? 1 : 0;
		if (!run.isPrefilled) {
			finishPrefill(state, run, {now, prefilledAt: now});
			state.span.isInvalid = true;
		}
	}

	/**
	 * Pending prefill, less what the engine has done of it by now. A prompt stays pending until its first event
	 * arrives, when the engine has already gone on to the next. If all of it counted until then, the engine would be
	 * taken for busy for as long as a first event is in transit, and would idle between two prompts while requests
	 * wait.
	 */
	#backlogMilliseconds(endpoint: string, state: EndpointState, now: number): number {
		return state.pending.size === 0 ? 0 : Math.max(0, prefillMilliseconds(this.engineSpeed(endpoint, state.service, now), state.pendingTokens) - (now - state.prefillStartedAt));
	}

	#drop(isDropped: (run: TrackedRun) => boolean, now: number): void {
		for (const run of [...this.#runs.values()].filter(candidate => isDropped(candidate))) {
			this.#recordEnded(run.id, now);
		}
	}
}
