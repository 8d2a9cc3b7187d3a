import {type ServerResponse} from 'node:http';
import {type Job} from './batch.js';
import {closingEvents, tokenEvent, type Protocol} from './events.js';
import {type EngineFaults} from './faults.js';

/** The response stream of one request. Events are buffered and written once per wake-up of the engine. */
export class AnswerStream {
	static create(settings: {job: Job; protocol: Protocol; response: ServerResponse; first: number}): AnswerStream {
		return new AnswerStream(settings);
	}

	readonly job: Job;
	readonly protocol: Protocol;
	readonly first: number;
	/** Tokens produced for this response. */
	produced = 0;
	readonly #response: ServerResponse;
	#pending = '';

	private constructor({job, protocol, response, first}: {job: Job; protocol: Protocol; response: ServerResponse; first: number}) {
		this.job = job;
		this.protocol = protocol;
		this.first = first;
		this.#response = response;
	}

	get isComplete(): boolean {
		return this.job.next >= this.job.task.length;
	}

	begin(): void {
		this.#response.writeHead(200, {'content-type': 'text/event-stream', 'cache-control': 'no-cache'});
		this.#response.flushHeaders();
	}

	write(text: string): void {
		this.#pending += text;
	}

	flush(): void {
		if (this.#pending !== '' && !this.#response.destroyed) {
			this.#response.write(this.#pending);
		}

		this.#pending = '';
	}

	finish(): void {
		this.write(closingEvents(this.protocol, this.job.id, this.job));
		this.flush();
		this.#response.end();
	}

	/** Ends the response cleanly without `[DONE]`. */
	truncate(): void {
		this.flush();
		this.#response.end();
	}
}

/** The last event of a request that finished earlier, for `lateEvents`. */
export type EarlierEvent = {text: string | undefined};

/** Writes the event of the job's newest token, with the faults applied. */
export function writeToken(stream: AnswerStream, others: Iterable<AnswerStream>, faults: EngineFaults, earlier: EarlierEvent): void {
	const {job, protocol} = stream;
	const text = tokenEvent(protocol, job.id, job, job.next - 1);
	if (faults.lateEvents > 0 && earlier.text !== undefined) {
		faults.lateEvents--;
		stream.write(earlier.text);
	}

	if (faults.foreignEvents > 0) {
		faults.foreignEvents--;
		stream.write(tokenEvent(protocol, 'nobody', job, job.next - 1));
	}

	if (faults.dropEvents > 0) {
		faults.dropEvents--;
		return;
	}

	const other = faults.crossEvents > 0 ? [...others].find(candidate => candidate !== stream) : undefined;
	if (other !== undefined) {
		faults.crossEvents--;
		other.write(text);
		return;
	}

	stream.write(text);
	if (faults.duplicateEvents > 0) {
		faults.duplicateEvents--;
		stream.write(text);
	}

	if (stream.isComplete) {
		earlier.text = text;
	}
}
