import {type StreamRecord} from '../catalogue/index.js';

/** A record as it travels between peers: its value is JSON text. */
export type TextRecord = {readonly offset: number; readonly time: number; readonly value: string};

const historyRecords = 512;
const historyBytes = 1_000_000;
const answerBytes = 256_000;

/**
 * The newest records of a stream without a gap, for peers that are a little behind. Bounded by count
 * and size; what is dropped is served as a snapshot instead.
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
		while (this.#records.length > historyRecords || this.#bytes > historyBytes) {
			this.#bytes -= this.#records.shift()!.value.length;
		}
	}

	/** The records from `offset` on, as many as fit an answer; undefined if that one has been dropped. */
	from(offset: number): readonly TextRecord[] | undefined {
		const first = this.#records[0]?.offset;
		if (first === undefined || offset < first) {
			return undefined;
		}

		const answer: TextRecord[] = [];
		let bytes = 0;
		for (const record of this.#records.slice(offset - first)) {
			bytes += record.value.length;
			if (answer.length > 0 && bytes > answerBytes) {
				break;
			}

			answer.push(record);
		}

		return answer;
	}
}
