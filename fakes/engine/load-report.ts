export type Load = {readonly running: number; readonly waiting: number; readonly memoryUsed: number; readonly stepMilliseconds: number};

const recordEveryMilliseconds = 10;
const keptRecords = 1000;

/** A history of an engine's load, to report it with a lag. */
export class LoadReport {
	static create(): LoadReport {
		return new LoadReport();
	}

	readonly #history: Array<{readonly time: number; readonly load: Load}> = [{time: 0, load: {running: 0, waiting: 0, memoryUsed: 0, stepMilliseconds: 0}}];

	private constructor() {
		// Instances are made by `create`.
	}

	record(load: Load, now: number): void {
		const last = this.#history.at(-1)!;
		if (load.running > 0 && now - last.time < recordEveryMilliseconds) {
			return;
		}

		this.#history.push({time: now, load});
		if (this.#history.length > keptRecords) {
			this.#history.splice(0, keptRecords / 2);
		}
	}

	loadAt(lagMilliseconds: number, now: number): Load {
		const record = this.#history.findLast(candidate => candidate.time <= now - lagMilliseconds) ?? this.#history[0]!;
		return record.load;
	}
}
