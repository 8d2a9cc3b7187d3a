/**
 * Memory that the running requests of one engine hold and will hold. Load pattern: an engine has 96 slots and memory
 * for 213,031 tokens, and prompts of 9,200 tokens come in bursts: 23 of them fill its memory long before its slots. An
 * engine whose memory runs out preempts a request, also in mid-stream, and prefills all of it again. By slots alone,
 * requests are sent to engines where they wait behind others in an order that can't change any more, or where they
 * cause preemptions, while engines with room idle.
 *
 * A part of a prompt that several runs share is held once. A run holds its whole prompt from its placement on, since
 * the engine will not admit it without, and is counted with all of its expected output, since it will grow to that.
 */
import {type PromptPart, tokensOf} from './prefix-cache.js';

/** What one run holds at its engine. */
export type HeldRun = {
	readonly id: string;
	readonly parts: readonly PromptPart[];
	/** Tokens that the run is expected to generate. */
	readonly outputTokens: number;
	/** Urgency of its route, 0 for the most urgent; undefined where its instance has not told it. */
	readonly urgency?: number | undefined;
};

/** What a request would add to the memory that is held at an engine. */
export type MemoryNeed = {readonly parts: readonly PromptPart[]; readonly outputTokens: number};

/** Memory that becomes free once runs are over. */
export type Release = {readonly id: string; readonly at: number; readonly tokens: number};

/** A part, the runs that hold it, and how many of them are over in the count of this number. */
type HeldPart = {readonly tokens: number; holders: number; ended: number; endedIn: number};
/** A run with the parts that it holds, and when it was expected to be over the last time that was asked for. */
type TimedRun = HeldRun & {readonly held: readonly HeldPart[]; readonly placedAt: number; firstEventAt: number | undefined; endsAt: number};

/** What the expected ends of an engine's runs depend on. */
export type Progress = {
	/** Time until what was placed there is prefilled. */
	readonly backlogMilliseconds: number;
	/** Time to generate this many tokens. */
	readonly generationMilliseconds: (outputTokens: number) => number;
};

/**
 * A run that has lasted longer than expected will last this share of its age again. Without it, an engine whose runs
 * are late would be taken to have room at once, at each search anew.
 */
const overdueShare = 0.25;
/** Expected ends are computed again after this time, or when runs change: requests that wait search every few milliseconds. */
const releasesLifetimeMilliseconds = 8;

/** The memory that the runs of one engine hold. */
export class EngineMemory {
	static create(): EngineMemory {
		return new EngineMemory();
	}

	readonly #runs = new Map<string, TimedRun>();
	readonly #parts = new Map<number, HeldPart>();
	#heldTokens = 0;
	#requestedTokens = 0;
	/** Number of the last count of what becomes free. */
	#countNumber = 0;
	#releases: {readonly at: number; readonly list: readonly Release[]} | undefined;

	/** Tokens that the runs hold, with those that they will generate. */
	get heldTokens(): number {
		return this.#heldTokens;
	}

	/** Tokens of the prompts and the expected output of all runs, shared parts counted with each. */
	get requestedTokens(): number {
		return this.#requestedTokens;
	}

	/** Adds a run that was placed at the engine. */
	add(run: HeldRun, now: number): void {
		const {id, parts, outputTokens} = run;
		this.#releases = undefined;
		this.#heldTokens += this.neededTokens(run);
		this.#requestedTokens += outputTokens + tokensOf(parts);
		this.#runs.set(id, {id, parts, outputTokens, urgency: run.urgency, held: parts.map(part => this.#hold(part)), placedAt: now, firstEventAt: undefined, endsAt: 0});
	}

	/** Records that a run has begun to generate. */
	recordFirstEvent(id: string, now: number): void {
		const run = this.#runs.get(id);
		if (run !== undefined) {
			run.firstEventAt ??= now;
			this.#releases = undefined;
		}
	}

	/** Removes a run that is over and returns it; one that was never added changes nothing. */
	remove(id: string): {readonly placedAt: number; readonly firstEventAt: number | undefined} | undefined {
		const run = this.#runs.get(id);
		if (run === undefined) {
			return undefined;
		}

		this.#releases = undefined;
		this.#runs.delete(id);
		this.#heldTokens -= run.outputTokens;
		this.#requestedTokens -= run.outputTokens + tokensOf(run.parts);
		for (const part of run.parts) {
			const held = this.#parts.get(part.id)!;
			held.holders -= 1;
			if (held.holders === 0) {
				this.#parts.delete(part.id);
				this.#heldTokens -= held.tokens;
			}
		}

		return run;
	}

	/** Tokens that a request would hold beyond what the runs hold already. */
	neededTokens({parts, outputTokens}: MemoryNeed): number {
		let sum = outputTokens;
		for (const {id, tokens} of parts) {
			sum += this.#parts.has(id) ? 0 : tokens;
		}

		return sum;
	}

	/** Tokens that would become free if the runs of less urgent routes than this were preempted. */
	lessUrgentTokens(urgency: number): number {
		this.#countNumber += 1;
		let sum = 0;
		for (const run of this.#runs.values()) {
			sum += run.urgency !== undefined && run.urgency > urgency ? run.outputTokens + this.#tokensOfLastHolder(run.held) : 0;
		}

		return sum;
	}

	/** Memory that becomes free as the runs end, in the order of their expected ends. A part counts at the end of the last run that holds it. */
	releases(now: number, progress: Progress): readonly Release[] {
		if (this.#releases === undefined || now - this.#releases.at > releasesLifetimeMilliseconds) {
			this.#releases = {at: now, list: this.#releasesOf(this.#inOrderOfEnds(now, progress))};
		}

		return this.#releases.list;
	}

	#inOrderOfEnds(now: number, progress: Progress): TimedRun[] {
		const runs = [...this.#runs.values()];
		for (const run of runs) {
			run.endsAt = expectedEnd(run, now, progress);
		}

		return runs.toSorted((left, right) => left.endsAt - right.endsAt);
	}

	#hold({id, tokens}: PromptPart): HeldPart {
		const held = this.#parts.get(id) ?? {tokens, holders: 0, ended: 0, endedIn: 0};
		held.holders += 1;
		this.#parts.set(id, held);
		return held;
	}

	/** What becomes free as runs end that are given in the order of their ends. */
	#releasesOf(runs: readonly TimedRun[]): Release[] {
		this.#countNumber += 1;
		return runs.map(run => ({id: run.id, at: run.endsAt, tokens: run.outputTokens + this.#tokensOfLastHolder(run.held)}));
	}

	/** Tokens of the parts that nobody holds any more once a run is over, where the holders before it have been counted. */
	#tokensOfLastHolder(parts: readonly HeldPart[]): number {
		let sum = 0;
		for (const part of parts) {
			part.ended = part.endedIn === this.#countNumber ? part.ended + 1 : 1;
			part.endedIn = this.#countNumber;
			sum += part.ended === part.holders ? part.tokens : 0;
		}

		return sum;
	}
}

/** When a run is expected to be over: a run that has not begun to generate begins once its engine has prefilled what was placed there. */
function expectedEnd({placedAt, firstEventAt, outputTokens}: TimedRun, now: number, {backlogMilliseconds, generationMilliseconds}: Progress): number {
	const beginsAt = firstEventAt ?? now + backlogMilliseconds;
	return Math.max(beginsAt + generationMilliseconds(outputTokens), now + ((now - placedAt) * overdueShare));
}

/** The first time at which this much memory has become free; `Infinity` if these releases don't suffice. */
export function freeAt(releases: readonly Release[], missingTokens: number, now: number): number {
	let left = missingTokens;
	for (const {at, tokens} of left > 0 ? releases : []) {
		left -= tokens;
		if (left <= 0) {
			return Math.max(now, at);
		}
	}

	return left > 0 ? Infinity : now;
}
