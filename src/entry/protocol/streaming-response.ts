import {type PipelinedResponse} from '../../connections/index.js';
import {type Failure} from '../../model/index.js';
import {type ResponseWriter} from './response-writer.js';
import {drainedOrClosed} from './drain.js';
import {failureBody, sendFailure} from './failure-response.js';
import {HeaderName} from './headers.js';

type StreamingResponseOptions = {
	readonly requestId: string;
	/** True if the caller asked for the usage event. */
	readonly includeUsage: boolean;
};

/** How long a slow caller may delay the write of the error event before its connection is closed anyway. */
const errorFlushMilliseconds = 5000;
/**
 * How long the connection stays open after the error event was written, unless the caller closes it first. If it was
 * closed at once, the HTTP library of a caller that reads with a short delay would discard its buffer
 * with the error event, and the response would end without a verdict.
 */
const errorReadMilliseconds = 1000;

/** Writes a response as server-sent events. The status line is sent with the first event, not before. */
export class StreamingResponse implements ResponseWriter {
	static create(response: PipelinedResponse, options: StreamingResponseOptions): StreamingResponse {
		return new StreamingResponse(response, options);
	}

	readonly #response: PipelinedResponse;
	readonly #options: StreamingResponseOptions;
	#ended = false;

	private constructor(response: PipelinedResponse, options: StreamingResponseOptions) {
		this.#response = response;
		this.#options = options;
	}

	get hasStarted(): boolean {
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
	 * Sends a failure response if nothing was sent yet, otherwise an error event. After the error event the connection is
	 * closed without the final chunk of the body: a client that skips unknown events would take a stream with a
	 * clean end for complete and use a partial response.
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
