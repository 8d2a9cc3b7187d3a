import {setTimeout as delay} from 'node:timers/promises';
import {type AppendResult, type LogClient, type LogRecord, type ReadResult} from '../../src/platform/types.js';

/** An in-memory log that can be unavailable, drop old records and lose responses to appends. */
export class MemoryLog implements LogClient {
	static create(): MemoryLog {
		return new MemoryLog();
	}

	isDown = false;
	/** The requested wait of each read, in milliseconds. */
	readonly waits: number[] = [];
	losesResponses = false;
	#records: LogRecord[] = [];
	#next = 0;

	private constructor() {
		this.dropBefore(0);
	}

	get records(): readonly LogRecord[] {
		return this.#records;
	}

	dropBefore(offset: number): void {
		this.#records = this.#records.filter(record => record.offset >= offset);
	}

	async append(_stream: string, value: unknown): Promise<AppendResult> {
		if (this.isDown) {
			return {type: 'unknown', reason: 'down'};
		}

		const offset = this.#next++;
		this.#records.push({offset, time: Date.now(), value: structuredClone(value)});
		return this.losesResponses ? {type: 'unknown', reason: 'lost'} : {type: 'appended', offset};
	}

	async read(_stream: string, from: number, options: {limit?: number; waitMilliseconds?: number; signal?: AbortSignal} = {}): Promise<ReadResult> {
		this.waits.push(options.waitMilliseconds ?? 0);
		await delay(1, undefined, {signal: options.signal});
		if (this.isDown) {
			throw new Error('The log is down.');
		}

		const first = this.#records[0]?.offset ?? this.#next;
		if (from < first) {
			return {type: 'gone', first, next: this.#next};
		}

		return {type: 'records', records: this.#records.filter(record => record.offset >= from).slice(0, options.limit), next: this.#next, first};
	}
}
