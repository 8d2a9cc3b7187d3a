import {isWorthTelling, type RunRecord} from '../../policy/quarantine/index.js';

/** Own counts of runs of which the other instances were told last. */
export class ToldRuns {
	static create(): ToldRuns {
		return new ToldRuns();
	}

	readonly #told = new Map<string, number>();

	/** Whether a count has grown since it was told. */
	hasGrown({fingerprint, runs}: Pick<RunRecord, 'fingerprint' | 'runs'>): boolean {
		return runs > this.#countOf(fingerprint);
	}

	/** Whether a count has grown so much that a run alone is a reason to tell it. */
	isWorthTelling(fingerprint: string, runs: number): boolean {
		return isWorthTelling(runs, this.#countOf(fingerprint));
	}

	record(told: readonly RunRecord[]): void {
		for (const {fingerprint, runs} of told) {
			this.#told.set(fingerprint, runs);
		}
	}

	/** Forgets requests whose runs are no longer counted: they count anew from one, and against the old count they would not be told. */
	prune(isCounted: (fingerprint: string) => boolean): void {
		for (const fingerprint of this.#told.keys()) {
			if (!isCounted(fingerprint)) {
				this.#told.delete(fingerprint);
			}
		}
	}

	#countOf(fingerprint: string): number {
		return this.#told.get(fingerprint) ?? 0;
	}
}
