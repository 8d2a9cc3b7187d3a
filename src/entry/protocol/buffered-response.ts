import {type PipelinedResponse} from '../../connections/index.js';
import {createFailure, type Failure, FailureKind, Verdict} from '../../model/index.js';
import {type ResponseWriter} from './response-writer.js';
import {ResponseCollector, type ResponseKind} from './collector.js';
import {sendFailure} from './failure-response.js';
import {HeaderName} from './headers.js';

type BufferedResponseOptions = {
	readonly requestId: string;
	readonly kind: ResponseKind;
};

/** Joins the events of a response and writes them as one object. Nothing is sent before the last event. */
export class BufferedResponse implements ResponseWriter {
	static create(response: PipelinedResponse, options: BufferedResponseOptions): BufferedResponse {
		return new BufferedResponse(response, options);
	}

	readonly #response: PipelinedResponse;
	readonly #options: BufferedResponseOptions;
	readonly #collector: ResponseCollector;
	#ended = false;

	private constructor(response: PipelinedResponse, options: BufferedResponseOptions) {
		this.#response = response;
		this.#options = options;
		this.#collector = ResponseCollector.create(options.kind);
	}

	get hasStarted(): boolean {
		return this.#response.headersSent;
	}

	write(events: readonly string[]): boolean {
		if (this.#ended) {
			return true;
		}

		for (const event of events) {
			if (!this.#collector.add(event)) {
				this.fail(createFailure(FailureKind.badAnswer, 'The engine sent an event that does not have the OpenAI format.', {verdict: Verdict.mayHaveRun}));
				return true;
			}
		}

		return true;
	}

	/** Resolves at once, as nothing is written before the end. */
	drained(): Promise<void> {
		return Promise.resolve();
	}

	finish(usage?: string): void {
		if (this.#ended || this.#response.destroyed) {
			return;
		}

		this.#ended = true;
		this.#response.writeHead(200, {'Content-Type': 'application/json', [HeaderName.requestId]: this.#options.requestId});
		this.#response.end(JSON.stringify(this.#collector.join(this.#options.requestId, usage)));
	}

	fail(failure: Failure): void {
		if (this.#ended) {
			return;
		}

		this.#ended = true;
		sendFailure(this.#response, failure, this.#options.requestId);
	}
}
