import {addCompletion, type Completions, countRunsBeside, hasRunBefore, isPart} from '../../policy/quarantine/index.js';

/** Requests, and parts of prompts, that lately ran to their end at this instance, or on which an endpoint wrote for a while. */
export class CompletedRuns {
	static create(): CompletedRuns {
		return new CompletedRuns();
	}

	readonly #requests: Completions = new Map();
	/** Parts are remembered apart, since the requests of a few seconds would displace them. */
	readonly #parts: Completions = new Map();
	/** Parts of requests that were written on for a while before they ended, in whichever way. */
	readonly #begun: Completions = new Map();

	add(fingerprint: string, now: number): void {
		addCompletion(this.#of(fingerprint), fingerprint, now);
	}

	/** Records that an endpoint wrote on a part for a while, and had not crashed until then. */
	addBegun(fingerprint: string, now: number): void {
		addCompletion(this.#begun, fingerprint, now);
	}

	/** Number of runs from shortly before a crash on. */
	countBeside(fingerprint: string, crashedAt: number): number {
		return countRunsBeside(this.#of(fingerprint), fingerprint, crashedAt);
	}

	/**
	 * Number of runs that speak for a request or a part: those of shortly before a crash; of a part, one if it ran longer before, or was begun. While
	 * endpoints end faster than long answers are complete, the first part of all prompts would have no run, and be blamed with the one that ends them.
	 */
	countFor(fingerprint: string, crashedAt: number): number {
		const runs = this.countBeside(fingerprint, crashedAt);
		const hasRun = hasRunBefore(this.#parts, fingerprint, crashedAt) || hasRunBefore(this.#begun, fingerprint, crashedAt);
		return runs === 0 && isPart(fingerprint) && hasRun ? 1 : runs;
	}

	#of(fingerprint: string): Completions {
		return isPart(fingerprint) ? this.#parts : this.#requests;
	}
}
