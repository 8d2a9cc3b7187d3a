/** Requests and parts of which something is logged while any crash counts. */
const maxFingerprints = 1000;

/** What was logged last of each request or part, so that each change is one line. */
export class LoggedWeights {
	static create(): LoggedWeights {
		return new LoggedWeights();
	}

	readonly #weights = new Map<string, string>();

	/** Whether a weight was not the last one of its fingerprint; false too once very many are known. */
	isNew(fingerprint: string, weight: string): boolean {
		if (this.#weights.get(fingerprint) === weight || this.#weights.size >= maxFingerprints) {
			return false;
		}

		this.#weights.set(fingerprint, weight);
		return true;
	}

	clear(): void {
		this.#weights.clear();
	}
}
