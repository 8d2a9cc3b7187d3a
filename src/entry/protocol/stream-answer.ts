import {type ServerResponse} from 'node:http';
import {type Failure} from '../../model/index.js';
import {type Answer} from './answer.js';
import {drainedOrClosed} from './drain.js';
import {failureBody, sendFailure} from './failure-response.js';
import {HeaderName} from './headers.js';

type StreamOptions = {
	readonly requestId: string;
	/** True if the caller asked for the usage event. */
	readonly includeUsage: boolean;
};

/** How long a caller may take to read the error event before its connection is closed anyway. */
const errorFlushMilliseconds = 5000;
/**
 * Failure: a caller that is a moment behind meets the cut while the error event is still in its
 * buffer, and its HTTP library drops the buffer. Symptom: an answer that breaks off without a
 * verdict. A caller that reads the event closes at once; one that does not has this long.
 */
const errorReadMilliseconds = 1000;

/** Writes an answer as server-sent events. The status line goes out with the first event, not before. */
export class StreamAnswer implements Answer {
	static create(response: ServerResponse, options: StreamOptions): StreamAnswer {
		return new StreamAnswer(response, options);
	}

	readonly #response: ServerResponse;
	readonly #options: StreamOptions;
	#ended = false;

	private constructor(response: ServerResponse, options: StreamOptions) {
		this.#response = response;
		this.#options = options;
	}

	get started(): boolean {
		return this.#response.headersSent;
	}

	write(events: readonly string[]): boolean {
		if (this.#ended || this.#response.destroyed || events.length === 0) {
			return true;
		}

		this.#start();
		return this.#response.write(`data: ${events.join('\n\ndata: ')}\n\n`);
	}

	async drained(): Promise<void> {
		await drainedOrClosed(this.#response);
	}

	finish(usage?: string): void {
		if (this.#ended || this.#response.destroyed) {
			return;
		}

		this.#ended = true;
		this.#start();
		const usageEvent = usage !== undefined && this.#options.includeUsage ? `data: ${usage}\n\n` : '';
		this.#response.end(`${usageEvent}data: [DONE]\n\n`);
	}

	/**
	 * Failure: a stream that ends cleanly after an error looks whole to a client that skips unknown
	 * events. Symptom: half an answer is taken for all of it. The connection is therefore cut, soon
	 * after the error event is out, without the end of the chunked body: no client can read that as success.
	 */
	fail(failure: Failure): void {
		if (this.#ended) {
			return;
		}

		this.#ended = true;
		const response = this.#response;
		if (!response.headersSent) {
			sendFailure(response, failure, this.#options.requestId);
			return;
		}

		const destroy = () => {
			response.destroy();
		};

		let timer = setTimeout(destroy, errorFlushMilliseconds).unref();
		response.once('close', () => {
			clearTimeout(timer);
		});
		response.write(`event: error\ndata: ${failureBody(failure, this.#options.requestId)}\n\n`, () => {
			clearTimeout(timer);
			timer = setTimeout(destroy, errorReadMilliseconds).unref();
		});
	}

	#start(): void {
		if (this.#response.headersSent) {
			return;
		}

		this.#response.writeHead(200, {
			'Content-Type': 'text/event-stream; charset=utf-8',
			'Cache-Control': 'no-cache',
			[HeaderName.requestId]: this.#options.requestId,
		});
	}
}
