import {type StreamRecord} from '../catalogue/index.js';

/** A record as peers exchange it: the value is JSON text. */
export type TextRecord = {readonly offset: number; readonly time: number; readonly value: string};

const maximumRecords = 512;
const maximumBytes = 1_000_000;
const maximumResponseBytes = 256_000;

/**
 * The newest records of a stream without a gap, for peers that lack only a few of them. Bounded by count
 * and size; peers that need a dropped record get a snapshot instead.
 */
export class RecordHistory {
	static create(): RecordHistory {
		return new RecordHistory();
	}

	#records: TextRecord[] = [];
	#bytes = 0;

	private constructor() {
		this.clear();
	}

	clear(): void {
		this.#records = [];
		this.#bytes = 0;
	}

	add(record: StreamRecord): void {
		const value = JSON.stringify(record.value) ?? 'null';
		this.#records.push({offset: record.offset, time: record.time, value});
		this.#bytes += value.length;
		while (this.#records.length > maximumRecords || this.#bytes > maximumBytes) {
			this.#bytes -= this.#records.shift()!.value.length;
		}
	}

	/** The records from `offset` on, as many as fit into a response; undefined if the one at `offset` has been dropped. */
	from(offset: number): readonly TextRecord[] | undefined {
		const first = this.#records[0]?.offset;
		if (first === undefined || offset < first) {
			return undefined;
		}

		const response: TextRecord[] = [];
		let bytes = 0;
		for (const record of this.#records.slice(offset - first)) {
			bytes += record.value.length;
			if (response.length > 0 && bytes > maximumResponseBytes) {
				break;
			}

			response.push(record);
		}

		return response;
	}
}
