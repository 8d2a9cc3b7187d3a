import {type PendingRecord} from '../../policy/quarantine/index.js';

/** Pending crashes of requests that other instances know too, so that they are told of the end. */
export class ToldSuspicions {
	static create(): ToldSuspicions {
		return new ToldSuspicions();
	}

	readonly #told = new Set<string>();

	add(pending: readonly PendingRecord[]): void {
		for (const {crash, fingerprints} of pending) {
			for (const fingerprint of fingerprints) {
				this.#told.add(keyOf(crash, fingerprint));
			}
		}
	}

	/** Whether another instance knows one of the requests of a record. */
	hasAny({crash, fingerprints}: PendingRecord): boolean {
		return fingerprints.some(fingerprint => this.#told.has(keyOf(crash, fingerprint)));
	}

	clear(): void {
		this.#told.clear();
	}
}

function keyOf(crash: string, fingerprint: string): string {
	return `${crash}\n${fingerprint}`;
}
